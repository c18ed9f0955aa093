#include "core/queue_policy.h"

#include <algorithm>
#include <cmath>

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1'000;
// Calls of higher ranks count as taking at most this part of the slots, because
// calls that are passed over get their turn after some time.
constexpr double kMaxLoadAbove = 0.75;

// Rank of such calls that are not patient.
CallRank BaseRank(const CallNeeds& needs) {
  const auto group =
      static_cast<CallRank>(needs.group_priority.value_or(Priority::kNormal));
  const auto own = static_cast<CallRank>(needs.priority);
  const CallRank over = needs.over_share ? 1 : 0;
  return ((group * 2 + over) * QueuePolicy::kPriorities + own) * 2;
}

// The less patient of two kinds; `a` if both have the same objective.
const KindTimes& LessPatient(const KindTimes& a, const KindTimes& b) {
  return b.objective < a.objective ? b : a;
}

}  // namespace

CallRank QueuePolicy::RankOf(const CallNeeds& needs, Time now) const {
  const CallRank rank = BaseRank(needs);
  if (!needs.kind) {
    return rank;
  }
  const Duration smallest = LeastPatient(rank, now).objective;
  const bool is_patient =
      smallest != Duration::max() &&
      needs.kind->objective >= smallest * limits_.patient_ratio;
  return rank + (is_patient ? 1 : 0);
}

CallRank QueuePolicy::OnOffered(const CallNeeds& needs, Time now) {
  const CallRank rank = RankOf(needs, now);
  Recent& recent = recent_[rank];
  recent.offered = now;
  if (!needs.kind) {
    return rank;
  }
  const Duration age = now - recent.period_begin;
  if (age > limits_.memory) {
    recent.previous_least = age <= 2 * limits_.memory ? recent.least : kNone;
    recent.least = kNone;
    recent.period_begin = now;
  }
  recent.least = LessPatient(*needs.kind, recent.least);
  return rank;
}

void QueuePolicy::OnSlotTime(CallRank rank, Duration time, Time now) {
  Recent& recent = recent_[rank];
  const std::chrono::duration<double> age = now - recent.updated;
  const std::chrono::duration<double> memory = limits_.memory;
  recent.slot_time_us =
      recent.slot_time_us * std::exp(-age / memory) +
      static_cast<double>(std::max(time, Duration::zero()).count());
  recent.updated = now;
}

KindTimes QueuePolicy::LeastPatient(CallRank rank, Time now) const {
  const Recent& recent = recent_[rank];
  const Duration age = now - recent.period_begin;
  if (age > 2 * limits_.memory) {
    return kNone;
  }
  return age > limits_.memory
             ? recent.least
             : LessPatient(recent.least, recent.previous_least);
}

Duration QueuePolicy::WaitLimit(CallRank rank,
                                Duration slack,
                                Duration next_slot,
                                Time now) const {
  return std::max(std::min(slack, LeastPatient(rank, now).slack), next_slot);
}

double QueuePolicy::LoadAbove(CallRank rank,
                              Duration objective,
                              Time now) const {
  const std::chrono::duration<double, std::micro> memory = limits_.memory;
  double load = 0;
  for (CallRank i = 0; i < rank; ++i) {
    const Recent& recent = recent_[i];
    if (recent.slot_time_us > 0 && LeastPatient(i, now).objective < objective) {
      const std::chrono::duration<double, std::micro> age =
          now - recent.updated;
      load += recent.slot_time_us * std::exp(-age / memory) / memory.count();
    }
  }
  return load;
}

Duration QueuePolicy::ExpectedWait(CallRank rank,
                                   Duration work_ahead,
                                   std::uint32_t slots,
                                   Time now) const {
  const double all = std::max<std::uint32_t>(slots, 1);
  const double left = all - std::min(LoadAbove(rank, Duration::max(), now),
                                     all * kMaxLoadAbove);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(work_ahead.count()) / left));
}

std::uint32_t QueuePolicy::ReservedSlots(CallRank rank,
                                         Duration objective,
                                         std::uint32_t slots,
                                         Time now) const {
  const bool needed =
      slots >= limits_.reserve_min_slots &&
      LoadAbove(rank, objective / limits_.patient_ratio, now) * kPermille >=
          static_cast<double>(limits_.reserve_load_permille);
  return needed ? 1 : 0;
}

bool QueuePolicy::HasLowerRanks(CallRank rank,
                                Time now,
                                Duration memory) const {
  return std::any_of(recent_.begin() + rank + 1, recent_.end(),
                     [&](const Recent& recent) {
                       return recent.offered && now - *recent.offered < memory;
                     });
}

}  // namespace verbenastile
