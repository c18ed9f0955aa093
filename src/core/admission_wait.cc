// Whether an offered call may wait: its expected wait, and the longest with
// which it is queued.
#include <algorithm>

#include "core/admission.h"

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1'000;

}  // namespace

AdmissionRefusal Admission::CheckOffer(const AdmissionOffer& offer,
                                       const Call& call,
                                       bool starts_now,
                                       Time now) const {
  if (calls_.contains(offer.id)) {
    return AdmissionRefusal::kDuplicateId;
  }
  if (draining_) {
    return AdmissionRefusal::kDraining;
  }
  if (offer.deadline <= now) {
    return AdmissionRefusal::kDeadlinePassed;
  }
  if (!starts_now && offer.only_if_free) {
    return AdmissionRefusal::kNoFreeSlot;
  }
  if (starts_now || !limits_.refuse_early) {
    return AdmissionRefusal::kNone;
  }
  const Duration wait = ExpectedWait(call, now);
  if (now + wait + RequiredTime(call, offer.deadline - now) > offer.deadline) {
    return AdmissionRefusal::kWouldMissDeadline;
  }
  return wait > WaitLimit(offer, call, now) ? AdmissionRefusal::kWouldBeLate
                                            : AdmissionRefusal::kNone;
}

// The longest wait with which the call is queued.
Duration Admission::WaitLimit(const AdmissionOffer& offer,
                              const Call& call,
                              Time now) const {
  if (!offer.soft_deadline) {
    return Duration::max();
  }
  const Duration left = *offer.soft_deadline - now;
  if (offer.by_slack && call.call_class != nullptr) {
    const Duration slack = Slack(std::min(left, offer.deadline - now),
                                 call.call_class->service_time);
    return policy_.WaitLimit(call.key.rank, slack, NextSlotWait(), now);
  }
  const std::uint32_t permille =
      policy_.HasLowerRanks(call.key.rank, now, limits_.priority_timeout)
          ? limits_.urgent_queue_permille
          : limits_.queue_permille;
  return left * permille / kPermille - call.service_time;
}

// How long a call with `left` until it is late can wait for a slot.
Duration Admission::Slack(Duration left, const ServiceTime& time) const {
  return left * limits_.slack_permille / kPermille - time.mean - time.deviation;
}

// Calls that are not `by_slack` are ranked by their priority only.
CallNeeds Admission::NeedsOf(const AdmissionOffer& offer,
                             const CallClass* call_class,
                             Time now) const {
  CallNeeds needs;
  needs.group_priority = offer.group_priority;
  needs.priority = offer.priority;
  needs.over_share = !offer.caller_group.empty() &&
                     shares_.IsOver(offer.caller_group, slots_, now);
  if (offer.by_slack && call_class != nullptr) {
    needs.kind = {call_class->objective,
                  Slack(call_class->objective, call_class->service_time)};
  }
  return needs;
}

Admission::QueueKey Admission::KeyOf(const AdmissionOffer& offer,
                                     CallRank rank,
                                     Duration service_time,
                                     Time now) {
  Time order = now;
  if (offer.by_slack && offer.soft_deadline) {
    // What is late anyway goes after what can still be in time.
    const bool is_late = *offer.soft_deadline < now + service_time;
    order = (is_late ? offer.deadline : *offer.soft_deadline) - service_time;
  }
  return {rank, order, ++arrivals_};
}

// The time until all queued calls ahead of this one have run on the slots that
// are the fair share of the group, or until the rate limit lets it start if
// that is later.
Duration Admission::ExpectedWait(const Call& call, Time now) const {
  const Group& group = *call.group;
  std::int64_t calls_ahead = 1;
  for (std::size_t i = 0; i <= call.key.rank; ++i) {
    calls_ahead += group.queued_by_rank[i];
  }
  const std::uint64_t total_weight =
      backlogged_weight_ + (group.queue.empty() ? group.weight : 0);
  const std::int64_t share_divisor = static_cast<std::int64_t>(
      std::max<std::uint64_t>(total_weight / group.weight, 1));
  const std::int64_t slots = std::max<std::int64_t>(slots_, 1);
  const Duration slot_wait =
      call.by_slack
          ? policy_.ExpectedWait(call.key.rank, WorkAhead(call) * share_divisor,
                                 slots_, now)
          : EstimateServiceTime(&group, nullptr) * calls_ahead * share_divisor /
                slots;
  const Duration rate_wait =
      rate_limiter_.Wait(now) +
      rate_limiter_.interval() * (calls_ahead * share_divisor - 1);
  return std::max(slot_wait, rate_wait);
}

// The expected time until one of the running calls ends.
Duration Admission::NextSlotWait() const {
  return EstimateServiceTime(nullptr, nullptr) /
         std::max<std::int64_t>(slots_, 1);
}

// The slot time of the queued calls of the group that run before this one, and
// of one that runs now.
Duration Admission::WorkAhead(const Call& call) const {
  Duration work = EstimateServiceTime(nullptr, nullptr);
  for (const auto& [key, id] : call.group->queue) {
    if (call.key < key) {
      break;
    }
    work += calls_.at(id).service_time;
  }
  return work;
}

}  // namespace verbenastile
