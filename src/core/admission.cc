#include "core/admission.h"

#include <algorithm>
#include <limits>

#include "core/invariant.h"

namespace verbenastile {
namespace {

constexpr std::int64_t kTagScale = 1'000'000;
// Tags are moved back towards zero beyond this.
constexpr std::int64_t kRebaseAt = std::int64_t{1} << 60;
constexpr std::int64_t kAverageOver = 8;
// A sample counts as at most so many times the average, so that one long
// stream does not make all others look hopeless.
constexpr std::int64_t kMaxSampleOfAverage = 4;
constexpr Duration kFirstEstimate = std::chrono::milliseconds(1);
constexpr std::string_view kOneQueue = "";

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
  Group& group = GroupOf(offer);
  ServiceTime* kind = KindOf(offer.kind);
  offered_[IndexOf(offer.priority)] = now;
  result.refusal = WhyNotQueue(offer, group, kind, now);
  if (result.refusal == AdmissionRefusal::kNone && HasFreeSlot()) {
    Call& call = calls_[offer.id];
    call = {&group, kind, offer.priority, now, offer.deadline, false, now, {}};
    SetTag(group, std::max(group.tag, virtual_time_));
    Start(offer.id, call, now);
    ++stats_.admitted;
    result.verdict = AdmissionVerdict::kAdmitted;
    return result;
  }
  if (result.refusal == AdmissionRefusal::kNone &&
      !MakeRoom(group, offer.priority, result.actions)) {
    result.refusal = group.queued >= limits_.max_queued_of_group
                         ? AdmissionRefusal::kGroupQueueFull
                         : AdmissionRefusal::kQueueFull;
  }
  if (result.refusal != AdmissionRefusal::kNone) {
    ++stats_.refused;
    result.come_back = ExpectedWait(group, offer.priority);
    return result;
  }
  Enqueue(offer, group, kind, now);
  result.verdict = AdmissionVerdict::kQueued;
  return result;
}

Admission::Group& Admission::GroupOf(const AdmissionOffer& offer) {
  const std::string_view name = limits_.fair ? offer.group : kOneQueue;
  const std::uint32_t weight =
      std::clamp<std::uint32_t>(limits_.fair ? offer.weight : 1, 1, kMaxWeight);
  auto found = groups_.find(name);
  if (found == groups_.end()) {
    found = groups_.emplace(name, Group{}).first;
    Group& group = found->second;
    group.name = found->first;
    group.serial = next_serial_++;
    group.tag = virtual_time_;
    by_serial_[group.serial] = &group;
  }
  Group& group = found->second;
  if (group.queued > 0) {
    backlogged_weight_ += weight;
    backlogged_weight_ -= group.weight;
  }
  group.weight = weight;
  return group;
}

AdmissionRefusal Admission::WhyNotQueue(const AdmissionOffer& offer,
                                        const Group& group,
                                        const ServiceTime* kind,
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
  const bool at_once = HasFreeSlot();
  if (!at_once && limits_.refuse_early &&
      now + ExpectedWait(group, offer.priority) +
              NeededTime(group, kind, offer.deadline - now) >
          offer.deadline) {
    return AdmissionRefusal::kWouldMissDeadline;
  }
  if (!at_once && limits_.refuse_early &&
      WouldBeLate(offer, group, kind, now)) {
    return AdmissionRefusal::kWouldBeLate;
  }
  return AdmissionRefusal::kNone;
}

bool Admission::WouldBeLate(const AdmissionOffer& offer,
                            const Group& group,
                            const ServiceTime* kind,
                            Time now) const {
  constexpr std::int64_t kPermille = 1'000;
  if (!offer.due) {
    return false;
  }
  const std::uint32_t part = PassesOthers(offer.priority, now)
                                 ? limits_.urgent_queue_permille
                                 : limits_.queue_permille;
  const Duration room = (*offer.due - now) * part / kPermille;
  return ExpectedWait(group, offer.priority) + Estimate(group, kind) > room;
}

Admission::ServiceTime* Admission::KindOf(std::string_view kind) {
  if (kind.empty()) {
    return nullptr;
  }
  const auto found = kinds_.find(kind);
  if (found != kinds_.end()) {
    return &found->second;
  }
  if (kinds_.size() >= limits_.max_kinds) {
    return nullptr;
  }
  return &kinds_[std::string(kind)];
}

std::optional<Duration> Admission::ExpectedService(std::string_view kind,
                                                   Time now) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end() || found->second.mean == Duration::zero()) {
    return std::nullopt;
  }
  const ServiceTime& known = found->second;
  if (now - known.learned <= limits_.estimate_memory) {
    return known.mean;
  }
  if (known.running.empty()) {
    return std::nullopt;
  }
  return std::max(known.mean, now - known.running.begin()->first);
}

Duration Admission::Estimate(const Group& group,
                             const ServiceTime* kind) const {
  if (kind != nullptr && kind->mean > Duration::zero()) {
    return kind->mean;
  }
  if (group.service_time.mean > Duration::zero()) {
    return group.service_time.mean;
  }
  return service_time_.mean > Duration::zero() ? service_time_.mean
                                               : kFirstEstimate;
}

// Whether calls of a lower priority come to this upstream too.
bool Admission::PassesOthers(Priority priority, Time now) const {
  for (std::size_t i = IndexOf(priority) + 1; i < kPriorities; ++i) {
    if (offered_[i] && now - *offered_[i] < limits_.priority_memory) {
      return true;
    }
  }
  return false;
}

// The time that a call should have left when it starts: the mean and two
// deviations, as in TCP's retransmission timer (Jacobson 1988). Calls that
// come with less than that are only asked not to lose much of it by waiting.
Duration Admission::NeededTime(const Group& group,
                               const ServiceTime* kind,
                               Duration whole) const {
  const Duration mean = Estimate(group, kind);
  const Duration deviation =
      kind != nullptr ? kind->deviation : group.service_time.deviation;
  const Duration most = mean + 2 * deviation;
  return std::min(most, std::max(mean, whole * 3 / 4));
}

AdmissionRefusal Admission::WhyNotStart(const Call& call, Time now) const {
  if (call.deadline <= now) {
    return AdmissionRefusal::kDeadlinePassed;
  }
  const Duration needed =
      NeededTime(*call.group, call.kind, call.deadline - call.arrived);
  if (limits_.refuse_early && call.deadline < now + needed) {
    return AdmissionRefusal::kWouldMissDeadline;
  }
  return AdmissionRefusal::kNone;
}

// The calls before this one in its group, at the group's part of the slots.
Duration Admission::ExpectedWait(const Group& group, Priority priority) const {
  std::int64_t before = 1;
  for (std::size_t i = 0; i <= IndexOf(priority); ++i) {
    before += static_cast<std::int64_t>(group.queues[i].size());
  }
  const std::uint64_t weights =
      backlogged_weight_ + (group.queued > 0 ? 0 : group.weight);
  const std::int64_t share_of_weight = static_cast<std::int64_t>(
      std::max<std::uint64_t>(weights / group.weight, 1));
  const std::int64_t slots = std::max<std::int64_t>(slots_, 1);
  return Estimate(group, nullptr) * before * share_of_weight / slots;
}

// Room in the queues, if need be by refusing a call that counts for less.
bool Admission::MakeRoom(Group& group,
                         Priority priority,
                         AdmissionActions& actions) {
  if (group.queued >= limits_.max_queued_of_group) {
    return DisplaceInGroup(group, IndexOf(priority), actions);
  }
  if (queued_ < limits_.max_queued) {
    return true;
  }
  Group* longest = LongestQueue(group);
  if (longest == nullptr) {
    return DisplaceInGroup(group, IndexOf(priority), actions);
  }
  for (std::size_t i = kPriorities; i-- > 0;) {
    if (!longest->queues[i].empty()) {
      Refuse(longest->queues[i].back(), AdmissionRefusal::kDisplaced, actions);
      return true;
    }
  }
  return false;
}

bool Admission::DisplaceInGroup(Group& group,
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

// The group with the longest queue for its weight, when that is longer than
// the queue of `than` would be with one call more; null otherwise.
Admission::Group* Admission::LongestQueue(const Group& than) {
  Group* longest = nullptr;
  const auto longer = [](std::size_t a, const Group& of_a, std::size_t b,
                         const Group& of_b) {
    return static_cast<std::uint64_t>(a) * of_b.weight >
           static_cast<std::uint64_t>(b) * of_a.weight;
  };
  for (const auto& [tag, serial] : backlog_) {
    Group* group = by_serial_[serial];
    if (longest == nullptr ||
        longer(group->queued, *group, longest->queued, *longest)) {
      longest = group;
    }
  }
  const bool found = longest != nullptr && longest != &than &&
                     longer(longest->queued, *longest, than.queued + 1, than);
  return found ? longest : nullptr;
}

void Admission::Enqueue(const AdmissionOffer& offer,
                        Group& group,
                        ServiceTime* kind,
                        Time now) {
  calls_[offer.id] = {&group, kind, offer.priority, now, offer.deadline, false,
                      {},     {}};
  group.queues[IndexOf(offer.priority)].push_back(offer.id);
  if (group.queued == 0) {
    group.tag = std::max(group.tag, virtual_time_);
    backlog_.emplace(group.tag, group.serial);
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
  call.charged = Estimate(group, call.kind);
  running_.insert(id);
  if (call.kind != nullptr) {
    call.kind->running.emplace(now, id);
  }
  ++group.running;
  ++busy_;
  virtual_time_ = std::max(virtual_time_, group.tag);
  const Tag paid = call.charged.count() * kTagScale / group.weight;
  SetTag(group, group.tag + paid);
  CheckInvariant(busy_ <= slots_, "slots_never_exceeded", group.name);
  CheckInvariant(busy_ == running_.size(), "slots_never_leaked", group.name);
}

void Admission::StartQueued(Time now, AdmissionActions& actions) {
  while (busy_ < slots_ && !backlog_.empty()) {
    Group& group = *by_serial_[backlog_.begin()->second];
    const CallId id = PopNext(group);
    Call& call = calls_[id];
    const AdmissionRefusal refusal = WhyNotStart(call, now);
    if (refusal != AdmissionRefusal::kNone) {
      Refuse(id, refusal, actions);
      continue;
    }
    // Out of the queue first, so that its group is charged as it will be.
    RemoveQueued(id, call);
    Start(id, call, now);
    ++stats_.started;
    actions.emplace_back(StartCall{id});
  }
  if (virtual_time_ > kRebaseAt) {
    Rebase();
  }
}

// The next call of the group: the highest priority, unless a lower one was
// passed over often enough.
CallId Admission::PopNext(Group& group) {
  std::size_t chosen = kPriorities;
  for (std::size_t i = 0; i < kPriorities; ++i) {
    const bool waits = !group.queues[i].empty();
    const bool due = group.passed_over[i] >= limits_.max_passed_over;
    if (waits && (chosen == kPriorities || due)) {
      chosen = i;
    }
  }
  for (std::size_t i = chosen + 1; i < kPriorities; ++i) {
    group.passed_over[i] += group.queues[i].empty() ? 0 : 1;
  }
  group.passed_over[chosen] = 0;
  return group.queues[chosen].front();
}

void Admission::Refuse(CallId id,
                       AdmissionRefusal reason,
                       AdmissionActions& actions) {
  const auto found = calls_.find(id);
  RemoveQueued(id, found->second);
  calls_.erase(found);
  ++stats_.refused;
  actions.emplace_back(RefuseCall{id, reason});
}

void Admission::RemoveQueued(CallId id, const Call& call) {
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
    backlog_.erase({group.tag, group.serial});
    backlogged_weight_ -= group.weight;
    group.passed_over = {};
  }
}

void Admission::SetTag(Group& group, Tag tag) {
  if (group.queued > 0) {
    backlog_.erase({group.tag, group.serial});
    backlog_.emplace(tag, group.serial);
  }
  group.tag = tag;
  highest_tag_ = std::max(highest_tag_, tag);
}

// `time` may be negative: the estimate was too high. What a group owes stays
// bounded.
void Admission::Charge(Group& group, Duration time) {
  Tag tag = group.tag + time.count() * kTagScale / group.weight;
  if (time > Duration::zero()) {
    const Tag most =
        virtual_time_ + limits_.max_debt.count() * kTagScale / group.weight;
    tag = std::max(group.tag, std::min(tag, most));
  }
  SetTag(group, tag);
}

AdmissionActions Admission::OnEnded(CallId id, Time now) {
  AdmissionActions actions;
  const auto found = calls_.find(id);
  const bool known = found != calls_.end() && found->second.running;
  if (!CheckInvariant(known, "only_running_calls_end", std::to_string(id))) {
    return actions;
  }
  const Call call = found->second;
  calls_.erase(found);
  running_.erase(id);
  if (call.kind != nullptr) {
    call.kind->running.erase({call.started, id});
  }
  --busy_;
  --call.group->running;
  ++stats_.ended;
  const Duration held = now - call.started;
  Charge(*call.group, held - call.charged);
  LearnServiceTime(call, held, now);
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
  RemoveQueued(id, found->second);
  calls_.erase(found);
  ++stats_.cancelled;
  return CancelVerdict::kNotRun;
}

AdmissionActions Admission::Tick(Time now) {
  AdmissionActions actions;
  ChargeRunning(now);
  while (!deadlines_.empty()) {
    const CallId id = deadlines_.begin()->second;
    const AdmissionRefusal refusal = WhyNotStart(calls_[id], now);
    if (refusal == AdmissionRefusal::kNone) {
      break;
    }
    Refuse(id, refusal, actions);
  }
  StartQueued(now, actions);
  ForgetIdleGroups();
  return actions;
}

// Calls that run longer than was estimated pay as they run.
void Admission::ChargeRunning(Time now) {
  for (const CallId id : running_) {
    Call& call = calls_[id];
    const Duration held = now - call.started;
    if (held > call.charged) {
      Charge(*call.group, held - call.charged);
      call.charged = held;
    }
  }
}

AdmissionActions Admission::SetSlots(std::uint32_t slots, Time now) {
  AdmissionActions actions;
  slots_ = slots;
  StartQueued(now, actions);
  return actions;
}

std::size_t Admission::QueuedOf(std::string_view group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.queued;
}

void Admission::LearnServiceTime(const Call& call, Duration time, Time now) {
  Learn(call.group->service_time, time);
  Learn(service_time_, time);
  if (call.kind != nullptr) {
    if (now - call.kind->learned > limits_.estimate_memory) {
      // What was known is of another time.
      call.kind->mean = Duration::zero();
    }
    Learn(*call.kind, time);
    call.kind->learned = now;
  }
}

void Admission::Learn(ServiceTime& known, Duration time) const {
  Duration sample = std::min(time, limits_.max_estimate);
  if (known.mean == Duration::zero()) {
    known.mean = std::max(sample, Duration(1));
    return;
  }
  const Duration off = sample - known.mean;
  const Duration size = std::min(off < Duration::zero() ? -off : off,
                                 known.mean * kMaxSampleOfAverage);
  known.deviation += (size - known.deviation) / kAverageOver;
  sample = std::min(sample, std::max(known.mean * kMaxSampleOfAverage,
                                     Duration(kFirstEstimate)));
  known.mean += (sample - known.mean) / kAverageOver;
  known.mean = std::max(known.mean, Duration(1));
}

// With nothing waiting or running nobody is owed anything.
void Admission::EndBusyPeriod() {
  if (busy_ == 0 && queued_ == 0) {
    virtual_time_ = std::max(virtual_time_, highest_tag_);
  }
}

void Admission::Rebase() {
  const Tag base = virtual_time_;
  highest_tag_ -= base;
  virtual_time_ = 0;
  backlog_.clear();
  for (auto& [name, group] : groups_) {
    group.tag -= base;
    if (group.queued > 0) {
      backlog_.emplace(group.tag, group.serial);
    }
  }
}

void Admission::ForgetIdleGroups() {
  if (groups_.size() <= limits_.max_idle_groups) {
    return;
  }
  const bool all = groups_.size() > 2 * limits_.max_idle_groups;
  std::erase_if(groups_, [&](const auto& entry) {
    const Group& group = entry.second;
    const bool idle = group.queued == 0 && group.running == 0;
    if (!idle || (!all && group.tag > virtual_time_)) {
      return false;
    }
    by_serial_.erase(group.serial);
    return true;
  });
}

}  // namespace verbenastile
