// Figures of the membership protocol in virtual time, from the real decisions
// and the real encoding: bytes, and times until all nodes know.
#include "membership_experiment.h"

#include <fmt/format.h>

#include <cstdio>

#include <boost/leaf/handle_errors.hpp>

#include "membership_fleet.h"
#include "wire/gossip_codec.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kSizes[] = {25, 50, 100, 200, 690};
constexpr std::size_t kDomains = 6;
constexpr std::size_t kRegions = 2;
constexpr Duration kJoinSpread = seconds(2);
constexpr Duration kSettle = seconds(40);
constexpr Duration kIdle = seconds(60);
constexpr Duration kPartition = seconds(60);
constexpr Duration kLongestWait = minutes(5);
constexpr Duration kFineStep = milliseconds(50);
constexpr Duration kCoarseStep = milliseconds(500);
constexpr std::size_t kUdpIpHeaderBytes = 28;
constexpr double kIdleBound = 500;  // Bytes a second and node, at 200 nodes.
constexpr std::size_t kBoundSize = 200;

struct Traffic {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
};

struct Figures {
  std::size_t nodes = 0;
  double idle_bytes = 0;  // Per node and second, sent, without headers.
  double idle_datagrams = 0;
  double join_kilobytes = 0;  // Per node, sent while all start at once.
  Duration joined{};          // All started at once.
  Duration one_dead{};        // Until it is dead everywhere.
  Duration third_dead{};      // A third of a failure domain.
  Duration third_back{};
  double third_kilobytes = 0;  // Per node, for the death of the third.
  Duration leaving{};
  Duration healed{};  // After a partition between the regions.
};

class Experiment {
 public:
  Experiment(std::size_t nodes, std::uint64_t seed)
      : fleet_({nodes, kDomains, kRegions, seed, MembershipFault::kNone}) {
    figures_.nodes = nodes;
    fleet_.SetObserver([this](const SendGossip& send) { Count(send); });
  }

  Figures Run() {
    Join();
    MeasureIdle();
    KillOne();
    KillThird();
    Leave();
    Partition();
    return figures_;
  }

 private:
  void Count(const SendGossip& send) {
    ++traffic_.datagrams;
    traffic_.bytes += leaf::try_handle_all(
        [&]() -> leaf::result<std::size_t> {
          BOOST_LEAF_AUTO(datagram, EncodeGossip(send.message));
          return datagram.size();
        },
        [] { return std::size_t{0}; });
  }

  // The time until `done`, looked at every `step`.
  template <typename Done>
  Duration Await(Duration step, Done done) {
    const Time start = fleet_.now();
    while (!done() && fleet_.now() < start + kLongestWait) {
      fleet_.RunUntil(fleet_.now() + step);
    }
    return fleet_.now() - start;
  }

  bool KnownEverywhere(std::size_t node, bool live, MemberState state) const {
    const std::string name = fleet_.NameOf(node);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (!fleet_.up(i)) {
        continue;
      }
      const MemberRecord* record = fleet_.at(i).table().Find(name);
      if (record == nullptr || (live ? record->member.state > state
                                     : record->member.state < state)) {
        return false;
      }
    }
    return true;
  }

  double PerNodeKilobytes() const {
    return static_cast<double>(traffic_.bytes) / 1'000.0 /
           static_cast<double>(fleet_.size());
  }

  void Join() {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const auto part = static_cast<std::int64_t>(i) * kJoinSpread.count() /
                        static_cast<std::int64_t>(fleet_.size());
      fleet_.RunUntil(start_ + Duration(part));
      fleet_.Start(i);
    }
    figures_.joined =
        Await(kCoarseStep, [this] { return fleet_.Disagreement().empty(); });
    figures_.joined += kJoinSpread;
    figures_.join_kilobytes = PerNodeKilobytes();
    fleet_.RunUntil(fleet_.now() + kSettle);
  }

  void MeasureIdle() {
    traffic_ = {};
    fleet_.RunUntil(fleet_.now() + kIdle);
    const double node_seconds = static_cast<double>(fleet_.size()) *
                                static_cast<double>(ToMilliseconds(kIdle)) /
                                1'000.0;
    figures_.idle_bytes = static_cast<double>(traffic_.bytes) / node_seconds;
    figures_.idle_datagrams =
        static_cast<double>(traffic_.datagrams) / node_seconds;
  }

  void KillOne() {
    fleet_.Kill(0);
    figures_.one_dead = Await(kFineStep, [this] {
      return KnownEverywhere(0, false, MemberState::kDead);
    });
    fleet_.Restart(0, false, false);
    fleet_.RunUntil(fleet_.now() + kSettle);
  }

  void KillThird() {
    traffic_ = {};
    std::vector<std::size_t> killed;
    for (std::size_t i = 0; i < fleet_.size(); i += kDomains * 3) {
      fleet_.Kill(i);
      killed.push_back(i);
    }
    figures_.third_dead = Await(kFineStep, [&] {
      return std::all_of(killed.begin(), killed.end(), [&](std::size_t node) {
        return KnownEverywhere(node, false, MemberState::kDead);
      });
    });
    figures_.third_kilobytes = PerNodeKilobytes();
    for (const std::size_t node : killed) {
      fleet_.Restart(node, false, false);
    }
    figures_.third_back =
        Await(kCoarseStep, [this] { return fleet_.Disagreement().empty(); });
    fleet_.RunUntil(fleet_.now() + kSettle);
  }

  void Leave() {
    fleet_.Announce(1, MemberState::kLeaving);
    figures_.leaving = Await(kFineStep, [this] {
      return KnownEverywhere(1, false, MemberState::kLeaving);
    });
    fleet_.Announce(1, MemberState::kAlive);
    fleet_.RunUntil(fleet_.now() + kSettle);
  }

  void Partition() {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.SetSide(i, fleet_.domain(i) % kRegions == 0 ? 1 : 0);
    }
    fleet_.RunUntil(fleet_.now() + kPartition);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.SetSide(i, 0);
    }
    figures_.healed =
        Await(kCoarseStep, [this] { return fleet_.Disagreement().empty(); });
  }

  MembershipFleet fleet_;
  Time start_ = fleet_.now();
  Traffic traffic_;
  Figures figures_;
};

double Seconds(Duration duration) {
  return static_cast<double>(ToMilliseconds(duration)) / 1'000.0;
}

}  // namespace

bool RunMembershipExperiment(std::uint64_t seed) {
  fmt::print(
      "nodes  idle B/s  with headers  join kB  joined s  one dead s  "
      "third dead s  third kB  third back s  leaving s  healed s\n");
  bool kept = true;
  for (const std::size_t nodes : kSizes) {
    const Figures f = Experiment(nodes, seed).Run();
    const double with_headers =
        f.idle_bytes + f.idle_datagrams * kUdpIpHeaderBytes;
    fmt::print(
        "{:5}  {:8.0f}  {:12.0f}  {:7.1f}  {:8.1f}  {:10.2f}  {:12.2f}  "
        "{:8.1f}  {:12.1f}  {:9.2f}  {:8.1f}\n",
        f.nodes, f.idle_bytes, with_headers, f.join_kilobytes,
        Seconds(f.joined), Seconds(f.one_dead), Seconds(f.third_dead),
        f.third_kilobytes, Seconds(f.third_back), Seconds(f.leaving),
        Seconds(f.healed));
    std::fflush(stdout);
    kept = kept && (nodes > kBoundSize || with_headers <= kIdleBound);
  }
  return kept;
}

}  // namespace verbenastile
