// Calls of a service during a roll-out, as nodes count them.
#ifndef TESTS_ROLLOUT_SUPPORT_H_
#define TESTS_ROLLOUT_SUPPORT_H_

#include <fmt/format.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "core/rollout_evidence.h"
#include "core/rollout_exposure.h"
#include "core/rollout_judge.h"

namespace verbenastile {

// How an instance answers.
struct Behavior {
  unsigned failures_permille = 0;
  unsigned slow_permille = 0;
  int slow_factor = 5;
};

// One window of exposed calls after the other, at nodes that report to a judge.
struct JudgedFleet {
  explicit JudgedFleet(int node_count) : nodes(node_count) {}

  void Call(int node,
            const std::string& rule,
            const std::string& instance,
            bool full,
            const Behavior& behavior) {
    const OutcomeKey key{rule, instance, full, false};
    if (random.Below(1'000) < behavior.failures_permille) {
      nodes[node].AddFailure(key);
      bad += instance.empty() ? 0 : 1;
      bad_by_node[node] += instance.empty() ? 0 : 1;
      return;
    }
    Duration time = mean / 2 + random.UpTo(mean);
    if (random.Below(1'000) < behavior.slow_permille) {
      time *= behavior.slow_factor;
      bad += instance.empty() ? 0 : 1;
      bad_by_node[node] += instance.empty() ? 0 : 1;
    }
    nodes[node].AddAnswer(key, time);
  }

  // The exposed calls of one window, with 12 times as many calls at old
  // instances.
  void Window(int exposed_calls) {
    const int calls = exposed_calls * 13;
    for (int i = 0; i < calls; ++i) {
      const int node = static_cast<int>(random.Below(nodes.size()));
      const std::string rule = rules[random.Below(rules.size())];
      if (i % 13 != 0) {
        Call(node, rule, {}, i % 3 == 0, old_version);
        continue;
      }
      const auto number = static_cast<int>(random.Below(instances));
      const auto special = instance_behavior.find(number);
      const auto routed = rule_behavior.find(rule);
      const bool full = i % 2 == 0;
      Behavior behavior = special != instance_behavior.end() ? special->second
                          : routed != rule_behavior.end()    ? routed->second
                                                             : target;
      if (only_when_full && !full) {
        behavior = {};
      }
      Call(node, rule, fmt::format("new-{}", number), full, behavior);
    }
    Report();
  }
  // Nodes report within half a second after the window of one second. The next
  // window opens 1.5 s later.
  void Report() {
    constexpr Duration kOpen = std::chrono::milliseconds(1'500);
    if (!fiftieth_bad && bad >= 50) {
      fiftieth_bad = now;
    }
    now += kOpen;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      RolloutReport report;
      report.node = fmt::format("n-{}", i);
      report.outcomes = nodes[i].TakeReport(false);
      if (i >= hidden) {
        pool.Merge(report);
      }
    }
    finding = judge.Evaluate(pool.totals(), instances, now);
    if (finding.opinion != RolloutOpinion::kBad) {
      now += kExposurePeriod - kOpen;
    }
  }
  // The time from the start of the window of the 50th bad answer until the
  // judge says that the version is bad, at least 0; empty: it does not.
  std::optional<Duration> TimeUntilBad(int windows, int calls) {
    for (int i = 0; i < windows; ++i) {
      Window(calls);
      if (finding.opinion == RolloutOpinion::kBad) {
        return now - fiftieth_bad.value_or(now);
      }
    }
    return std::nullopt;
  }

  std::vector<OwnOutcomes> nodes;
  std::vector<std::string> rules{"read", "write"};
  Behavior old_version;
  Behavior target;
  std::map<int, Behavior> instance_behavior;
  std::map<std::string, Behavior> rule_behavior;
  bool only_when_full = false;
  std::size_t hidden = 0;  // The reports of so many nodes do not arrive.
  std::size_t instances = 3;
  Duration mean = std::chrono::milliseconds(140);
  Random random{7};
  EvidencePool pool;
  RolloutJudge judge;
  RolloutFinding finding;
  std::uint64_t bad = 0;  // Bad answers of the target so far.
  std::map<int, std::uint64_t> bad_by_node;
  std::optional<Time> fiftieth_bad;
  Time now{std::chrono::seconds(100)};
};

}  // namespace verbenastile

#endif  // TESTS_ROLLOUT_SUPPORT_H_
