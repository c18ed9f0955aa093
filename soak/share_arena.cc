#include "share_arena.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::uint32_t kSlots = 6;
constexpr Duration kWindow = std::chrono::seconds(20);
constexpr Duration kFarDeadline = std::chrono::hours(1);
constexpr std::int64_t kShareBoundPercent = 10;
constexpr std::int64_t kPercent = 100;

AdmissionLimits LimitsOf(bool fair) {
  AdmissionLimits limits;
  limits.fair = fair;
  return limits;
}

Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

}  // namespace

ShareArena::ShareArena(std::uint64_t seed, bool fair)
    : random_(seed), admission_(kSlots, LimitsOf(fair)) {
  groups_ = {
      {"flood", 1, Milliseconds(10), Milliseconds(70), 64, {}},
      {"steady", 1, Milliseconds(10), Milliseconds(70), 2, {}},
      {"slow", 2, Milliseconds(100), Milliseconds(700), 3, {}},
      {"quick", 4, Milliseconds(1), Milliseconds(20), 12, {}},
  };
}

void ShareArena::Step(RunDigest& digest, std::vector<std::string>& violations) {
  TopUp();
  const Running next = running_.top();
  running_.pop();
  now_ = next.end;
  const Holder holder = calls_[next.id];
  calls_.erase(next.id);
  // A call that began before this window counts from the window's start.
  groups_[holder.group].served += now_ - std::max(holder.start, window_start_);
  Apply(admission_.OnEnded(next.id, now_));
  if (random_.OneIn(16)) {
    Apply(admission_.Tick(now_));
  }
  TopUp();
  digest.Add(next.id);
  if (admission_.busy() != running_.size()) {
    violations.emplace_back("arena: slots_never_leaked");
  }
  if (admission_.queued() > 0 && admission_.busy() < admission_.slots()) {
    violations.emplace_back("arena: work_conserving");
  }
  if (now_ - window_start_ >= kWindow) {
    CheckWindow(violations);
  }
}

void ShareArena::TopUp() {
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    const auto waiting = [&] {
      return static_cast<std::size_t>(
          std::count_if(calls_.begin(), calls_.end(), [&](const auto& entry) {
            return entry.second.group == i && entry.second.start == Time();
          }));
    };
    for (std::size_t have = waiting(); have < groups_[i].kept_queued; ++have) {
      Offer(i);
    }
  }
}

void ShareArena::Offer(std::size_t group) {
  const CallId id = ++next_id_;
  calls_[id] = {group, Time()};
  const AdmissionResult result =
      admission_.Offer({id, groups_[group].name, groups_[group].weight,
                        Priority::kNormal, now_ + kFarDeadline},
                       now_);
  if (result.verdict == AdmissionVerdict::kAdmitted) {
    Begin(id);
  } else if (result.verdict == AdmissionVerdict::kRefused) {
    calls_.erase(id);
  }
  Apply(result.actions);
}

void ShareArena::Begin(CallId id) {
  Holder& holder = calls_[id];
  // Never the start of all time, which stands for a call that waits.
  holder.start = std::max(now_, Time(Duration(1)));
  const Group& group = groups_[holder.group];
  const auto spread =
      static_cast<std::uint64_t>((group.longest - group.shortest).count());
  const Duration held =
      group.shortest +
      Duration(static_cast<std::int64_t>(random_.Below(spread + 1)));
  running_.push({now_ + held, id});
}

void ShareArena::Apply(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      Begin(start->id);
    } else {
      calls_.erase(std::get<RefuseCall>(action).id);
    }
  }
}

void ShareArena::CheckWindow(std::vector<std::string>& violations) {
  std::int64_t weights = 0;
  for (const auto& [id, holder] : calls_) {
    if (holder.start != Time()) {
      groups_[holder.group].served +=
          now_ - std::max(holder.start, window_start_);
    }
  }
  std::int64_t served = 0;
  for (const Group& group : groups_) {
    weights += group.weight;
    served += group.served.count();
  }
  for (Group& group : groups_) {
    const std::int64_t wanted = served * group.weight / weights;
    const std::int64_t off = std::abs(group.served.count() - wanted);
    if (off * kPercent > wanted * kShareBoundPercent) {
      violations.push_back(fmt::format(
          "arena: share_within_10_percent group={} wanted_us={} served_us={}",
          group.name, wanted, group.served.count()));
    }
    group.served = Duration::zero();
  }
  window_start_ = now_;
}

}  // namespace verbenastile
