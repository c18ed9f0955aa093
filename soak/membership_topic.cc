// Topic "membership": a fleet of real membership protocols is hurt in one or
// two ways at once, left alone, and has to agree again.
#include <fmt/format.h>

#include <algorithm>

#include "membership_fleet.h"

namespace verbenastile {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// After faults have ended, all agree within this time.
constexpr Duration kAgreementBound = seconds(60);
constexpr Duration kAgreementCheck = seconds(1);
constexpr Duration kHurt = seconds(10);
constexpr Duration kLongPartition = hours(1);
constexpr Duration kPause = seconds(60);
constexpr Duration kLeaveBound = seconds(2);
constexpr Duration kLeftNotice = milliseconds(300);
constexpr Duration kIdle = seconds(10);
constexpr std::uint64_t kIdleBytesPerSecond = 500;
// One of so many partitions lasts an hour.
constexpr std::uint64_t kLongOneIn = 12;
// A fleet that cannot agree is not followed any longer.
constexpr std::size_t kEnoughViolations = 20;

struct NamedFault {
  std::string_view name;
  MembershipFault fault;
};

constexpr NamedFault kMutations[] = {
    {"never_refute", MembershipFault::kNeverRefute},
    {"ignore_pause", MembershipFault::kIgnorePause},
    {"never_probe_gone", MembershipFault::kNeverProbeGone},
    {"keep_incarnation", MembershipFault::kKeepIncarnation},
    {"ignore_datagram_bound", MembershipFault::kIgnoreDatagramBound},
    {"flood", MembershipFault::kFlood},
    {"accept_older", MembershipFault::kAcceptOlder},
    {"lower_own_incarnation", MembershipFault::kLowerOwnIncarnation},
};

enum class Hurt {
  kPauses,
  kPartition,
  kDeaths,
  kRestarts,
  kLoss,
  kStoreDown,
};
constexpr std::uint64_t kHurts = 6;

FleetInit FleetOf(const SoakOptions& options) {
  FleetInit init;
  init.seed = options.seed;
  for (const NamedFault& mutation : kMutations) {
    if (mutation.name == options.mutation) {
      init.fault = mutation.fault;
    }
  }
  return init;
}

class MembershipRun {
 public:
  explicit MembershipRun(const SoakOptions& options)
      : options_(options),
        random_(options.seed + 1),
        fleet_(FleetOf(options)) {}

  SoakReport Run() {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.Start(i);
    }
    AwaitAgreement();
    while (Goes()) {
      Episode();
    }
    SoakReport report;
    report.steps = fleet_.steps();
    report.digest = fleet_.digest().digest();
    report.violations = fleet_.violations();
    return report;
  }

 private:
  bool Goes() {
    return fleet_.steps() < options_.steps &&
           fleet_.violations().size() < kEnoughViolations;
  }

  // Lets `duration` pass, unless the steps run out first.
  void Pass(Duration duration) {
    const Time end = fleet_.now() + duration;
    while (Goes() && fleet_.now() < end) {
      fleet_.Step();
    }
  }

  void Episode() {
    const auto first = static_cast<Hurt>(episode_ % kHurts);
    ++episode_;
    longest_ = kHurt;
    Inflict(first);
    if (random_.OneIn(2)) {
      Pass(milliseconds(random_.Below(4'000)));
      Inflict(static_cast<Hurt>(random_.Below(kHurts)));
    }
    Pass(longest_);
    Heal();
    AwaitAgreement();
    CheckIdle();
    CheckLeave();
  }

  void Inflict(Hurt hurt) {
    switch (hurt) {
      case Hurt::kPartition:
        Partition();
        break;
      case Hurt::kDeaths:
        KillThird();
        break;
      case Hurt::kPauses:
        PauseSome();
        break;
      case Hurt::kRestarts:
        RestartSome();
        break;
      case Hurt::kLoss:
        fleet_.SetNetwork({random_.Below(300), 100, milliseconds(80)});
        break;
      case Hurt::kStoreDown:
        fleet_.SetStoreUp(false);
        break;
    }
  }

  void Partition() {
    const std::size_t cut = random_.Below(4);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.SetSide(i, fleet_.domain(i) == cut ? 1 : 0);
    }
    longest_ = random_.OneIn(kLongOneIn) ? kLongPartition : seconds(30);
  }

  // A third of a domain dies at once.
  void KillThird() {
    const std::size_t domain = random_.Below(4);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.domain(i) == domain && random_.OneIn(3)) {
        fleet_.Kill(i);
      }
    }
  }

  // Most often somebody dies just before, so that suspicions are pending.
  void PauseSome() {
    if (!random_.OneIn(4)) {
      fleet_.Kill(random_.Below(fleet_.size()));
      Pass(milliseconds(1'500 + random_.Below(2'000)));
    }
    for (std::size_t i = 0; i < 4; ++i) {
      fleet_.Pause(random_.Below(fleet_.size()), kPause);
    }
    longest_ = std::max<Duration>(longest_, kPause);
  }

  void RestartSome() {
    for (std::size_t i = 0; i < 4; ++i) {
      const std::size_t node = random_.Below(fleet_.size());
      fleet_.Kill(node);
      Pass(milliseconds(random_.Below(random_.OneIn(2) ? 100 : 10'000)));
      fleet_.Restart(node, random_.OneIn(3), random_.OneIn(2));
    }
  }

  void Heal() {
    fleet_.SetNetwork({});
    fleet_.SetStoreUp(true);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.SetSide(i, 0);
      if (!fleet_.up(i) && !random_.OneIn(8)) {
        fleet_.Restart(i, random_.OneIn(3), random_.OneIn(2));
      }
    }
    while (Goes() && AnyPaused()) {
      fleet_.Step();
    }
  }

  bool AnyPaused() const {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.up(i) && fleet_.paused(i)) {
        return true;
      }
    }
    return false;
  }

  void AwaitAgreement() {
    const Time end = fleet_.now() + kAgreementBound;
    std::string difference = fleet_.Disagreement();
    while (Goes() && fleet_.now() < end && !difference.empty()) {
      Pass(kAgreementCheck);
      difference = fleet_.Disagreement();
    }
    if (fleet_.now() >= end && !difference.empty()) {
      fleet_.violations().push_back("agreement_after_quiet: " + difference);
    }
  }

  void CheckIdle() {
    Pass(kIdle / 2);
    const std::uint64_t before = fleet_.bytes_sent();
    const Time start = fleet_.now();
    Pass(kIdle);
    const auto passed = ToMilliseconds(fleet_.now() - start);
    const std::uint64_t bytes = fleet_.bytes_sent() - before;
    if (passed > 0 && bytes * 1'000 > kIdleBytesPerSecond * fleet_.size() *
                                          static_cast<std::uint64_t>(passed)) {
      fleet_.violations().push_back(
          fmt::format("idle_bytes: {} bytes in {} ms", bytes, passed));
    }
  }

  // A planned stop in quiet times reaches everybody soon.
  void CheckLeave() {
    const std::size_t node = random_.Below(fleet_.size());
    if (!Goes() || !fleet_.up(node)) {
      return;
    }
    fleet_.Announce(node, MemberState::kLeaving);
    const Time end = fleet_.now() + kLeaveBound;
    Pass(kLeaveBound);
    if (fleet_.now() >= end) {
      RequireKnown(node, MemberState::kLeaving);
    }
    fleet_.Announce(node, MemberState::kLeft);
    Pass(kLeftNotice);
    fleet_.Kill(node);
  }

  void RequireKnown(std::size_t node, MemberState state) {
    const std::string name = fleet_.NameOf(node);
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (!fleet_.up(i)) {
        continue;
      }
      const MemberRecord* record = fleet_.at(i).table().Find(name);
      if (record != nullptr && record->member.state < state) {
        fleet_.violations().push_back(
            fmt::format("leaving_is_known_soon: not by {}", fleet_.NameOf(i)));
      }
    }
  }

  SoakOptions options_;
  SoakRandom random_;
  MembershipFleet fleet_;
  std::uint64_t episode_ = 0;
  Duration longest_ = kHurt;
};

SoakReport RunMembership(const SoakOptions& options) {
  return MembershipRun(options).Run();
}

}  // namespace

SoakTopic MembershipTopic() {
  SoakTopic topic{"membership", RunMembership, {}};
  for (const NamedFault& mutation : kMutations) {
    topic.mutations.push_back(mutation.name);
  }
  return topic;
}

}  // namespace verbenastile
