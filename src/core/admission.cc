#include "core/admission.h"

#include <algorithm>
#include <limits>

#include "core/invariant.h"

namespace verbenastile {
namespace {

constexpr std::int64_t kTagScale = 1'000'000;
// Tags beyond this are rebased to zero, well before they overflow.
constexpr std::int64_t kRebaseThreshold = std::int64_t{1} << 60;
constexpr std::int64_t kAverageWindow = 8;
// Larger samples are capped at this multiple of the average, so that one long
// stream does not make every other call look hopeless.
constexpr std::int64_t kMaxSampleToMeanRatio = 4;
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(1);
constexpr std::string_view kSharedQueueName = "";

std::size_t IndexOf(Priority priority) {
  return static_cast<std::size_t>(priority);
}

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
  }
  return "unknown";
}

Admission::Admission(std::uint32_t slots, AdmissionLimits limits)
    : slots_(slots), limits_(limits) {}

AdmissionResult Admission::Offer(const AdmissionOffer& offer, Time now) {
  AdmissionResult result;
  Group& group = FindOrAddGroup(offer);
  ServiceTimeStats* call_class = FindOrAddCallClass(offer.call_class);
  last_offered_[IndexOf(offer.priority)] = now;
  result.refusal = CheckOffer(offer, group, call_class, now);
  if (result.refusal == AdmissionRefusal::kNone && CanStartNow(now)) {
    Call& call = calls_[offer.id];
    call = {&group, call_class, offer.priority, now, offer.deadline, false,
            now,    {}};
    SetTag(group, std::max(group.start_tag, virtual_time_));
    Start(offer.id, call, now);
    ++stats_.admitted;
    result.verdict = AdmissionVerdict::kAdmitted;
    return result;
  }
  if (result.refusal == AdmissionRefusal::kNone &&
      !MakeQueueSpace(group, offer.priority, result.actions)) {
    result.refusal = group.queued >= limits_.max_queued_per_group
                         ? AdmissionRefusal::kGroupQueueFull
                         : AdmissionRefusal::kQueueFull;
  }
  if (result.refusal != AdmissionRefusal::kNone) {
    ++stats_.refused;
    result.retry_after = ExpectedWait(group, offer.priority, now);
    return result;
  }
  Enqueue(offer, group, call_class, now);
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
  if (group.queued > 0) {
    backlogged_weight_ += weight;
    backlogged_weight_ -= group.weight;
  }
  group.weight = weight;
  return group;
}

AdmissionRefusal Admission::CheckOffer(const AdmissionOffer& offer,
                                       const Group& group,
                                       const ServiceTimeStats* call_class,
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
  const bool starts_now = CanStartNow(now);
  if (!starts_now && limits_.refuse_early &&
      now + ExpectedWait(group, offer.priority, now) +
              RequiredTime(group, call_class, offer.deadline - now) >
          offer.deadline) {
    return AdmissionRefusal::kWouldMissDeadline;
  }
  if (!starts_now && limits_.refuse_early &&
      WouldBeLate(offer, group, call_class, now)) {
    return AdmissionRefusal::kWouldBeLate;
  }
  return AdmissionRefusal::kNone;
}

bool Admission::WouldBeLate(const AdmissionOffer& offer,
                            const Group& group,
                            const ServiceTimeStats* call_class,
                            Time now) const {
  constexpr std::int64_t kPermille = 1'000;
  if (!offer.soft_deadline) {
    return false;
  }
  const std::uint32_t permille = HasLowerPriorityTraffic(offer.priority, now)
                                     ? limits_.urgent_queue_permille
                                     : limits_.queue_permille;
  const Duration available =
      (*offer.soft_deadline - now) * permille / kPermille;
  return ExpectedWait(group, offer.priority, now) +
             EstimateServiceTime(group, call_class) >
         available;
}

Admission::ServiceTimeStats* Admission::FindOrAddCallClass(
    std::string_view call_class) {
  if (call_class.empty()) {
    return nullptr;
  }
  const auto found = call_classes_.find(call_class);
  if (found != call_classes_.end()) {
    return &found->second;
  }
  if (call_classes_.size() >= limits_.max_call_classes) {
    return nullptr;
  }
  return &call_classes_[std::string(call_class)];
}

std::optional<Duration> Admission::ExpectedServiceTime(
    std::string_view call_class,
    Time now) const {
  const auto found = call_classes_.find(call_class);
  if (found == call_classes_.end() || found->second.mean == Duration::zero()) {
    return std::nullopt;
  }
  const ServiceTimeStats& stats = found->second;
  if (now - stats.last_sample_time <= limits_.estimate_max_age) {
    return stats.mean;
  }
  if (stats.running.empty()) {
    return std::nullopt;
  }
  return std::max(stats.mean, now - stats.running.begin()->first);
}

Duration Admission::EstimateServiceTime(
    const Group& group,
    const ServiceTimeStats* call_class) const {
  if (call_class != nullptr && call_class->mean > Duration::zero()) {
    return call_class->mean;
  }
  if (group.service_time.mean > Duration::zero()) {
    return group.service_time.mean;
  }
  return service_time_.mean > Duration::zero() ? service_time_.mean
                                               : kDefaultServiceTime;
}

// Whether calls of a lower priority have also arrived lately.
bool Admission::HasLowerPriorityTraffic(Priority priority, Time now) const {
  for (std::size_t i = IndexOf(priority) + 1; i < kPriorities; ++i) {
    if (last_offered_[i] &&
        now - *last_offered_[i] < limits_.priority_timeout) {
      return true;
    }
  }
  return false;
}

// The time that a call should have left when it starts: the mean service time
// plus two deviations, similar to the retransmission timeout of TCP (Jacobson
// 1988). A call that arrives with less than that must still have three quarters
// of its original time left, and at least the mean.
Duration Admission::RequiredTime(const Group& group,
                                 const ServiceTimeStats* call_class,
                                 Duration whole) const {
  const Duration mean = EstimateServiceTime(group, call_class);
  const Duration deviation = call_class != nullptr
                                 ? call_class->deviation
                                 : group.service_time.deviation;
  const Duration upper_bound = mean + 2 * deviation;
  return std::min(upper_bound, std::max(mean, whole * 3 / 4));
}

AdmissionRefusal Admission::CheckStart(const Call& call, Time now) const {
  if (call.deadline <= now) {
    return AdmissionRefusal::kDeadlinePassed;
  }
  const Duration needed =
      RequiredTime(*call.group, call.call_class, call.deadline - call.arrived);
  if (limits_.refuse_early && call.deadline < now + needed) {
    return AdmissionRefusal::kWouldMissDeadline;
  }
  return AdmissionRefusal::kNone;
}

// The time until all queued calls ahead of this one have run on the slots that
// are the fair share of the group, or until the rate limit lets it start if
// that is later.
Duration Admission::ExpectedWait(const Group& group,
                                 Priority priority,
                                 Time now) const {
  std::int64_t calls_ahead = 1;
  for (std::size_t i = 0; i <= IndexOf(priority); ++i) {
    calls_ahead += static_cast<std::int64_t>(group.queues[i].size());
  }
  const std::uint64_t total_weight =
      backlogged_weight_ + (group.queued > 0 ? 0 : group.weight);
  const std::int64_t share_divisor = static_cast<std::int64_t>(
      std::max<std::uint64_t>(total_weight / group.weight, 1));
  const std::int64_t slots = std::max<std::int64_t>(slots_, 1);
  const Duration slot_wait =
      EstimateServiceTime(group, nullptr) * calls_ahead * share_divisor / slots;
  const Duration rate_wait =
      rate_limiter_.Wait(now) +
      rate_limiter_.interval() * (calls_ahead * share_divisor - 1);
  return std::max(slot_wait, rate_wait);
}

Duration Admission::RateLimitDelay(Time now) const {
  return rate_limiter_.Wait(now) +
         rate_limiter_.interval() * static_cast<std::int64_t>(queued_);
}

// Makes space in the queues, if necessary by refusing a queued call of lower
// priority or of a group with a longer queue. Returns false if there is none to
// refuse.
bool Admission::MakeQueueSpace(Group& group,
                               Priority priority,
                               AdmissionActions& actions) {
  if (group.queued >= limits_.max_queued_per_group) {
    return EvictLowerPriority(group, IndexOf(priority), actions);
  }
  if (queued_ < limits_.max_queued) {
    return true;
  }
  Group* longest = FindLongestQueue(group);
  if (longest == nullptr) {
    return EvictLowerPriority(group, IndexOf(priority), actions);
  }
  for (std::size_t i = kPriorities; i-- > 0;) {
    if (!longest->queues[i].empty()) {
      Refuse(longest->queues[i].back(), AdmissionRefusal::kDisplaced, actions);
      return true;
    }
  }
  return false;
}

bool Admission::EvictLowerPriority(Group& group,
                                   std::size_t priority,
                                   AdmissionActions& actions) {
  for (std::size_t i = kPriorities; i-- > priority + 1;) {
    if (!group.queues[i].empty()) {
      Refuse(group.queues[i].back(), AdmissionRefusal::kDisplaced, actions);
      return true;
    }
  }
  return false;
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
    if (longest == nullptr ||
        is_longer(group->queued, *group, longest->queued, *longest)) {
      longest = group;
    }
  }
  const bool found =
      longest != nullptr && longest != &incoming &&
      is_longer(longest->queued, *longest, incoming.queued + 1, incoming);
  return found ? longest : nullptr;
}

void Admission::Enqueue(const AdmissionOffer& offer,
                        Group& group,
                        ServiceTimeStats* call_class,
                        Time now) {
  calls_[offer.id] = {
      &group, call_class, offer.priority, now, offer.deadline, false, {}, {}};
  group.queues[IndexOf(offer.priority)].push_back(offer.id);
  if (group.queued == 0) {
    group.start_tag = std::max(group.start_tag, virtual_time_);
    backlog_.emplace(group.start_tag, group.group_id);
    backlogged_weight_ += group.weight;
  }
  ++group.queued;
  ++queued_;
  deadlines_.emplace(offer.deadline, offer.id);
  ++stats_.queued;
}

void Admission::Start(CallId id, Call& call, Time now) {
  Group& group = *call.group;
  call.running = true;
  call.started = now;
  call.charged_time = EstimateServiceTime(group, call.call_class);
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
    const CallId id = SelectNext(group);
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

// Selects the next call of the group: the one of the highest priority, unless a
// lower priority has reached `max_bypasses`.
CallId Admission::SelectNext(Group& group) {
  std::size_t chosen = kPriorities;
  for (std::size_t i = 0; i < kPriorities; ++i) {
    const bool is_waiting = !group.queues[i].empty();
    const bool must_run = group.bypass_counts[i] >= limits_.max_bypasses;
    if (is_waiting && (chosen == kPriorities || must_run)) {
      chosen = i;
    }
  }
  for (std::size_t i = chosen + 1; i < kPriorities; ++i) {
    group.bypass_counts[i] += group.queues[i].empty() ? 0 : 1;
  }
  group.bypass_counts[chosen] = 0;
  return group.queues[chosen].front();
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
  std::deque<CallId>& queue = group.queues[IndexOf(call.priority)];
  if (queue.front() == id) {
    queue.pop_front();
  } else if (queue.back() == id) {
    queue.pop_back();
  } else {
    queue.erase(std::find(queue.begin(), queue.end(), id));
  }
  deadlines_.erase({call.deadline, id});
  --queued_;
  --group.queued;
  if (group.queued == 0) {
    backlog_.erase({group.start_tag, group.group_id});
    backlogged_weight_ -= group.weight;
    group.bypass_counts = {};
  }
}

void Admission::SetTag(Group& group, Tag start_tag) {
  if (group.queued > 0) {
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
  while (!deadlines_.empty()) {
    const CallId id = deadlines_.begin()->second;
    const AdmissionRefusal refusal = CheckStart(calls_[id], now);
    if (refusal == AdmissionRefusal::kNone) {
      break;
    }
    Refuse(id, refusal, actions);
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
  return found == groups_.end() ? 0 : found->second.queued;
}

void Admission::RecordServiceTime(const Call& call, Duration time, Time now) {
  AddSample(call.group->service_time, time);
  AddSample(service_time_, time);
  if (call.call_class != nullptr) {
    if (now - call.call_class->last_sample_time > limits_.estimate_max_age) {
      // The last sample is too old: start the average anew.
      call.call_class->mean = Duration::zero();
    }
    AddSample(*call.call_class, time);
    call.call_class->last_sample_time = now;
  }
}

void Admission::AddSample(ServiceTimeStats& stats, Duration time) const {
  Duration sample = std::min(time, limits_.max_service_time_sample);
  if (stats.mean == Duration::zero()) {
    stats.mean = std::max(sample, Duration(1));
    return;
  }
  const Duration difference = sample - stats.mean;
  const Duration magnitude =
      std::min(difference < Duration::zero() ? -difference : difference,
               stats.mean * kMaxSampleToMeanRatio);
  stats.deviation += (magnitude - stats.deviation) / kAverageWindow;
  sample = std::min(sample, std::max(stats.mean * kMaxSampleToMeanRatio,
                                     Duration(kDefaultServiceTime)));
  stats.mean += (sample - stats.mean) / kAverageWindow;
  stats.mean = std::max(stats.mean, Duration(1));
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
    if (group.queued > 0) {
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
    const bool idle = group.queued == 0 && group.running == 0;
    if (!idle || (!all && group.start_tag > virtual_time_)) {
      return false;
    }
    groups_by_id_.erase(group.group_id);
    return true;
  });
}

}  // namespace verbenastile
