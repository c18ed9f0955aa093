// Nodes that hear of configurations from the store and from each other, in
// virtual time.
#ifndef TESTS_CONFIGURATION_FLEET_H_
#define TESTS_CONFIGURATION_FLEET_H_

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/configuration_source.h"

namespace verbenastile {

class ConfigurationFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr std::int64_t kFastLink = 125'000'000;
  static constexpr std::int64_t kSlowLink = 1'250'000;

  struct Node {
    std::string name;
    ConfigurationSource source;
    std::uint64_t generation = 1;
    bool running = true;
    bool reaches_store = true;
    bool is_refused = false;  // By a store that does not serve it: not silent.
    bool has_failed = false;
    bool watches = false;
    Time contact{};   // When the list or watch in progress ends.
    Time heard{};     // When the response of a peer arrives; `Time()`: none.
    int answers = 0;  // The peer that was asked.
  };

  ConfigurationFleet(std::size_t readers,
                     std::size_t others,
                     const ConfigurationLimits& limits) {
    for (std::size_t i = 0; i < readers + others; ++i) {
      const std::string name = fmt::format("node-{}", i);
      nodes.push_back(
          {name, ConfigurationSource({i < readers ? kFastLink : kSlowLink, now,
                                      i, name, limits})});
      nodes.back().source.OnApplied(1);
    }
    for (const Node& node : nodes) {
      Announce(node, std::nullopt);
    }
    Run(std::chrono::seconds(10));
  }

  // The process ends: its links close.
  void Kill(std::size_t index) {
    nodes[index].running = false;
    for (Node& node : nodes) {
      node.source.OnPeerGone(nodes[index].name);
    }
  }
  // The process stands still, or its machine loses power: its links stay.
  void Freeze(std::size_t index) { nodes[index].running = false; }
  // The store does not answer this node.
  void TurnAway(std::size_t index) { nodes[index].reaches_store = false; }
  // The store refuses all calls of this node.
  void Refuse(std::size_t index) {
    TurnAway(index);
    nodes[index].is_refused = true;
  }

  void Run(Duration time) {
    RunUntil([] { return false; }, time);
  }
  // Returns the time until `done`, at most `limit`.
  Duration RunUntil(const std::function<bool()>& done, Duration limit) {
    const Time begin = now;
    while (!done() && now - begin < limit) {
      now += kStep;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].running) {
          Step(i);
        }
      }
    }
    return now - begin;
  }
  // A change of the configuration. Returns the time until all nodes that run
  // have it.
  Duration Change(Duration limit = std::chrono::seconds(30)) {
    ++stored;
    return RunUntil(
        [this] {
          return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
            return !node.running || node.generation >= stored;
          });
        },
        limit);
  }
  // The same for the nodes that the store serves.
  Duration ChangeForServed(Duration limit) {
    ++stored;
    return RunUntil(
        [this] {
          return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
            return !node.running || !node.reaches_store ||
                   node.generation >= stored;
          });
        },
        limit);
  }
  std::size_t Watching(std::size_t first = 0) const {
    std::size_t count = 0;
    for (std::size_t i = first; i < nodes.size(); ++i) {
      count += nodes[i].running && nodes[i].watches ? 1 : 0;
    }
    return count;
  }

  std::vector<Node> nodes;
  std::uint64_t stored = 1;
  std::uint64_t calls = 0;  // Of nodes to the store.
  Time now = Time(std::chrono::seconds(100));

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  // A list of the store, with the whole text on a slow link.
  static constexpr Duration kListTime = std::chrono::milliseconds(150);
  static constexpr Duration kWatchTime = std::chrono::milliseconds(500);
  // After which a call that the store does not answer is repeated.
  static constexpr Duration kSilenceTime = std::chrono::milliseconds(1'000);
  static constexpr Duration kPeerTime = std::chrono::milliseconds(50);

  void Step(std::size_t index) {
    Node& node = nodes[index];
    if (node.watches && now >= node.contact) {
      const bool is_silent = !node.reaches_store && !node.is_refused;
      node.contact = now + (is_silent ? kSilenceTime : kWatchTime);
      const bool fails = node.is_refused && !node.reaches_store;
      if (fails != std::exchange(node.has_failed, fails) && fails) {
        node.source.SetStoreFailed(true);
        Announce(node, std::nullopt);
      }
      calls += 1;
      if (node.reaches_store) {
        node.source.SetStoreFailed(false);
        node.generation = stored;
        node.source.OnApplied(stored);
        node.source.OnStoreConfirmed(now);
        Announce(node, Duration(0));
      }
    }
    if (node.heard != Time() && now >= node.heard) {
      node.heard = Time();
      node.generation =
          std::max(node.generation, nodes[node.answers].generation);
      node.source.OnApplied(node.generation);
    }
    // The ticks of the nodes are spread evenly.
    if ((now.time_since_epoch() + kStep * index) % kTick == Duration(0)) {
      Tick(node);
    }
  }

  void Tick(Node& node) {
    const bool watches = node.source.ShouldWatchStore(now);
    if (watches != std::exchange(node.watches, watches)) {
      node.contact = now + kListTime;
    }
    if (const auto peer = node.source.SelectPeerToQuery(now)) {
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].name == *peer && nodes[i].running) {
          node.heard = now + kPeerTime;
          node.answers = static_cast<int>(i);
        }
      }
    }
  }

  void Announce(const Node& from, std::optional<Duration> age) {
    for (Node& node : nodes) {
      if (&node != &from && node.running) {
        node.source.OnPeerConfiguration(from.name, {from.generation, age}, now);
      }
    }
  }
};

}  // namespace verbenastile

#endif  // TESTS_CONFIGURATION_FLEET_H_
