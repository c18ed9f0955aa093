#include "core/admission.h"

#include <algorithm>
#include <limits>

#include "core/invariant.h"

namespace verbenastile {
namespace {

constexpr std::int64_t kTagScale = 1'000'000;
// Tags beyond this are rebased to zero, well before they overflow.
constexpr std::int64_t kRebaseThreshold = std::int64_t{1} << 60;
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(1);
constexpr std::string_view kSharedQueueName = "";
constexpr int kMinTransitDivisor = 8;

}  // namespace

std::string_view ToString(AdmissionRefusal refusal) {
  switch (refusal) {
    case AdmissionRefusal::kNone:
      return "none";
    case AdmissionRefusal::kDeadlinePassed:
      return "deadline_passed";
    case AdmissionRefusal::kWouldMissDeadline:
      return "would_miss_deadline";
    case AdmissionRefusal::kGroupQueueFull:
      return "group_queue_full";
    case AdmissionRefusal::kQueueFull:
      return "queue_full";
    case AdmissionRefusal::kDisplaced:
      return "displaced";
    case AdmissionRefusal::kDraining:
      return "draining";
    case AdmissionRefusal::kDuplicateId:
      return "duplicate_id";
    case AdmissionRefusal::kWouldBeLate:
      return "would_be_late";
    case AdmissionRefusal::kNoFreeSlot:
      return "no_free_slot";
  }
  return "unknown";
}

Admission::Admission(std::uint32_t slots, AdmissionLimits limits)
    : slots_(slots), limits_(limits) {}

AdmissionResult Admission::Offer(const AdmissionOffer& offer, Time now) {
  AdmissionResult result;
  Group& group = FindOrAddGroup(offer);
  CallClass* call_class = FindOrAddCallClass(offer, now);
  Call call;
  call.needs = NeedsOf(offer, call_class, now);
  call.caller_group = offer.caller_group;
  call.caller_weight = offer.caller_weight;
  const CallRank rank = policy_.OnOffered(call.needs, now);
  call.group = &group;
  call.call_class = call_class;
  call.service_time = EstimateServiceTime(&group, call_class);
  call.key = KeyOf(offer, rank, call.service_time, now);
  call.by_slack = offer.by_slack;
  call.arrived = now;
  call.deadline = offer.deadline;
  const bool starts_now = CanStartNow(now) || CanStartNow(offer, now);
  result.refusal = CheckOffer(offer, call, starts_now, now);
  if (result.refusal == AdmissionRefusal::kNone && starts_now) {
    SetTag(group, std::max(group.start_tag, virtual_time_));
    Start(offer.id, calls_[offer.id] = call, now);
    ++stats_.admitted;
    result.verdict = AdmissionVerdict::kAdmitted;
    return result;
  }
  if (result.refusal == AdmissionRefusal::kNone &&
      !MakeQueueSpace(group, rank, result.actions)) {
    result.refusal = group.queue.size() >= limits_.max_queued_per_group
                         ? AdmissionRefusal::kGroupQueueFull
                         : AdmissionRefusal::kQueueFull;
  }
  if (result.refusal != AdmissionRefusal::kNone) {
    ++stats_.refused;
    result.retry_after = ExpectedWait(call, now);
    refusal_inputs_ = {rank, call.needs.over_share, result.retry_after,
                       WaitLimit(offer, call, now), call.service_time};
    return result;
  }
  Enqueue(offer.id, call);
  result.verdict = AdmissionVerdict::kQueued;
  return result;
}

Admission::Group& Admission::FindOrAddGroup(const AdmissionOffer& offer) {
  const std::string_view name = limits_.fair ? offer.group : kSharedQueueName;
  const std::uint32_t weight =
      std::clamp<std::uint32_t>(limits_.fair ? offer.weight : 1, 1, kMaxWeight);
  auto found = groups_.find(name);
  if (found == groups_.end()) {
    found = groups_.emplace(name, Group{}).first;
    Group& group = found->second;
    group.name = found->first;
    group.group_id = next_group_id_++;
    group.start_tag = virtual_time_;
    groups_by_id_[group.group_id] = &group;
  }
  Group& group = found->second;
  if (!group.queue.empty()) {
    backlogged_weight_ += weight;
    backlogged_weight_ -= group.weight;
  }
  group.weight = weight;
  return group;
}

// Whether a call that goes before all others may take a slot.
bool Admission::MayStart(const CallNeeds& needs,
                         CallRank rank,
                         Time now) const {
  const std::uint32_t kept =
      needs.kind
          ? policy_.ReservedSlots(rank, needs.kind->objective, slots_, now)
          : 0;
  return busy_ + kept < slots_ && rate_limiter_.Wait(now) == Duration::zero();
}

bool Admission::CanStartNow(const AdmissionOffer& offer, Time now) const {
  if (!offer.by_slack) {
    return CanStartNow(now);
  }
  const auto found = call_classes_.find(offer.call_class);
  const CallNeeds needs = NeedsOf(
      offer, found == call_classes_.end() ? nullptr : &found->second, now);
  const CallRank rank = policy_.RankOf(needs, now);
  const bool is_first =
      std::all_of(backlog_.begin(), backlog_.end(), [&](const auto& entry) {
        return groups_by_id_.at(entry.second)->queue.begin()->first.rank > rank;
      });
  return is_first && MayStart(needs, rank, now);
}

Admission::CallClass* Admission::FindOrAddCallClass(const AdmissionOffer& offer,
                                                    Time now) {
  if (offer.call_class.empty()) {
    return nullptr;
  }
  auto found = call_classes_.find(offer.call_class);
  if (found == call_classes_.end()) {
    if (call_classes_.size() >= limits_.max_call_classes) {
      return nullptr;
    }
    found =
        call_classes_.emplace(std::string(offer.call_class), CallClass{}).first;
  }
  CallClass& call_class = found->second;
  if (offer.soft_deadline) {
    const Duration objective =
        std::min(*offer.soft_deadline, offer.deadline) - now;
    const bool is_old =
        now - call_class.objective_time > limits_.objective_max_age;
    if (is_old || objective >= call_class.objective) {
      call_class.objective = objective;
      call_class.objective_time = now;
    }
  }
  return &call_class;
}

std::optional<Duration> Admission::ExpectedServiceTime(
    std::string_view call_class,
    Time now) const {
  const auto found = call_classes_.find(call_class);
  if (found == call_classes_.end() ||
      found->second.service_time.mean == Duration::zero()) {
    return std::nullopt;
  }
  const CallClass& known = found->second;
  if (now - known.last_sample_time <= limits_.estimate_max_age) {
    return known.service_time.mean;
  }
  if (known.running.empty()) {
    return std::nullopt;
  }
  return std::max(known.service_time.mean, now - known.running.begin()->first);
}

Duration Admission::EstimateServiceTime(const Group* group,
                                        const CallClass* call_class) const {
  for (const ServiceTime* known :
       {call_class == nullptr ? nullptr : &call_class->service_time,
        group == nullptr ? nullptr : &group->service_time, &service_time_}) {
    if (known != nullptr && known->mean > Duration::zero()) {
      return known->mean;
    }
  }
  return kDefaultServiceTime;
}

Duration Admission::Deviation(const Group& group, const CallClass* call_class) {
  return call_class != nullptr ? call_class->service_time.deviation
                               : group.service_time.deviation;
}

// The time that the call should have left when it starts, of the `whole` with
// which it arrived.
Duration Admission::RequiredTime(const Call& call, Duration whole) const {
  return verbenastile::RequiredTime(
      EstimateServiceTime(call.group, call.call_class),
      Deviation(*call.group, call.call_class), whole);
}

AdmissionRefusal Admission::CheckStart(const Call& call, Time now) const {
  if (call.deadline <= now) {
    return AdmissionRefusal::kDeadlinePassed;
  }
  const Duration whole = call.deadline - call.arrived;
  const Duration needed = std::max(
      RequiredTime(call, whole),
      std::min(limits_.refusal_transit_time, whole / kMinTransitDivisor));
  if (limits_.refuse_early && call.deadline < now + needed) {
    return AdmissionRefusal::kWouldMissDeadline;
  }
  return AdmissionRefusal::kNone;
}

Duration Admission::RateLimitDelay(Time now) const {
  return rate_limiter_.Wait(now) +
         rate_limiter_.interval() * static_cast<std::int64_t>(queued_);
}

// Makes space in the queues, if necessary by refusing a queued call of lower
// priority or of a group with a longer queue. Returns false if there is none to
// refuse.
bool Admission::MakeQueueSpace(Group& group,
                               CallRank rank,
                               AdmissionActions& actions) {
  if (group.queue.size() >= limits_.max_queued_per_group) {
    return EvictLowerRank(group, rank, actions);
  }
  if (queued_ < limits_.max_queued) {
    return true;
  }
  Group* longest = FindLongestQueue(group);
  if (longest == nullptr) {
    return EvictLowerRank(group, rank, actions);
  }
  Refuse(longest->queue.rbegin()->second, AdmissionRefusal::kDisplaced,
         actions);
  return true;
}

bool Admission::EvictLowerRank(Group& group,
                               CallRank rank,
                               AdmissionActions& actions) {
  const auto last = group.queue.rbegin();
  if (last == group.queue.rend() || last->first.rank <= rank) {
    return false;
  }
  Refuse(last->second, AdmissionRefusal::kDisplaced, actions);
  return true;
}

// The group with the longest queue relative to its weight, if that queue is
// longer than the queue of `incoming` would be with one more call; otherwise
// null.
Admission::Group* Admission::FindLongestQueue(const Group& incoming) {
  Group* longest = nullptr;
  const auto is_longer = [](std::size_t a, const Group& group_a, std::size_t b,
                            const Group& group_b) {
    return static_cast<std::uint64_t>(a) * group_b.weight >
           static_cast<std::uint64_t>(b) * group_a.weight;
  };
  for (const auto& [start_tag, group_id] : backlog_) {
    Group* group = groups_by_id_[group_id];
    if (longest == nullptr || is_longer(group->queue.size(), *group,
                                        longest->queue.size(), *longest)) {
      longest = group;
    }
  }
  const bool found = longest != nullptr && longest != &incoming &&
                     is_longer(longest->queue.size(), *longest,
                               incoming.queue.size() + 1, incoming);
  return found ? longest : nullptr;
}

void Admission::Enqueue(CallId id, const Call& call) {
  Group& group = *call.group;
  calls_[id] = call;
  if (group.queue.empty()) {
    group.start_tag = std::max(group.start_tag, virtual_time_);
    backlog_.emplace(group.start_tag, group.group_id);
    backlogged_weight_ += group.weight;
  }
  group.queue.emplace(call.key, id);
  ++group.queued_by_rank[call.key.rank];
  ++queued_;
  deadlines_.emplace(call.deadline, id);
  ++stats_.queued;
}

void Admission::Start(CallId id, Call& call, Time now) {
  Group& group = *call.group;
  call.running = true;
  call.started = now;
  call.charged_time = EstimateServiceTime(&group, call.call_class);
  AddToShare(call, call.charged_time, now);
  running_calls_.insert(id);
  rate_limiter_.OnStarted(now);
  if (call.call_class != nullptr) {
    call.call_class->running.emplace(now, id);
  }
  ++group.running;
  ++busy_;
  virtual_time_ = std::max(virtual_time_, group.start_tag);
  const Tag charge = call.charged_time.count() * kTagScale / group.weight;
  SetTag(group, group.start_tag + charge);
  CheckInvariant(busy_ <= slots_, "slots_never_exceeded", group.name);
  CheckInvariant(busy_ == running_calls_.size(), "slots_never_leaked",
                 group.name);
}

void Admission::StartQueued(Time now, AdmissionActions& actions) {
  while (busy_ < slots_ && !backlog_.empty() &&
         rate_limiter_.Wait(now) == Duration::zero()) {
    Group& group = *groups_by_id_[backlog_.begin()->second];
    const auto next = SelectNext(group, now);
    if (!next) {
      break;
    }
    const CallId id = *next;
    Call& call = calls_[id];
    const AdmissionRefusal refusal = CheckStart(call, now);
    if (refusal != AdmissionRefusal::kNone) {
      Refuse(id, refusal, actions);
      continue;
    }
    // Dequeue first, so that `Start` charges the group as it is without this
    // queued call.
    Dequeue(id, call);
    Start(id, call, now);
    ++stats_.started;
    actions.emplace_back(StartCall{id});
  }
  if (virtual_time_ > kRebaseThreshold) {
    RebaseTags();
  }
}

// Selects the next call of the group: the first one, unless a lower rank has
// reached `max_bypasses`. Returns nothing if the free slot is kept for a more
// urgent call.
std::optional<CallId> Admission::SelectNext(Group& group, Time now) {
  auto chosen = group.queue.end();
  for (CallRank rank = 0; rank < kRanks; ++rank) {
    const bool is_waiting = group.queued_by_rank[rank] > 0;
    const bool must_run = group.bypass_counts[rank] >= limits_.max_bypasses;
    if (is_waiting && (chosen == group.queue.end() || must_run)) {
      chosen = group.queue.lower_bound({rank, Time::min(), 0});
    }
  }
  const CallRank rank = chosen->first.rank;
  const bool is_due = group.bypass_counts[rank] >= limits_.max_bypasses;
  if (!is_due && !MayStart(calls_[chosen->second].needs, rank, now)) {
    return std::nullopt;
  }
  for (CallRank i = rank + 1; i < kRanks; ++i) {
    group.bypass_counts[i] += group.queued_by_rank[i] > 0 ? 1 : 0;
  }
  group.bypass_counts[rank] = 0;
  return chosen->second;
}

void Admission::Refuse(CallId id,
                       AdmissionRefusal reason,
                       AdmissionActions& actions) {
  const auto found = calls_.find(id);
  Dequeue(id, found->second);
  calls_.erase(found);
  ++stats_.refused;
  actions.emplace_back(RefuseCall{id, reason});
}

void Admission::Dequeue(CallId id, const Call& call) {
  Group& group = *call.group;
  group.queue.erase(call.key);
  --group.queued_by_rank[call.key.rank];
  deadlines_.erase({call.deadline, id});
  --queued_;
  if (group.queue.empty()) {
    backlog_.erase({group.start_tag, group.group_id});
    backlogged_weight_ -= group.weight;
    group.bypass_counts = {};
  }
}

void Admission::SetTag(Group& group, Tag start_tag) {
  if (!group.queue.empty()) {
    backlog_.erase({group.start_tag, group.group_id});
    backlog_.emplace(start_tag, group.group_id);
  }
  group.start_tag = start_tag;
  highest_tag_ = std::max(highest_tag_, start_tag);
}

// Charges `time` to the group; negative if the estimate was too high. The debt
// of the group stays within `max_debt`.
void Admission::Charge(Group& group, Duration time) {
  Tag start_tag = group.start_tag + time.count() * kTagScale / group.weight;
  if (time > Duration::zero()) {
    const Tag upper_bound =
        virtual_time_ + limits_.max_debt.count() * kTagScale / group.weight;
    start_tag = std::max(group.start_tag, std::min(start_tag, upper_bound));
  }
  SetTag(group, start_tag);
}

AdmissionActions Admission::OnEnded(CallId id, Time now) {
  AdmissionActions actions;
  const auto found = calls_.find(id);
  const bool is_running = found != calls_.end() && found->second.running;
  if (!CheckInvariant(is_running, "only_running_calls_end",
                      std::to_string(id))) {
    return actions;
  }
  const Call call = found->second;
  calls_.erase(found);
  running_calls_.erase(id);
  if (call.call_class != nullptr) {
    call.call_class->running.erase({call.started, id});
  }
  --busy_;
  --call.group->running;
  ++stats_.ended;
  const Duration held = now - call.started;
  Charge(*call.group, held - call.charged_time);
  AddToShare(call, held - call.charged_time, now);
  RecordServiceTime(call, held, now);
  StartQueued(now, actions);
  EndBusyPeriod();
  return actions;
}

CancelVerdict Admission::OnCancelled(CallId id, Time) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return CancelVerdict::kUnknown;
  }
  if (found->second.running) {
    return CancelVerdict::kRunning;
  }
  Dequeue(id, found->second);
  calls_.erase(found);
  ++stats_.cancelled;
  return CancelVerdict::kNotRun;
}

AdmissionActions Admission::Tick(Time now) {
  AdmissionActions actions;
  ChargeRunning(now);
  // A call may need more time than one with an earlier deadline.
  for (auto next = deadlines_.begin(); next != deadlines_.end();) {
    const CallId id = next->second;
    ++next;
    const AdmissionRefusal refusal = CheckStart(calls_[id], now);
    if (refusal != AdmissionRefusal::kNone) {
      Refuse(id, refusal, actions);
    }
  }
  StartQueued(now, actions);
  RemoveIdleGroups();
  return actions;
}

// Charges groups for calls that run longer than estimated, while they run.
void Admission::ChargeRunning(Time now) {
  for (const CallId id : running_calls_) {
    Call& call = calls_[id];
    const Duration held = now - call.started;
    if (held > call.charged_time) {
      Charge(*call.group, held - call.charged_time);
      AddToShare(call, held - call.charged_time, now);
      call.charged_time = held;
    }
  }
}

AdmissionActions Admission::SetSlots(std::uint32_t slots, Time now) {
  AdmissionActions actions;
  slots_ = slots;
  StartQueued(now, actions);
  return actions;
}

std::size_t Admission::QueuedInGroup(std::string_view group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.queue.size();
}

void Admission::AddToShare(const Call& call, Duration time, Time now) {
  if (!call.caller_group.empty()) {
    shares_.OnSlotTime(call.caller_group, call.caller_weight, time, now);
  }
}

void Admission::RecordServiceTime(const Call& call, Duration time, Time now) {
  const Duration longest = limits_.max_service_time_sample;
  call.group->service_time.Add(time, longest);
  service_time_.Add(time, longest);
  policy_.OnSlotTime(call.key.rank, time, now);
  if (call.call_class != nullptr) {
    CallClass& call_class = *call.call_class;
    if (now - call_class.last_sample_time > limits_.estimate_max_age) {
      // The last sample is too old: start the average anew.
      call_class.service_time.mean = Duration::zero();
    }
    call_class.service_time.Add(time, longest);
    call_class.last_sample_time = now;
  }
}

// When no call is queued or running, all groups start again without debt.
void Admission::EndBusyPeriod() {
  if (busy_ == 0 && queued_ == 0) {
    virtual_time_ = std::max(virtual_time_, highest_tag_);
  }
}

void Admission::RebaseTags() {
  const Tag base = virtual_time_;
  highest_tag_ -= base;
  virtual_time_ = 0;
  backlog_.clear();
  for (auto& [name, group] : groups_) {
    group.start_tag -= base;
    if (!group.queue.empty()) {
      backlog_.emplace(group.start_tag, group.group_id);
    }
  }
}

void Admission::RemoveIdleGroups() {
  if (groups_.size() <= limits_.max_idle_groups) {
    return;
  }
  const bool all = groups_.size() > 2 * limits_.max_idle_groups;
  std::erase_if(groups_, [&](const auto& entry) {
    const Group& group = entry.second;
    const bool idle = group.queue.empty() && group.running == 0;
    if (!idle || (!all && group.start_tag > virtual_time_)) {
      return false;
    }
    groups_by_id_.erase(group.group_id);
    return true;
  });
}

}  // namespace verbenastile
