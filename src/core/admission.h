// Admission of calls to one upstream's slots: fair shares by group, bounded
// queues, early refusal.
//
// Start-time fair queueing (Goyal, Vin, Cheng 1996) over as many servers as
// there are slots, as SFQ(D) (Jin, Chase, Kaur 2004). What a group pays is the
// time that its calls hold slots: an estimate when a call starts, the rest as
// it runs and ends. A free slot never waits while a call does. Priorities
// order the calls of one group; they take nothing from another group.
#ifndef CORE_ADMISSION_H_
#define CORE_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "config/rules.h"

namespace verbenastile {

// Names one call at one node; chosen by the caller of `Admission`.
using CallId = std::uint64_t;

struct AdmissionLimits {
  std::size_t max_queued_of_group = 64;
  std::size_t max_queued = 512;
  // A waiting call is passed over by higher priorities at most so often.
  std::uint32_t max_passed_over = 8;
  // The most slot time that a group may owe the others, per unit of weight of
  // 1; bounds how long streams that end keep their group waiting.
  Duration max_debt = std::chrono::seconds(10);
  // The most that one call counts for in estimates of service time.
  Duration max_estimate = std::chrono::seconds(2);
  // Groups without calls that are remembered while they owe the others;
  // beyond twice as many, all without calls are forgotten.
  std::size_t max_idle_groups = 1'024;
  // Kinds of calls whose service times are remembered.
  std::size_t max_kinds = 4'096;
  // A call is queued when it is expected to end within this part of its
  // objective; the rest covers what the mean service time does not. Calls that
  // pass others by their priority may take more: refused, they cost more than
  // their lateness does.
  std::uint32_t queue_permille = 600;
  std::uint32_t urgent_queue_permille = 1'500;
  // A priority that was not offered for this long is not passed any more.
  Duration priority_memory = std::chrono::seconds(5);
  Duration estimate_memory = std::chrono::seconds(1);
  // Off: calls wait until their deadline has passed. For comparisons.
  bool refuse_early = true;
  // Off: one queue for all groups, first come, first served. For comparisons.
  bool fair = true;
};

struct AdmissionOffer {
  CallId id = 0;
  std::string_view group;
  std::uint32_t weight = 1;
  Priority priority = Priority::kNormal;
  Time deadline;
  // An answer after this is late: a call that would have to wait and be late
  // is refused when it is offered. Once queued, only its deadline counts.
  std::optional<Time> due = std::nullopt;
  // Calls of one kind take similar time; empty: those of the group.
  std::string_view kind = {};
};

// Why a call was refused. No part of a refused call has run.
enum class AdmissionRefusal : std::uint8_t {
  kNone = 0,
  kDeadlinePassed,
  kWouldMissDeadline,
  kGroupQueueFull,
  kQueueFull,
  kDisplaced,  // Gave its place to a call of higher priority or smaller group.
  kDraining,
  kDuplicateId,
  kWouldBeLate,
};

// The name of `refusal` in lower case.
std::string_view ToString(AdmissionRefusal refusal);

// Start the queued call; its end must be reported.
struct StartCall {
  CallId id = 0;
};

// Refuse the queued call as not run; it is forgotten.
struct RefuseCall {
  CallId id = 0;
  AdmissionRefusal reason = AdmissionRefusal::kNone;
};

using AdmissionAction = std::variant<StartCall, RefuseCall>;
using AdmissionActions = std::vector<AdmissionAction>;

enum class AdmissionVerdict : std::uint8_t { kAdmitted, kQueued, kRefused };

struct AdmissionResult {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  AdmissionRefusal refusal = AdmissionRefusal::kNone;
  AdmissionActions actions;  // For other calls.
  // When refused: the time until a free slot is likely.
  Duration come_back{0};
};

enum class CancelVerdict : std::uint8_t {
  kUnknown,  // No such call.
  kNotRun,   // It was queued and is forgotten.
  kRunning,  // Cancel it at the upstream; it holds its slot until its end.
};

struct AdmissionStats {
  std::uint64_t admitted = 0;  // At once.
  std::uint64_t queued = 0;
  std::uint64_t started = 0;  // From the queue.
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;  // While queued.
  std::uint64_t ended = 0;
};

class Admission {
 public:
  explicit Admission(std::uint32_t slots, AdmissionLimits limits = {});

  AdmissionResult Offer(const AdmissionOffer& offer, Time now);
  // The upstream is done with the call, or can be proven not to run it.
  AdmissionActions OnEnded(CallId id, Time now);
  CancelVerdict OnCancelled(CallId id, Time now);
  // Refuses what would miss its deadline and charges running calls. Call it
  // every `kTickInterval`.
  AdmissionActions Tick(Time now);

  // A change of the announced slots; calls beyond them run to their end.
  AdmissionActions SetSlots(std::uint32_t slots, Time now);
  // From now on all offers are refused; queued calls still run.
  void Drain() { draining_ = true; }

  // The time that a call of the kind is expected to hold a slot. Nothing when
  // none has ended for `estimate_memory` and none is running, so that a slow
  // upstream is tried again by one call at a time.
  std::optional<Duration> ExpectedService(std::string_view kind,
                                          Time now) const;

  std::uint32_t slots() const { return slots_; }
  std::uint32_t busy() const { return busy_; }
  // Whether a call that is offered now starts at once.
  bool HasFreeSlot() const { return busy_ < slots_ && queued_ == 0; }
  std::size_t queued() const { return queued_; }
  std::size_t QueuedOf(std::string_view group) const;
  std::size_t group_count() const { return groups_.size(); }
  const AdmissionStats& stats() const { return stats_; }

  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);

 private:
  static constexpr std::size_t kPriorities = std::size(kPriorityNames);

  // A moving average of service times, and of their distance from it.
  struct ServiceTime {
    Duration mean{0};  // 0: not known.
    Duration deviation{0};
    Time learned;  // When the last call of the kind ended.
    std::set<std::pair<Time, CallId>> running;  // Of the kind, by their start.
  };

  // Slot time over weight, in microseconds times `kTagScale`.
  using Tag = std::int64_t;

  struct Group {
    std::string name;
    std::uint64_t serial = 0;
    std::uint32_t weight = 1;
    Tag tag = 0;  // Of the next call to start.
    std::array<std::deque<CallId>, kPriorities> queues;
    std::array<std::uint32_t, kPriorities> passed_over = {};
    std::size_t queued = 0;
    std::uint32_t running = 0;
    ServiceTime service_time;
  };

  struct Call {
    Group* group = nullptr;
    ServiceTime* kind = nullptr;  // Null: that of the group.
    Priority priority = Priority::kNormal;
    Time arrived;
    Time deadline;
    bool running = false;
    Time started;
    Duration charged{0};
  };

  using Backlog = std::set<std::pair<Tag, std::uint64_t>>;

  Group& GroupOf(const AdmissionOffer& offer);
  ServiceTime* KindOf(std::string_view kind);
  Duration Estimate(const Group& group, const ServiceTime* kind) const;
  Duration NeededTime(const Group& group,
                      const ServiceTime* kind,
                      Duration whole) const;
  bool WouldBeLate(const AdmissionOffer& offer,
                   const Group& group,
                   const ServiceTime* kind,
                   Time now) const;
  bool PassesOthers(Priority priority, Time now) const;
  AdmissionRefusal WhyNotStart(const Call& call, Time now) const;
  Duration ExpectedWait(const Group& group, Priority priority) const;
  AdmissionRefusal WhyNotQueue(const AdmissionOffer& offer,
                               const Group& group,
                               const ServiceTime* kind,
                               Time now) const;
  bool MakeRoom(Group& group, Priority priority, AdmissionActions& actions);
  bool DisplaceInGroup(Group& group,
                       std::size_t priority,
                       AdmissionActions& actions);
  Group* LongestQueue(const Group& than);
  void Enqueue(const AdmissionOffer& offer,
               Group& group,
               ServiceTime* kind,
               Time now);
  void Start(CallId id, Call& call, Time now);
  void StartQueued(Time now, AdmissionActions& actions);
  CallId PopNext(Group& group);
  void Refuse(CallId id, AdmissionRefusal reason, AdmissionActions& actions);
  void RemoveQueued(CallId id, const Call& call);
  void SetTag(Group& group, Tag tag);
  void Charge(Group& group, Duration time);
  void ChargeRunning(Time now);
  void LearnServiceTime(const Call& call, Duration time, Time now);
  void Learn(ServiceTime& known, Duration time) const;
  void EndBusyPeriod();
  void Rebase();
  void ForgetIdleGroups();

  std::uint32_t slots_;
  AdmissionLimits limits_;
  bool draining_ = false;
  std::uint32_t busy_ = 0;
  std::size_t queued_ = 0;
  Tag virtual_time_ = 0;  // The tag of the last call that started.
  Tag highest_tag_ = 0;
  std::uint64_t next_serial_ = 0;
  std::array<std::optional<Time>, kPriorities> offered_;  // Last, by priority.
  std::uint64_t backlogged_weight_ = 0;
  ServiceTime service_time_;  // Over all groups.
  std::map<std::string, ServiceTime, std::less<>> kinds_;
  std::map<std::string, Group, std::less<>> groups_;
  std::unordered_map<std::uint64_t, Group*> by_serial_;
  std::unordered_map<CallId, Call> calls_;
  std::set<CallId> running_;
  std::set<std::pair<Time, CallId>> deadlines_;  // Of queued calls.
  Backlog backlog_;  // Groups with queued calls by tag.
  AdmissionStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_ADMISSION_H_
