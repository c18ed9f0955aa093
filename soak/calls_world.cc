#include "calls_world.h"

#include <fmt/format.h>

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

namespace verbenastile {
namespace {

constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kConnections = 20;
constexpr std::uint32_t kDomains = 3;
constexpr const char* kServices[] = {"booking", "readiness"};
constexpr const char* kGroups[] = {"flood", "rowing", "rugby", "cubesat"};
constexpr std::uint32_t kWeights[] = {1, 1, 2, 4};
constexpr std::size_t kMinUp = 6;

constexpr std::int64_t kMillisecond = 1'000;
constexpr std::int64_t kSecond = 1'000'000;
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr std::uint64_t kTicksPerAnnouncement = 12;
// The most that a copy comes after the deadline of its attempt.
constexpr Duration kLongestTransit = std::chrono::milliseconds(500);
constexpr Duration kLeaveBound = std::chrono::seconds(3);
constexpr Duration kShortestDrain = std::chrono::seconds(5);
constexpr Duration kLongestDrain = std::chrono::seconds(9);
constexpr Duration kRemembered = std::chrono::seconds(60);
constexpr std::size_t kMaxViolations = 100;
// Of the retry budget and the ejection cap, stated here a second time so that
// the run checks what the policies do, not what they are set to.
constexpr std::uint64_t kRetryBurst = 10;
constexpr std::uint64_t kCallsPerRetry = 10;
constexpr std::size_t kMaxAside = 1;
constexpr std::uint32_t kDeepest = 28;

std::size_t ServiceIndex(std::string_view name) {
  return name == kServices[0] ? 0 : 1;
}

AttemptRegistryLimits RegistryLimits(const CallsMutation& mutation) {
  AttemptRegistryLimits limits;
  limits.max_attempts = 300;
  limits.max_transit = kLongestTransit + kTick;
  limits.max_time_step = mutation.forget_when_paused
                             ? Duration(3600 * kSecond)
                             : Duration(50 * kMillisecond);
  return limits;
}

}  // namespace

CallsWorld::CallsWorld(std::uint64_t seed, const CallsMutation& mutation)
    : random_(seed), policy_random_(seed), mutation_(mutation) {
  chart_ =
      leaf::try_handle_all([] { return LoadEmbeddedChart("upstream_health"); },
                           [] { return StateChart{}; });
  now_ = Time(Duration(kSecond));
  for (std::size_t i = 0; i < kInstances; ++i) {
    instances_[i].name = fmt::format("instance-{}", i);
    instances_[i].service = i % std::size(kServices);
  }
  for (std::size_t i = 0; i < kInstances; ++i) {
    Boot(i);
    Event tick;
    tick.kind = Kind::kTick;
    tick.instance = i;
    tick.incarnation = instances_[i].incarnation;
    Schedule(tick, Between(1, kTick.count()));
  }
  Event first;
  first.instance = kNoInstance;
  Schedule(first, Duration(0));
  first.kind = Kind::kFault;
  Schedule(first, Duration(kSecond));
}

void CallsWorld::Boot(std::size_t index) {
  Instance& at = instances_[index];
  Balancer::Init init;
  init.chart = &chart_;
  init.failure_domain = MemberOf(at).failure_domain;
  init.region = MemberOf(at).region;
  init.limits.warm_up = std::chrono::seconds(2);
  if (mutation_.no_ejection_cap) {
    init.limits.max_ejected_permille = 1000;
  }
  RetryLimits retry;
  if (mutation_.no_retry_budget) {
    retry.retry_ratio_permille = 1000;
  }
  at.balancer = std::make_unique<Balancer>(init);
  at.retries = std::make_unique<RetryPolicy>(retry);
  AdmissionLimits admission;
  admission.max_queued_per_group = 8;
  admission.max_queued = 16;
  at.admission = std::make_unique<Admission>(kSlots, admission);
  at.registry = std::make_unique<AttemptRegistry>(RegistryLimits(mutation_));
  at.directory = MemberDirectory();
  for (const Instance& other : instances_) {
    at.directory.Put(MemberOf(other));
  }
  at.holding.clear();
  at.waiting.clear();
  at.own_calls.clear();
  at.calls_to = {};
  at.retries_to = {};
}

Member CallsWorld::MemberOf(const Instance& instance) const {
  const auto index = static_cast<std::uint32_t>(&instance - &instances_[0]);
  Member member;
  member.name = instance.name;
  member.incarnation = instance.incarnation;
  member.failure_domain = fmt::format("domain-{}", index % kDomains);
  member.region = index % kDomains == 2 ? "south" : "north";
  member.service = kServices[instance.service];
  member.slots = kSlots;
  member.connections = kConnections;
  if (!instance.up) {
    member.state = MemberState::kDead;
  } else if (instance.leaving) {
    member.state = MemberState::kLeaving;
  }
  return member;
}

void CallsWorld::Schedule(Event event, Duration after) {
  event.when = now_ + after;
  event.order = ++next_order_;
  events_.push(event);
}

Duration CallsWorld::Between(std::int64_t low_us, std::int64_t high_us) {
  const auto spread = static_cast<std::uint64_t>(high_us - low_us + 1);
  return Duration(low_us + static_cast<std::int64_t>(random_.Below(spread)));
}

void CallsWorld::Require(bool holds, std::string_view name, Key key) {
  if (!holds && violations_->size() < kMaxViolations) {
    violations_->push_back(fmt::format("{} key={} time_us={}", name, key,
                                       now_.time_since_epoch().count()));
  }
}

void CallsWorld::Step(RunDigest& digest, std::vector<std::string>& violations) {
  violations_ = &violations;
  Event event = events_.top();
  events_.pop();
  now_ = event.when;
  if (event.instance < kInstances &&
      instances_[event.instance].paused_until > now_) {
    // It comes in when the process goes on; its order is kept.
    event.when = instances_[event.instance].paused_until;
    events_.push(event);
    return;
  }
  Handle(event);
  if (event.instance < kInstances) {
    CheckInstance(event.instance);
  }
  Purge();
  digest.Add(event.key);
  digest.Add(static_cast<std::uint64_t>(event.kind) * kInstances +
             event.instance);
}

void CallsWorld::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kNewCall:
      return OnNewCall();
    case Kind::kArrive:
      return OnArrive(event);
    case Kind::kCancel:
      return OnCancel(event);
    case Kind::kRunEnd:
      return OnRunEnd(event);
    case Kind::kAnswer:
      return OnAnswer(event);
    case Kind::kGiveUp:
      return OnGiveUp(event);
    case Kind::kCallerGone:
      return OnCallerGone(event);
    case Kind::kNextAttempt:
      return SendAttempt(event.key);
    case Kind::kTick:
      return OnTick(event);
    case Kind::kAnnounce:
      return OnAnnounce(event);
    case Kind::kFault:
      return OnFault();
    case Kind::kRestart:
      return OnRestart(event);
  }
}

// ---- Callers ----

void CallsWorld::OnNewCall() {
  Event again;
  again.instance = kNoInstance;
  Schedule(again, Between(kMillisecond, 9 * kMillisecond));
  const std::size_t node = random_.Below(kInstances);
  const Instance& at = instances_[node];
  if (!at.up || at.leaving || at.paused_until > now_) {
    return;
  }
  Call call;
  call.node = node;
  call.group = Chance(4) ? random_.Below(std::size(kGroups)) : 0;
  call.service = random_.Below(std::size(kServices));
  call.repeatable = Chance(2);
  call.deadline = now_ + Between(200 * kMillisecond, 2 * kSecond);
  if (Chance(16)) {
    call.depth = Chance(4) ? kDeepest : 3;
  }
  call.allowed = static_cast<std::uint32_t>(random_.Below(4));
  const Key key = AddCall(call, std::nullopt);
  calls_[key].root = key;
  if (Chance(32)) {
    Event gone;
    gone.kind = Kind::kCallerGone;
    gone.instance = node;
    gone.key = key;
    Schedule(gone, Between(0, kSecond / 2));
  }
  StartCall(key);
}

CallsWorld::Key CallsWorld::AddCall(Call call,
                                    std::optional<std::uint32_t> carried) {
  const Key key = ++next_key_;
  call.budget.emplace(call.allowed, carried);
  call.node_incarnation = instances_[call.node].incarnation;
  call.created = now_;
  instances_[call.node].own_calls.insert(key);
  calls_.emplace(key, std::move(call));
  by_age_.push_back(key);
  ++seen_.calls;
  return key;
}

void CallsWorld::StartCall(Key key) {
  const Call& call = calls_[key];
  Instance& at = instances_[call.node];
  at.retries->OnCall(kServices[call.service]);
  ++at.calls_to[call.service];
  SendAttempt(key);
}

void CallsWorld::SendAttempt(Key key) {
  const auto found = calls_.find(key);
  if (found == calls_.end() || found->second.ended) {
    return;
  }
  Call& call = found->second;
  Instance& at = instances_[call.node];
  at.balancer->Sync(at.directory, now_);
  ChooseQuery query{kServices[call.service], call.tried, call.repeatable};
  UpstreamHandle handle = at.balancer->Choose(query, now_, policy_random_);
  if (!handle.valid()) {
    call.tried.clear();
    query.excluded = {};
    handle = at.balancer->Choose(query, now_, policy_random_);
    const bool none = at.directory.Serving(kServices[call.service]).empty();
    Require(handle.valid() || none, "a_service_is_never_emptied", key);
  }
  if (!handle.valid()) {
    EndCall(key, FinalOutcome(call));
    return;
  }
  const Member& member = *at.balancer->Find(handle);
  Attempt attempt;
  attempt.call = key;
  attempt.id = {policy_random_(), policy_random_()};
  attempt.handle = handle;
  attempt.target = IndexOf(member.name);
  attempt.target_incarnation = member.incarnation;
  attempt.lent = call.budget->Lend();
  if (mutation_.copy_attempts) {
    attempt.lent = call.allowed;
  }
  attempt.remaining = call.deadline - now_;
  attempt.sent = now_;
  const Instance& target = instances_[attempt.target];
  const bool late = target.leaving && now_ - target.leaving_since > kLeaveBound;
  Require(!late || now_ - at.paused_until < kLeaveBound,
          "no_new_work_to_leaving", key);
  at.balancer->OnStarted(handle, now_);
  call.tried.push_back(handle);
  ++call.attempts_made;
  const Key attempt_key = ++next_key_;
  call.active_attempt = attempt_key;
  by_age_.push_back(attempt_key);
  attempts_.emplace(attempt_key, attempt);
  Deliver(attempt_key, attempt);
}

void CallsWorld::Deliver(Key key, const Attempt& attempt) {
  const Call& call = calls_[attempt.call];
  Event give_up;
  give_up.kind = Kind::kGiveUp;
  give_up.instance = call.node;
  give_up.key = key;
  Schedule(give_up, attempt.remaining);
  if (!instances_[attempt.target].up) {
    Event refused;
    refused.kind = Kind::kAnswer;
    refused.instance = call.node;
    refused.key = key;
    refused.outcome = AttemptOutcome::kNotSent;
    Schedule(refused, Between(100, kMillisecond));
    return;
  }
  Event arrive;
  arrive.kind = Kind::kArrive;
  arrive.instance = attempt.target;
  arrive.key = key;
  if (!Chance(100)) {
    Schedule(arrive, Between(500, 3 * kMillisecond));
  }
  if (Chance(4)) {
    const bool late = Chance(2);
    Schedule(arrive, Between(500, kLongestTransit.count()) +
                         (late ? attempt.remaining : Duration(0)));
  }
}

void CallsWorld::OnAnswer(const Event& event) {
  const auto found = attempts_.find(event.key);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt& attempt = found->second;
  const Call& call = calls_[attempt.call];
  Instance& at = instances_[call.node];
  if (!at.up || at.incarnation != call.node_incarnation) {
    return;
  }
  if (event.leaving && !mutation_.ignore_leaving) {
    LearnOf(at, MemberState::kLeaving, attempt.target,
            attempt.target_incarnation);
  }
  if (attempt.ended) {
    if (mutation_.end_twice) {
      EndCall(attempt.call, event.outcome);
    }
    return;
  }
  const Admission& admission = *instances_[attempt.target].admission;
  const int lie = instances_[attempt.target].lie;
  UpstreamLoad load{admission.busy(),
                    static_cast<std::uint32_t>(admission.queued())};
  if (lie != 0) {
    load = {lie == 1 ? 0 : kSlots, lie == 1 ? 0 : 100U};
  }
  at.balancer->OnLoadReport(attempt.handle, load, now_);
  const bool deaf = at.deaf_until > now_;
  EndAttempt(event.key, deaf ? AttemptOutcome::kUnknown : event.outcome,
             event.used);
}

void CallsWorld::OnGiveUp(const Event& event) {
  const auto found = attempts_.find(event.key);
  if (found == attempts_.end() || found->second.ended) {
    return;
  }
  SendCancel(event.key);
  EndAttempt(event.key, AttemptOutcome::kUnknown, 0);
}

void CallsWorld::SendCancel(Key attempt) {
  Event cancel;
  cancel.kind = Kind::kCancel;
  cancel.instance = attempts_[attempt].target;
  cancel.key = attempt;
  Schedule(cancel, Between(500, 3 * kMillisecond));
}

void CallsWorld::OnCallerGone(const Event& event) {
  const auto found = calls_.find(event.key);
  if (found == calls_.end() || found->second.ended) {
    return;
  }
  const Call& call = found->second;
  const auto attempt = attempts_.find(call.active_attempt);
  if (attempt != attempts_.end() && !attempt->second.ended) {
    SendCancel(call.active_attempt);
    EndAttempt(call.active_attempt, AttemptOutcome::kCancelled, 0);
    return;
  }
  EndCall(event.key, FinalOutcome(call));
}

void CallsWorld::EndAttempt(Key key,
                            AttemptOutcome outcome,
                            std::uint32_t used) {
  Attempt& attempt = attempts_[key];
  Call& call = calls_[attempt.call];
  Instance& at = instances_[call.node];
  attempt.ended = true;
  at.balancer->OnEnded(attempt.handle, outcome, now_ - attempt.sent, now_);
  if (ProvablyNotRun(outcome)) {
    call.budget->OnNotRun();
  } else if (outcome == AttemptOutcome::kUnknown ||
             outcome == AttemptOutcome::kCancelled) {
    call.budget->OnAnswerLost();
  } else {
    call.budget->OnAnswer(used);
  }
  call.all_not_run = call.all_not_run && ProvablyNotRun(outcome);
  call.last = outcome;
  AfterAttempt(attempt.call);
}

void CallsWorld::AfterAttempt(Key key) {
  Call& call = calls_[key];
  Instance& at = instances_[call.node];
  RetryQuery question;
  question.service = kServices[call.service];
  question.outcome = call.last;
  question.repeatable = call.repeatable || mutation_.retry_unsafe;
  question.attempts_made = call.attempts_made;
  question.deadline = call.deadline;
  if (mutation_.copy_attempts && call.root != key) {
    call.budget.emplace(1, std::nullopt);
  }
  const RetryDecision decision =
      at.retries->Decide(question, *call.budget, now_, policy_random_);
  if (decision.verdict != RetryVerdict::kRetry) {
    EndCall(key, FinalOutcome(call));
    return;
  }
  ++seen_.retries;
  ++at.retries_to[call.service];
  Require(at.retries_to[call.service] <=
              kRetryBurst + at.calls_to[call.service] / kCallsPerRetry,
          "retries_within_the_budget", key);
  const auto root = calls_.find(call.root);
  if (root != calls_.end()) {
    ++root->second.extra_attempts;
    Require(root->second.extra_attempts <= root->second.allowed,
            "retries_do_not_multiply", key);
  }
  Event next;
  next.kind = Kind::kNextAttempt;
  next.instance = call.node;
  next.key = key;
  Schedule(next, decision.wait);
}

AttemptOutcome CallsWorld::FinalOutcome(const Call& call) const {
  if (call.all_not_run) {
    return AttemptOutcome::kRefused;
  }
  if (call.last == AttemptOutcome::kAnswered ||
      call.last == AttemptOutcome::kFailed) {
    return call.last;
  }
  return mutation_.untrue_not_run ? AttemptOutcome::kRefused
                                  : AttemptOutcome::kUnknown;
}

void CallsWorld::EndCall(Key key, AttemptOutcome outcome) {
  Call& call = calls_[key];
  Require(!call.ended, "every_call_ends_once", key);
  call.ended = true;
  call.outcome = outcome;
  const bool not_run = outcome == AttemptOutcome::kRefused;
  Require(!not_run || call.runs == 0, "not_run_is_true", key);
  Require(outcome != AttemptOutcome::kAnswered || call.runs > 0,
          "an_answer_comes_from_a_run", key);
  seen_.answered += outcome == AttemptOutcome::kAnswered ? 1 : 0;
  seen_.not_run += not_run ? 1 : 0;
  seen_.unknown += outcome == AttemptOutcome::kUnknown ? 1 : 0;
  instances_[call.node].own_calls.erase(key);
  if (call.parent_attempt != 0) {
    OnChildEnded(call);
  }
}

// ---- Upstreams ----

void CallsWorld::OnArrive(const Event& event) {
  const auto found = attempts_.find(event.key);
  Instance& at = instances_[event.instance];
  if (found == attempts_.end() || !at.up) {
    return;
  }
  const Attempt& attempt = found->second;
  if (attempt.target_incarnation != at.incarnation) {
    Reply(event.instance, event.key, AttemptOutcome::kUnknown);
    return;
  }
  const AttemptVerdict verdict =
      at.registry->Register(attempt.id, attempt.remaining, now_);
  if (verdict == AttemptVerdict::kDuplicate) {
    ++seen_.duplicates;
    if (!mutation_.run_duplicates) {
      Reply(event.instance, event.key, AttemptOutcome::kUnknown);
      return;
    }
  } else if (verdict != AttemptVerdict::kNew) {
    ++seen_.registry_full;
    Reply(event.instance, event.key, AttemptOutcome::kRefused);
    return;
  }
  const Call& call = calls_[attempt.call];
  AdmissionOffer offer;
  offer.id = event.key;
  offer.group = kGroups[call.group];
  offer.weight = kWeights[call.group];
  offer.priority = static_cast<Priority>(event.key % 3);
  offer.deadline = now_ + attempt.remaining;
  const AdmissionResult result = at.admission->Offer(offer, now_);
  const bool break_in = mutation_.exceed_slots && Chance(50);
  if (result.verdict == AdmissionVerdict::kAdmitted || break_in) {
    Run(event.instance, event.key);
  } else if (result.verdict == AdmissionVerdict::kQueued) {
    at.waiting.insert(event.key);
  } else {
    Reply(event.instance, event.key, AttemptOutcome::kRefused);
  }
  Apply(event.instance, result.actions);
}

void CallsWorld::Apply(std::size_t index, const AdmissionActions& actions) {
  Instance& at = instances_[index];
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<verbenastile::StartCall>(&action)) {
      at.waiting.erase(start->id);
      Run(index, start->id);
      continue;
    }
    if (mutation_.drop_refusals) {
      continue;
    }
    const CallId id = std::get<RefuseCall>(action).id;
    at.waiting.erase(id);
    Reply(index, id, AttemptOutcome::kRefused);
  }
}

void CallsWorld::Run(std::size_t index, Key key) {
  Instance& at = instances_[index];
  at.holding.insert(key);
  Require(at.holding.size() <= kSlots, "slots_never_exceeded", key);
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  Call& call = calls_[attempt.call];
  ++seen_.runs;
  ++call.runs;
  Require(!at.leaving || attempt.sent <= at.leaving_since,
          "a_leaving_instance_takes_nothing_new", attempt.call);
  Require(call.repeatable || call.runs == 1, "at_most_once", attempt.call);
  Require(!call.ended || call.outcome != AttemptOutcome::kRefused,
          "not_run_is_true", attempt.call);
  attempt.run_incarnation = at.incarnation;
  if (call.depth == 0) {
    ScheduleRunEnd(index, key, Between(50 * kMillisecond, 150 * kMillisecond));
    return;
  }
  Call child;
  child.node = index;
  child.group = call.group;
  child.service = 1 - call.service;
  child.depth = call.depth - 1;
  child.repeatable = call.repeatable;
  child.deadline = now_ + attempt.remaining;
  child.allowed = static_cast<std::uint32_t>(random_.Below(4));
  child.root = call.root;
  child.parent_attempt = key;
  StartCall(AddCall(child, attempt.lent));
}

void CallsWorld::ScheduleRunEnd(std::size_t index, Key key, Duration after) {
  Event end;
  end.kind = Kind::kRunEnd;
  end.instance = index;
  end.key = key;
  end.incarnation = instances_[index].incarnation;
  Schedule(end, after);
}

void CallsWorld::OnChildEnded(const Call& child) {
  const auto found = attempts_.find(child.parent_attempt);
  const Instance& at = instances_[child.node];
  if (found == attempts_.end() || !at.up ||
      at.incarnation != found->second.run_incarnation) {
    return;
  }
  found->second.used_below = child.budget->used();
  ScheduleRunEnd(child.node, child.parent_attempt,
                 Between(kMillisecond, 5 * kMillisecond));
}

void CallsWorld::OnRunEnd(const Event& event) {
  Instance& at = instances_[event.instance];
  if (!at.up || at.incarnation != event.incarnation ||
      at.holding.erase(event.key) == 0) {
    return;
  }
  if (!(mutation_.leak_slot && Chance(100))) {
    Apply(event.instance, at.admission->OnEnded(event.key, now_));
  }
  Reply(event.instance, event.key,
        at.fails_until > now_ ? AttemptOutcome::kFailed
                              : AttemptOutcome::kAnswered);
}

void CallsWorld::OnCancel(const Event& event) {
  Instance& at = instances_[event.instance];
  const auto found = attempts_.find(event.key);
  if (!at.up || found == attempts_.end() ||
      found->second.target_incarnation != at.incarnation) {
    return;
  }
  switch (at.admission->OnCancelled(event.key, now_)) {
    case CancelVerdict::kNotRun:
      at.waiting.erase(event.key);
      return;
    case CancelVerdict::kRunning:
      ScheduleRunEnd(event.instance, event.key,
                     Between(kMillisecond, 5 * kMillisecond));
      return;
    case CancelVerdict::kUnknown:
      return;
  }
}

void CallsWorld::Reply(std::size_t from, Key key, AttemptOutcome outcome) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end() || Chance(100)) {
    return;
  }
  Event answer;
  answer.kind = Kind::kAnswer;
  answer.instance = calls_[found->second.call].node;
  answer.key = key;
  answer.outcome = outcome;
  answer.used = found->second.used_below;
  answer.leaving = instances_[from].leaving;
  Schedule(answer, Chance(50) ? Between(0, 2 * kSecond)
                              : Between(500, 3 * kMillisecond));
  if (Chance(100)) {
    Schedule(answer, Between(500, kSecond));
  }
}

// ---- Members and faults ----

void CallsWorld::OnTick(const Event& event) {
  Instance& at = instances_[event.instance];
  if (!at.up || at.incarnation != event.incarnation) {
    return;
  }
  at.registry->Tick(now_);
  Apply(event.instance, at.admission->Tick(now_));
  Event again = event;
  ++again.key;
  Schedule(again, kTick);
  if (event.key % kTicksPerAnnouncement == 0) {
    // Every fourth announcement reaches everybody.
    Announce(event.instance, event.key % (4 * kTicksPerAnnouncement) == 0);
    CheckEjections(at);
  }
  const Time awake = std::max(at.leaving_since, at.paused_until);
  Require(!at.leaving || now_ - awake < kLongestDrain, "a_drain_ends");
  const bool done = at.leaving && now_ - at.leaving_since > kShortestDrain &&
                    at.own_calls.empty() && at.holding.empty() &&
                    at.waiting.empty();
  if (done) {
    Kill(event.instance);
  }
}

void CallsWorld::Announce(std::size_t index, bool surely) {
  const Member member = MemberOf(instances_[index]);
  for (std::size_t i = 0; i < kInstances; ++i) {
    if (i == index || (!surely && Chance(4))) {
      continue;
    }
    Event news;
    news.kind = Kind::kAnnounce;
    news.instance = i;
    news.other = index;
    news.incarnation = member.incarnation;
    news.used = static_cast<std::uint32_t>(member.state);
    Schedule(news, Between(kMillisecond, 500 * kMillisecond));
  }
}

void CallsWorld::OnAnnounce(const Event& event) {
  Instance& at = instances_[event.instance];
  const auto state = static_cast<MemberState>(event.used);
  if (!at.up || (mutation_.ignore_leaving && state == MemberState::kLeaving)) {
    return;
  }
  LearnOf(at, state, event.other, event.incarnation);
}

// Later incarnations override earlier ones; of one incarnation the later
// state does.
void CallsWorld::LearnOf(Instance& at,
                         MemberState state,
                         std::size_t other,
                         std::uint64_t incarnation) {
  const Member* known = at.directory.Find(instances_[other].name);
  const bool news = incarnation > known->incarnation ||
                    (incarnation == known->incarnation && state > known->state);
  if (!news) {
    return;
  }
  Member member = *known;
  member.incarnation = incarnation;
  member.state = state;
  at.directory.Put(member);
}

void CallsWorld::OnFault() {
  Event again;
  again.kind = Kind::kFault;
  again.instance = kNoInstance;
  Schedule(again, Between(100 * kMillisecond, 700 * kMillisecond));
  const std::size_t index = random_.Below(kInstances);
  Instance& at = instances_[index];
  const auto sound = std::count_if(instances_.begin(), instances_.end(),
                                   [&](const Instance& instance) {
                                     return instance.up && !instance.leaving &&
                                            instance.paused_until <= now_;
                                   });
  const bool may_fall = static_cast<std::size_t>(sound) > kMinUp && at.up &&
                        at.paused_until <= now_;
  switch (random_.Below(10)) {
    case 0:
      if (may_fall) {
        ++seen_.kills;
        Kill(index);
      }
      return;
    case 1:
    case 2:
      if (may_fall && !at.leaving) {
        ++seen_.drains;
        Drain(index);
      }
      return;
    case 3:
    case 4:
      if (may_fall && !at.leaving) {
        ++seen_.pauses;
        Pause(index);
      }
      return;
    case 5:
      at.fails_until = now_ + Between(kSecond, 2 * kSecond);
      return;
    case 6:
      at.deaf_until = now_ + Between(kSecond, 2 * kSecond);
      return;
    default:
      at.lie = static_cast<int>(random_.Below(3));
      return;
  }
}

// Copies of what it runs wait in its sockets when it goes on.
void CallsWorld::Pause(std::size_t index) {
  Instance& at = instances_[index];
  at.paused_until = now_ + Between(4 * kSecond, 10 * kSecond);
  for (const Key key : at.holding) {
    const Attempt& attempt = attempts_[key];
    const Duration left = attempt.sent + attempt.remaining - now_;
    Event copy;
    copy.kind = Kind::kArrive;
    copy.instance = index;
    copy.key = key;
    Schedule(copy, Between(0, std::max<std::int64_t>(left.count(), 0)));
  }
}

void CallsWorld::Drain(std::size_t index) {
  Instance& at = instances_[index];
  at.leaving = true;
  at.leaving_since = now_;
  if (!mutation_.admit_while_leaving) {
    at.admission->Drain();
  }
  LearnOf(at, MemberState::kLeaving, index, at.incarnation);
  Announce(index, false);
}

void CallsWorld::Kill(std::size_t index) {
  Instance& at = instances_[index];
  at.up = false;
  at.leaving = false;
  seen_.ejections += at.balancer->stats().ejections;
  // Their callers see connections that break: the outcome is unknown.
  const std::set<Key> lost = at.own_calls;
  for (const Key key : lost) {
    const auto attempt = attempts_.find(calls_[key].active_attempt);
    if (attempt != attempts_.end()) {
      attempt->second.ended = true;
    }
    EndCall(key, AttemptOutcome::kUnknown);
  }
  at.holding.clear();
  at.waiting.clear();
  Event restart;
  restart.kind = Kind::kRestart;
  restart.instance = index;
  Schedule(restart, Between(kSecond / 2, 4 * kSecond));
  Event noticed;
  noticed.kind = Kind::kAnnounce;
  noticed.other = index;
  noticed.incarnation = at.incarnation;
  noticed.used = static_cast<std::uint32_t>(MemberState::kDead);
  for (std::size_t i = 0; i < kInstances; ++i) {
    noticed.instance = i;
    Schedule(noticed, Between(kSecond / 2, 2 * kSecond));
  }
}

void CallsWorld::OnRestart(const Event& event) {
  Instance& at = instances_[event.instance];
  ++at.incarnation;
  at.up = true;
  Boot(event.instance);
  Announce(event.instance, false);
  Event tick;
  tick.kind = Kind::kTick;
  tick.instance = event.instance;
  tick.incarnation = at.incarnation;
  Schedule(tick, kTick);
}

// ---- Checks ----

void CallsWorld::CheckInstance(std::size_t index) {
  const Instance& at = instances_[index];
  if (!at.up) {
    return;
  }
  const Admission& admission = *at.admission;
  Require(admission.busy() == at.holding.size(), "slots_never_leaked");
  Require(admission.queued() == at.waiting.size(), "queued_calls_end_once");
  Require(admission.queued() == 0 || admission.busy() == admission.slots(),
          "a_free_slot_never_waits");
}

void CallsWorld::CheckEjections(const Instance& instance) {
  std::array<std::size_t, std::size(kServices)> aside = {};
  for (const auto& [name, member] : instance.directory.members()) {
    const auto health =
        instance.balancer->HealthOf(instance.balancer->HandleOf(name));
    const bool set_aside = health == UpstreamHealth::kEjected ||
                           health == UpstreamHealth::kProbing;
    aside[ServiceIndex(member.service)] += set_aside ? 1 : 0;
  }
  for (const std::size_t count : aside) {
    Require(count <= kMaxAside, "ejections_within_the_cap");
  }
}

// Forgets calls and attempts that no event can name any more.
void CallsWorld::Purge() {
  while (!by_age_.empty()) {
    const Key key = by_age_.front();
    const auto call = calls_.find(key);
    const auto attempt = attempts_.find(key);
    const Time made =
        call != calls_.end() ? call->second.created : attempt->second.sent;
    if (now_ - made < kRemembered) {
      return;
    }
    if (call != calls_.end()) {
      Require(call->second.ended, "every_call_ends_once", key);
      calls_.erase(call);
    } else {
      attempts_.erase(attempt);
    }
    by_age_.pop_front();
  }
}

std::size_t CallsWorld::IndexOf(std::string_view name) const {
  const auto found = std::find_if(
      instances_.begin(), instances_.end(),
      [&](const Instance& instance) { return instance.name == name; });
  return static_cast<std::size_t>(found - instances_.begin());
}

}  // namespace verbenastile
