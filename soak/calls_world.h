// A small fleet in virtual time: real call decisions on every instance, fake
// network and fake upstreams around them. The fake upstreams keep a record of
// what ran, against which promises are checked.
#ifndef SOAK_CALLS_WORLD_H_
#define SOAK_CALLS_WORLD_H_

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/admission.h"
#include "core/attempt_registry.h"
#include "core/balancer.h"
#include "core/retry_policy.h"
#include "soak.h"

namespace verbenastile {

// Policies that are broken on purpose, one for each invariant.
struct CallsMutation {
  bool run_duplicates = false;
  bool retry_unsafe = false;
  bool untrue_not_run = false;
  bool end_twice = false;
  bool exceed_slots = false;
  bool leak_slot = false;
  bool drop_refusals = false;
  bool ignore_leaving = false;
  bool copy_attempts = false;
  bool no_retry_budget = false;
  bool no_ejection_cap = false;
  bool forget_when_paused = false;
  bool one_queue_for_all = false;
  bool admit_while_leaving = false;
};

class CallsWorld {
 public:
  CallsWorld(std::uint64_t seed, const CallsMutation& mutation);

  // Handles one event.
  void Step(RunDigest& digest, std::vector<std::string>& violations);

  // Calls that have ended, and what the run brought about.
  struct Seen {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t runs = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t registry_full = 0;
    std::uint64_t ejections = 0;
    std::uint64_t kills = 0;
    std::uint64_t drains = 0;
    std::uint64_t pauses = 0;
  };
  const Seen& seen() const { return seen_; }

 private:
  static constexpr std::size_t kInstances = 10;
  static constexpr std::size_t kNoInstance = kInstances;

  using Key = std::uint64_t;  // Of a call or an attempt; 0 is none.

  enum class Kind : std::uint8_t {
    kNewCall,
    kArrive,  // A copy of a request at an instance.
    kCancel,  // A cancellation at an instance.
    kRunEnd,  // The fake upstream is done with an attempt.
    kAnswer,  // An answer at the caller's node.
    kGiveUp,  // The deadline of an attempt at the caller's node.
    kCallerGone,
    kNextAttempt,
    kTick,
    kAnnounce,  // News of one instance at another.
    kFault,
    kRestart,
  };

  struct Event {
    Time when;
    std::uint64_t order = 0;
    Kind kind = Kind::kNewCall;
    std::size_t instance = 0;  // Where it happens.
    Key key = 0;
    std::size_t other = 0;
    AttemptOutcome outcome = AttemptOutcome::kAnswered;
    std::uint32_t used = 0;  // Extra attempts, or the state announced.
    bool leaving = false;    // The answer says that the instance leaves.
    std::uint64_t incarnation = 0;
    bool operator>(const Event& event) const {
      return std::tie(when, order) > std::tie(event.when, event.order);
    }
  };

  struct Call {
    std::size_t node = 0;
    std::uint64_t node_incarnation = 0;
    std::size_t group = 0;
    std::size_t service = 0;
    std::uint32_t depth = 0;  // How many more calls it may lead to.
    bool repeatable = false;
    Time deadline;
    std::optional<AttemptBudget> budget;
    std::vector<UpstreamHandle> tried;
    std::uint32_t attempts_made = 0;
    Key active_attempt = 0;
    AttemptOutcome last = AttemptOutcome::kUnknown;
    bool all_not_run = true;  // So far.
    bool ended = false;
    AttemptOutcome outcome = AttemptOutcome::kUnknown;
    std::uint32_t runs = 0;  // The upstreams' record.
    Key root = 0;
    std::uint32_t extra_attempts = 0;  // Of a root: in its whole chain.
    std::uint32_t allowed = 0;
    Key parent_attempt = 0;
    Time created;
  };

  struct Attempt {
    Key call = 0;
    AttemptId id;
    UpstreamHandle handle;
    std::size_t target = 0;
    std::uint64_t target_incarnation = 0;
    std::uint32_t lent = 0;
    Duration remaining{0};
    Time sent;
    bool ended = false;  // At the caller's node.
    std::uint64_t run_incarnation = 0;
    std::uint32_t used_below = 0;
  };

  struct Instance {
    std::string name;
    std::size_t service = 0;
    std::uint64_t incarnation = 1;
    bool up = true;
    bool leaving = false;
    Time leaving_since;
    Time paused_until;
    Time fails_until;  // Its upstream answers with failures.
    Time deaf_until;   // This node sees failures everywhere.
    int lie = 0;       // 1: says it is free; 2: says it is full.
    MemberDirectory directory;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<RetryPolicy> retries;
    std::unique_ptr<Admission> admission;
    std::unique_ptr<AttemptRegistry> registry;
    std::set<Key> own_calls;  // That its callers wait for.
    std::set<Key> holding;    // Attempts that hold a slot of the upstream.
    std::set<Key> waiting;    // Attempts in the admission's queue.
    std::array<std::uint64_t, 2> calls_to = {};
    std::array<std::uint64_t, 2> retries_to = {};
  };

  void Boot(std::size_t index);
  Member MemberOf(const Instance& instance) const;
  std::size_t IndexOf(std::string_view name) const;
  void Schedule(Event event, Duration after);
  bool Chance(std::uint64_t one_in) { return random_.OneIn(one_in); }
  Duration Between(std::int64_t low_us, std::int64_t high_us);
  void Require(bool holds, std::string_view name, Key key = 0);
  void Handle(const Event& event);

  // Callers and the nodes beside them.
  void OnNewCall();
  Key AddCall(Call call, std::optional<std::uint32_t> carried);
  void StartCall(Key key);
  void SendAttempt(Key key);
  void Deliver(Key key, const Attempt& attempt);
  void OnAnswer(const Event& event);
  void OnGiveUp(const Event& event);
  void SendCancel(Key attempt);
  void OnCallerGone(const Event& event);
  void EndAttempt(Key key, AttemptOutcome outcome, std::uint32_t used);
  void AfterAttempt(Key key);
  AttemptOutcome FinalOutcome(const Call& call) const;
  void EndCall(Key key, AttemptOutcome outcome);

  // Upstreams and the nodes beside them.
  void OnArrive(const Event& event);
  void Apply(std::size_t index, const AdmissionActions& actions);
  void Run(std::size_t index, Key key);
  void ScheduleRunEnd(std::size_t index, Key key, Duration after);
  void OnChildEnded(const Call& child);
  void OnRunEnd(const Event& event);
  void OnCancel(const Event& event);
  void Reply(std::size_t from, Key key, AttemptOutcome outcome);

  // Members and faults.
  void OnTick(const Event& event);
  void Announce(std::size_t index, bool surely);
  void OnAnnounce(const Event& event);
  void LearnOf(Instance& at,
               MemberState state,
               std::size_t other,
               std::uint64_t incarnation);
  void OnFault();
  void Pause(std::size_t index);
  void Drain(std::size_t index);
  void Kill(std::size_t index);
  void OnRestart(const Event& event);

  void CheckInstance(std::size_t index);
  void CheckEjections(const Instance& instance);
  void Purge();

  SoakRandom random_;
  std::mt19937_64 policy_random_;
  CallsMutation mutation_;
  StateChart chart_;
  std::array<Instance, kInstances> instances_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  Key next_key_ = 0;
  Time now_;
  std::unordered_map<Key, Call> calls_;
  std::unordered_map<Key, Attempt> attempts_;
  std::deque<Key> by_age_;  // Calls and attempts, oldest first.
  std::vector<std::string>* violations_ = nullptr;
  Seen seen_;
};

}  // namespace verbenastile

#endif  // SOAK_CALLS_WORLD_H_
