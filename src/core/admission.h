// Admission control for the slots of one upstream: weighted fair sharing
// between groups, bounded queues and early refusal.
//
// Implements start-time fair queueing (Goyal, Vin, Cheng 1996) over as many
// servers as there are slots, as in SFQ(D) (Jin, Chase, Kaur 2004). A group is
// charged the time for which its calls hold slots: an estimate when a call
// starts, the difference while it runs and when it ends. The scheduler is
// work-conserving: no slot stays free while a call is queued, unless the rate
// limit of the upstream delays the call, or a slot is kept free for more urgent
// ones. Priorities order the calls within a group only; they never take
// capacity from another group. See core/queue_policy.h.
#ifndef CORE_ADMISSION_H_
#define CORE_ADMISSION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "config/rules.h"
#include "core/group_shares.h"
#include "core/queue_policy.h"
#include "core/rate_limiter.h"
#include "core/service_time.h"

namespace verbenastile {

// Identifies one call at this node; chosen by the user of `Admission`.
using CallId = std::uint64_t;

struct AdmissionLimits {
  std::size_t max_queued_per_group = 64;
  std::size_t max_queued = 512;
  // How often calls of higher priority may overtake a queued call.
  std::uint32_t max_bypasses = 8;
  // Upper bound on the slot time that a group may owe the others, for a weight
  // of 1. Limits how long a group is held back after its long streams end.
  Duration max_debt = std::chrono::seconds(10);
  // Longer calls count as this much in estimates of the service time.
  Duration max_service_time_sample = std::chrono::seconds(2);
  // Number of groups without calls that are kept for the debt that they still
  // have. Beyond twice this number, every group without calls is removed.
  std::size_t max_idle_groups = 1'024;
  // Number of call classes whose service times are tracked.
  std::size_t max_call_classes = 4'096;
  // A call is queued if its expected completion falls within this part of the
  // time until it is due; the rest is a margin for service times above the
  // mean. Calls that overtake others by their priority may use more: refusing
  // one costs more than serving it late.
  std::uint32_t queue_permille = 600;
  std::uint32_t urgent_queue_permille = 1'500;
  // Calls that are `by_slack` are expected to end within this part of their
  // time; the rest is for the way of the answer to the caller.
  std::uint32_t slack_permille = 800;
  // A priority without a call for this long no longer counts as being
  // overtaken.
  Duration priority_timeout = std::chrono::seconds(5);
  Duration estimate_max_age = std::chrono::seconds(1);
  // Queued calls are refused this long before their deadline, or an eighth of
  // their time if that is shorter, so that the refusal reaches the caller's
  // node before it gives up and can only say that the call may have run. The
  // bound covers one interval of the checks and the way there and back between
  // regions.
  Duration refusal_transit_time = std::chrono::milliseconds(60);
  // How long the objective of a call class is kept after it was last seen.
  Duration objective_max_age = std::chrono::seconds(5);
  // If false, calls stay queued until their deadline has passed. For
  // comparisons.
  bool refuse_early = true;
  // If false, all groups share one queue, first come, first served. For
  // comparisons.
  bool fair = true;
};

struct AdmissionOffer {
  CallId id = 0;
  std::string_view group;
  std::uint32_t weight = 1;
  Priority priority = Priority::kNormal;
  Time deadline;
  // Soft deadline: a response after this time is late. A call that would be
  // queued and then be late is refused on arrival. Once it is queued, only
  // `deadline` applies.
  std::optional<Time> soft_deadline = std::nullopt;
  // Calls of the same class have similar service times. Empty: the average of
  // the group is used.
  std::string_view call_class = {};
  // Precedes `priority`; empty: the group has none.
  std::optional<Priority> group_priority = std::nullopt;
  // The group of callers that the slot time counts for, and its weight; empty:
  // none. Calls of a group that holds more than its share go after the others.
  std::string_view caller_group = {};
  double caller_weight = 1;
  // Orders and bounds the wait by the time that is left until `soft_deadline`,
  // instead of by the order of arrival.
  bool by_slack = false;
  // Refuse the call if it would have to wait.
  bool only_if_free = false;
};

// Why a call was refused. No part of a refused call has been executed.
enum class AdmissionRefusal : std::uint8_t {
  kNone = 0,
  kDeadlinePassed,
  kWouldMissDeadline,
  kGroupQueueFull,
  kQueueFull,
  // Evicted from the queue for a call of higher priority or of a group with a
  // shorter queue.
  kDisplaced,
  kDraining,
  kDuplicateId,
  kWouldBeLate,
  kNoFreeSlot,
};

// The lower-case name of `refusal`, such as "queue_full".
std::string_view ToString(AdmissionRefusal refusal);

// Start the queued call and report its end with `Admission::OnEnded`.
struct StartCall {
  CallId id = 0;
};

// Refuse the queued call as not executed; it is no longer tracked.
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
  AdmissionActions actions;  // Concern other calls than the offered one.
  // If refused: the expected time until a slot is free for this caller.
  Duration retry_after{0};
};

enum class CancelVerdict : std::uint8_t {
  kUnknown,  // No such call.
  kNotRun,   // It was queued and has been removed.
  kRunning,  // Cancel it at the upstream; it keeps its slot until it ends.
};

// What decides whether a call is queued.
struct RoomInputs {
  CallRank rank = 0;
  bool over_share = false;
  Duration expected_wait{0};
  Duration wait_limit{0};
  Duration service_time{0};
};

struct AdmissionStats {
  std::uint64_t admitted = 0;  // Started on arrival.
  std::uint64_t queued = 0;
  std::uint64_t started = 0;  // Started from the queue.
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;  // Cancelled while queued.
  std::uint64_t ended = 0;
};

class Admission {
 public:
  explicit Admission(std::uint32_t slots, AdmissionLimits limits = {});

  AdmissionResult Offer(const AdmissionOffer& offer, Time now);
  // The upstream has finished the call, or provably does not execute it.
  AdmissionActions OnEnded(CallId id, Time now);
  CancelVerdict OnCancelled(CallId id, Time now);
  // Refuses all queued calls that would miss their deadline, and charges groups
  // for running calls. Call it every `kTickInterval`.
  AdmissionActions Tick(Time now);

  // Applies a new slot count. If it is lower than the number of running calls,
  // the surplus calls run to their end.
  AdmissionActions SetSlots(std::uint32_t slots, Time now);
  // Limits the calls that start per second; empty: no limit. Queued calls that
  // a higher limit allows start with the next `Tick`.
  void SetRateLimit(std::optional<double> calls_per_second, Time now) {
    rate_limiter_.SetRate(calls_per_second, now);
  }
  // Refuses all further calls; queued ones still run.
  void Drain() { draining_ = true; }

  // The time for which a call of the class is expected to hold a slot. Empty if
  // none has ended for `estimate_max_age` and none is running; this lets a slow
  // upstream be probed by one call at a time.
  std::optional<Duration> ExpectedServiceTime(std::string_view call_class,
                                              Time now) const;

  std::uint32_t slots() const { return slots_; }
  std::uint32_t busy() const { return busy_; }
  // Whether a call offered now would start immediately.
  bool CanStartNow(Time now) const {
    return busy_ < slots_ && queued_ == 0 &&
           rate_limiter_.Wait(now) == Duration::zero();
  }
  // The same for a call that is `by_slack`: whether a free slot is kept for
  // more urgent ones, and whether those that wait go first.
  bool CanStartNow(const AdmissionOffer& offer, Time now) const;
  // What decided about the last offer that was refused for lack of room.
  const RoomInputs& last_refusal_inputs() const { return refusal_inputs_; }
  // How long the rate limit delays a call that is offered now.
  Duration RateLimitDelay(Time now) const;
  std::size_t queued() const { return queued_; }
  std::size_t QueuedInGroup(std::string_view group) const;
  std::size_t group_count() const { return groups_.size(); }
  const AdmissionStats& stats() const { return stats_; }

  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);

 private:
  static constexpr std::size_t kRanks = QueuePolicy::kRanks;

  struct CallClass {
    ServiceTime service_time;
    Time last_sample_time;  // When the last call of the class ended.
    // The longest time until the soft deadline of those offered lately: what a
    // call has that is not a caller's retry.
    Duration objective{0};
    Time objective_time;
    // Calls of the class that are running, by start time.
    std::set<std::pair<Time, CallId>> running;
  };

  // The order in which queued calls of a group run.
  struct QueueKey {
    CallRank rank = 0;
    Time order;  // When the call arrived, or has to start.
    std::uint64_t arrival = 0;
    bool operator<(const QueueKey& other) const {
      return std::tie(rank, order, arrival) <
             std::tie(other.rank, other.order, other.arrival);
    }
  };

  // Slot time divided by weight, in microseconds times `kTagScale`.
  using Tag = std::int64_t;

  struct Group {
    std::string name;
    std::uint64_t group_id = 0;
    std::uint32_t weight = 1;
    Tag start_tag = 0;  // Start tag of the next call of the group.
    std::map<QueueKey, CallId> queue;
    std::array<std::uint32_t, kRanks> queued_by_rank = {};
    std::array<std::uint32_t, kRanks> bypass_counts = {};
    std::uint32_t running = 0;
    ServiceTime service_time;
  };

  struct Call {
    Group* group = nullptr;
    CallClass* call_class = nullptr;  // Null: the group's times are used.
    CallNeeds needs;
    std::string caller_group;
    double caller_weight = 0;
    QueueKey key;
    Duration service_time{0};  // As expected when it was offered.
    bool by_slack = false;
    Time arrived;
    Time deadline;
    bool running = false;
    Time started;
    Duration charged_time{0};
  };

  using Backlog = std::set<std::pair<Tag, std::uint64_t>>;

  Group& FindOrAddGroup(const AdmissionOffer& offer);
  CallClass* FindOrAddCallClass(const AdmissionOffer& offer, Time now);
  // The first known of the times of the class, of the group and of all calls.
  Duration EstimateServiceTime(const Group* group,
                               const CallClass* call_class) const;
  static Duration Deviation(const Group& group, const CallClass* call_class);
  Duration RequiredTime(const Call& call, Duration whole) const;
  CallNeeds NeedsOf(const AdmissionOffer& offer,
                    const CallClass* call_class,
                    Time now) const;
  QueueKey KeyOf(const AdmissionOffer& offer,
                 CallRank rank,
                 Duration service_time,
                 Time now);
  Duration Slack(Duration left, const ServiceTime& time) const;
  bool MayStart(const CallNeeds& needs, CallRank rank, Time now) const;
  AdmissionRefusal CheckStart(const Call& call, Time now) const;
  Duration ExpectedWait(const Call& call, Time now) const;
  Duration NextSlotWait() const;
  Duration WorkAhead(const Call& call) const;
  Duration WaitLimit(const AdmissionOffer& offer,
                     const Call& call,
                     Time now) const;
  AdmissionRefusal CheckOffer(const AdmissionOffer& offer,
                              const Call& call,
                              bool starts_now,
                              Time now) const;
  bool MakeQueueSpace(Group& group, CallRank rank, AdmissionActions& actions);
  bool EvictLowerRank(Group& group, CallRank rank, AdmissionActions& actions);
  Group* FindLongestQueue(const Group& incoming);
  void Enqueue(CallId id, const Call& call);
  void Start(CallId id, Call& call, Time now);
  void StartQueued(Time now, AdmissionActions& actions);
  std::optional<CallId> SelectNext(Group& group, Time now);
  void Refuse(CallId id, AdmissionRefusal reason, AdmissionActions& actions);
  void Dequeue(CallId id, const Call& call);
  void SetTag(Group& group, Tag start_tag);
  void Charge(Group& group, Duration time);
  void ChargeRunning(Time now);
  void AddToShare(const Call& call, Duration time, Time now);
  void RecordServiceTime(const Call& call, Duration time, Time now);
  void EndBusyPeriod();
  void RebaseTags();
  void RemoveIdleGroups();

  std::uint32_t slots_;
  AdmissionLimits limits_;
  RateLimiter rate_limiter_;
  bool draining_ = false;
  std::uint32_t busy_ = 0;
  std::size_t queued_ = 0;
  Tag virtual_time_ = 0;  // Start tag of the last call that started.
  Tag highest_tag_ = 0;
  std::uint64_t next_group_id_ = 0;
  std::uint64_t arrivals_ = 0;
  QueuePolicy policy_;
  GroupShares shares_;
  RoomInputs refusal_inputs_;
  std::uint64_t backlogged_weight_ = 0;
  ServiceTime service_time_;  // Across all groups.
  std::map<std::string, CallClass, std::less<>> call_classes_;
  std::map<std::string, Group, std::less<>> groups_;
  std::unordered_map<std::uint64_t, Group*> groups_by_id_;
  std::unordered_map<CallId, Call> calls_;
  std::set<CallId> running_calls_;
  std::set<std::pair<Time, CallId>> deadlines_;  // Deadlines of queued calls.
  Backlog backlog_;  // Groups with queued calls, by start tag.
  AdmissionStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_ADMISSION_H_
