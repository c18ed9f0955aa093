#include "mesh/inbound_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "core/request_digest.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "gate";
constexpr std::string_view kRoomLogComponent = "room";
// Shortest interval at which refusals for lack of room are logged.
constexpr Duration kRoomLogInterval = std::chrono::milliseconds(200);

// A link counts as free while a large response waits for it for at most 1/4 of
// its latency objective.
constexpr int kFreeLinkDivisor = 4;
// A call with a large response is accepted if the response is expected to have
// left within this part of the objective. The rest is reserved for larger than
// average responses ahead of it, and for the link of its receiver.
constexpr int kLinkBudgetPermille = 650;
constexpr int kPermille = 1'000;
// Interval at which queues and deadlines are checked while there are calls.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// How long the slot of a cancelled call stays occupied: an instance needs a few
// iterations of its event loop to notice the closed connection.
constexpr Duration kCancelledSlotTime = std::chrono::milliseconds(20);
// Time that a response needs from the instance to the caller.
constexpr Duration kResponseTransitTime = std::chrono::milliseconds(10);
// A call that the caller's node has not cancelled this long after its deadline
// is cancelled here.
constexpr Duration kOverdueGrace = std::chrono::milliseconds(200);
// A call that may not be repeated is not broken off when its caller is gone,
// but instances stop work at the deadline: after this time it is.
constexpr Duration kNonIdempotentOverdueGrace = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Idle connections are reused only this long after their last response, because
// instances close idle connections, some of them without notice.
constexpr Duration kMaxIdle = std::chrono::seconds(7);
// Calls that may not be repeated only reuse connections that were used very
// recently.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::seconds(3);
constexpr std::uint32_t kInitialSlots = 1;

}  // namespace

std::string_view ToString(CancelCause cause) {
  switch (cause) {
    case CancelCause::kCancelled:
      return "cancelled";
    case CancelCause::kLinkEnded:
      return "link_ended";
  }
  return "unknown";
}

InboundProxy::InboundProxy(const Init& init)
    : init_(init),
      tick_timer_(*init.io),
      instance_check_timer_(*init.io),
      http_client_(*init.io, {}),
      instance_probe_(*init.io),
      admission_(kInitialSlots),
      room_metrics_(init.metrics),
      crash_numbers_(init.seed),
      started_(init.metrics->Counter("gate_started_total")),
      refused_(init.metrics->Counter("gate_refused_total")),
      shed_by_instance_(init.metrics->Counter("gate_shed_by_instance_total")),
      broken_(init.metrics->Counter("gate_broken_total")),
      rejected_(init.metrics->Counter("gate_responses_rejected_total")),
      limited_answers_(init.metrics->Counter("gate_limited_answers_total")),
      leaving_answers_(init.metrics->Counter("gate_leaving_answers_total")),
      instance_ends_(init.metrics->Counter("gate_instance_ends_total")),
      overdue_(init.metrics->Counter("gate_overdue_total")),
      cancelled_ran_(init.metrics->Summary("gate_cancelled_ran_microseconds")),
      queue_wait_(init.metrics->Summary("gate_wait_microseconds")),
      service_time_(init.metrics->Summary("gate_service_microseconds")) {
  for (std::size_t i = 0; i < kCancelCauseCount; ++i) {
    const auto cause = static_cast<CancelCause>(i);
    cancelled_unread_.at(i) = CancelCounter("unread", cause);
    cancelled_queued_.at(i) = CancelCounter("queued", cause);
    cancelled_running_.at(i) = CancelCounter("running", cause);
  }
}

CounterHandle InboundProxy::CancelCounter(std::string_view state,
                                          CancelCause cause) {
  return init_.metrics->Counter(
      fmt::format("gate_cancelled_total{{state=\"{}\",cause=\"{}\"}}", state,
                  ToString(cause)));
}

InboundProxy::~InboundProxy() {
  tick_timer_.cancel();
  instance_check_timer_.cancel();
}

// Why a queued call must not be sent to the instance any more; empty if it may.
std::optional<RefusalReason> InboundProxy::StartRefusal(const Call& call,
                                                        Time now) const {
  const InstanceTracker& tracker = *init_.tracker;
  const bool may_still_start =
      tracker.state() == InstanceState::kLeaving &&
      now - tracker.state_since() < init_.leaving_start_period();
  if (call.request.service != tracker.service() ||
      (tracker.report() && call.request.service != tracker.report()->service)) {
    return RefusalReason::kOtherService;
  }
  return tracker.serves() || may_still_start
             ? std::nullopt
             : std::optional(UnavailableReason());
}

RefusalReason InboundProxy::UnavailableReason() const {
  const InstanceState state = init_.tracker->state();
  const bool leaving =
      state == InstanceState::kLeaving || state == InstanceState::kGone;
  return leaving ? RefusalReason::kLeaving : RefusalReason::kNoInstance;
}

CallId InboundProxy::Start(GateCall call,
                           ResponsePath path,
                           ReplyHandler reply) {
  const CallId id = ++last_id_;
  const Time now = SteadyNow();
  Call& entry = calls_[id];
  entry.request = std::move(call);
  entry.path = path;
  entry.reply = std::move(reply);
  entry.arrived = now;
  entry.deadline = now + entry.request.remaining;
  if (entry.request.notice) {
    OnPeerNotice(*entry.request.notice, entry.request.origin);
  }
  if (!init_.tracker->serves()) {
    Refuse(id, UnavailableReason(), Duration::zero());
  } else if (entry.request.service != init_.tracker->service()) {
    Refuse(id, RefusalReason::kOtherService, Duration::zero());
  } else if (!MayRun(entry, Judge(entry))) {
    Refuse(id, RefusalReason::kCrashSuspect, Duration::zero());
  } else if (entry.request.only_if_free &&
             !admission_.CanStartNow(OfferOf(id, entry, now), now)) {
    Refuse(id, RefusalReason::kBusy, Duration::zero());
  } else if (IsTooSlow(entry, now)) {
    Refuse(id, RefusalReason::kSlow, Duration::zero());
  } else if (const Duration delay = LinkDelay(entry);
             delay > Duration::zero()) {
    Refuse(id, RefusalReason::kBusy, delay);
  } else {
    Admit(id, entry, now);
  }
  if (!tick_scheduled_) {
    ScheduleTick();
  }
  return id;
}

const Digest& InboundProxy::ContentDigest(Call& call) {
  if (!call.digest) {
    const GateCall& request = call.request;
    call.digest =
        DigestOf({request.caller_service, FindHeader(request.headers, "host"),
                  request.method, request.target, request.body});
  }
  return *call.digest;
}

SuspectVerdict InboundProxy::Judge(Call& call) const {
  return init_.suspects->empty() ? SuspectVerdict::kUnsuspected
                                 : init_.suspects->Judge(ContentDigest(call));
}

bool InboundProxy::MayRun(Call& call, SuspectVerdict verdict) const {
  if (verdict == SuspectVerdict::kOnTrial) {
    return trial_call_id_ == 0 &&
           init_.may_try(call.request.service, ContentDigest(call));
  }
  return verdict != SuspectVerdict::kBlocked;
}

// Whether the instance is expected to take longer for the call than its limit:
// its latency objective while the caller can try other instances, else the time
// it has left. A call whose objective has passed is late at any instance, so
// only its remaining time counts.
bool InboundProxy::IsTooSlow(const Call& call, Time now) const {
  const bool can_try_others =
      call.request.only_if_free && call.request.objective > Duration::zero();
  const Duration limit =
      can_try_others ? call.request.objective : call.request.remaining;
  const auto expected = admission_.ExpectedServiceTime(call.request.rule, now);
  return expected && *expected > limit;
}

// How long a large response would exceed its time budget because of other
// responses that wait for the machine's link; zero if it would not. For a call
// with `only_if_free`, at least the time by which the wait for the link exceeds
// that for a free link.
Duration InboundProxy::LinkDelay(const Call& call) const {
  const RuleProfile profile = rule_profiles_.Find(call.request.rule);
  if (call.path == ResponsePath::kLocal ||
      profile.response_bytes <= kLargeResponseBytes) {
    return Duration::zero();
  }
  const Duration objective = call.request.objective;
  const LinkState link = init_.link();
  const Duration over_budget = link_forecast_.ExcessDelay(
      profile, link, objective * kLinkBudgetPermille / kPermille);
  const Duration over_free_wait =
      link_forecast_.QueueingDelay(link) - objective / kFreeLinkDivisor;
  return call.request.only_if_free ? std::max(over_budget, over_free_wait)
                                   : over_budget;
}

// Calls of groups, and calls of instances where callers have groups, are queued
// by what they can still wait for.
AdmissionOffer InboundProxy::OfferOf(CallId id,
                                     const Call& call,
                                     Time now) const {
  AdmissionOffer offer;
  offer.id = id;
  offer.group_priority = call.request.group_priority;
  offer.priority = call.request.priority;
  offer.deadline = call.deadline;
  offer.soft_deadline = now + call.request.objective;
  offer.call_class = call.request.rule;
  offer.caller_group = call.request.group;
  if (!call.request.group.empty() && init_.group_weight) {
    offer.caller_weight = init_.group_weight(call.request.group);
  }
  offer.by_slack = !call.request.group.empty() || call.request.group_priority;
  return offer;
}

void InboundProxy::Admit(CallId id, Call& call, Time now) {
  const AdmissionResult result = admission_.Offer(OfferOf(id, call, now), now);
  if (result.verdict != AdmissionVerdict::kRefused &&
      call.path == ResponsePath::kLink) {
    link_forecast_.OnCallAccepted(id, rule_profiles_.Find(call.request.rule));
  }
  Execute(result.actions);
  if (result.verdict == AdmissionVerdict::kAdmitted) {
    SendToInstance(id);
  } else if (result.verdict == AdmissionVerdict::kRefused) {
    LogRoomRefusal(call, result);
    Refuse(id, RefusalReason::kBusy, result.retry_after);
  }
}

// Logs what decided about a call of a group, or about a nested one.
void InboundProxy::LogRoomRefusal(const Call& call,
                                  const AdmissionResult& result) {
  const GateCall& request = call.request;
  if (request.group.empty() && !request.group_priority) {
    return;
  }
  room_metrics_.OnRefused(request);
  const Time now = SteadyNow();
  if (now - room_refusal_logged_at_ < kRoomLogInterval) {
    ++unlogged_room_refusals_;
    return;
  }
  room_refusal_logged_at_ = now;
  const RoomInputs& inputs = admission_.last_refusal_inputs();
  Log(LogLevel::kInfo, kRoomLogComponent, "Refused for room.",
      {{"request", request.request_id},
       {"rule", request.rule},
       {"group", request.group},
       {"over_share", inputs.over_share},
       {"why", ToString(result.refusal)},
       {"rank", inputs.rank},
       {"expected_wait_ms", ToMilliseconds(inputs.expected_wait)},
       {"wait_limit_ms", ToMilliseconds(inputs.wait_limit)},
       {"service_time_ms", ToMilliseconds(inputs.service_time)},
       {"busy", admission_.busy()},
       {"slots", admission_.slots()},
       {"queued", admission_.queued()},
       {"not_logged", std::exchange(unlogged_room_refusals_, 0)}});
}

void InboundProxy::SendToInstance(CallId id) {
  Call& call = calls_.at(id);
  const Time now = SteadyNow();
  if (const auto refusal = StartRefusal(call, now)) {
    Execute(admission_.OnEnded(id, now));
    Refuse(id, *refusal, Duration::zero());
    return;
  }
  // The evidence may have arrived while the call waited.
  const SuspectVerdict verdict = Judge(call);
  if (!MayRun(call, verdict)) {
    Execute(admission_.OnEnded(id, now));
    Refuse(id, RefusalReason::kCrashSuspect, Duration::zero());
    return;
  }
  if (verdict == SuspectVerdict::kOnTrial) {
    trial_call_id_ = id;
  }
  const InstanceReport& report = *init_.tracker->report();
  call.started = now;
  call.instance_id = report.id;
  init_.metrics->Add(started_);
  if (!call.request.group.empty() || call.request.group_priority) {
    room_metrics_.OnStarted(call.request);
  }
  init_.metrics->Observe(queue_wait_,
                         static_cast<double>((now - call.arrived).count()));
  Http1Call http;
  http.address = report.address;
  http.method = call.request.method;
  http.target = call.request.target;
  http.headers = BuildHeaders(call, now);
  http.body = call.request.body;
  http.connect_timeout = std::min(kConnectTimeout, call.deadline - now);
  http.max_idle = call.request.idempotent ? kMaxIdle : kMaxIdleNonIdempotent;
  if (call.request.request_id.empty()) {
    // A late copy of an earlier response could not be told from the response.
    http.max_idle = Duration::zero();
  }
  http.echo = {init_.headers.request_id, call.request.request_id};
  http.on_head = [this, id](const Http1Head& head) {
    OnResponseHead(id, head);
  };
  http.on_data = [this, id](std::string part) {
    OnResponseData(id, std::move(part));
  };
  http.on_end = [this, id](Http1CallResult end, std::string_view detail) {
    OnHttpEnd(id, end, detail);
  };
  call.http_call_id = http_client_.Start(std::move(http));
}

HttpHeaders InboundProxy::BuildHeaders(const Call& call, Time now) const {
  const Duration left =
      std::max(call.deadline - now - kResponseTransitTime, Duration(0));
  HttpHeaders headers = call.request.headers;
  headers.push_back({std::string(init_.headers.deadline_ms),
                     std::to_string(ToMilliseconds(left))});
  headers.push_back(
      {std::string(init_.headers.expected_instance), call.instance_id});
  headers.push_back(
      {std::string(init_.headers.caller_service), call.request.caller_service});
  if (!call.request.group.empty()) {
    headers.push_back({std::string(init_.headers.group), call.request.group});
  }
  return headers;
}

void InboundProxy::Refuse(CallId id, RefusalReason reason, Duration come_back) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  init_.metrics->Add(refused_);
  LogCall(id, found->second, ToString(reason));
  PostReply(found->second.reply, GateRefusal{reason, come_back, load()});
  Remove(id);
}

void InboundProxy::FailBroken(CallId id, std::string_view detail) {
  const auto found = calls_.find(id);
  init_.metrics->Add(broken_);
  LogCall(id, found->second, detail);
  if (!found->second.abandoned) {
    PostReply(found->second.reply, GateFailure{std::string(detail), load()});
  }
  Remove(id);
}

void InboundProxy::Remove(CallId id) {
  link_forecast_.OnCallCompleted(id);
  if (trial_call_id_ == id) {
    trial_call_id_ = 0;
  }
  calls_.erase(id);
}

// Posts the reply to the event loop, so that it never runs within the caller's
// own call.
void InboundProxy::PostReply(const ReplyHandler& reply, LinkBody body) {
  asio::post(*init_.io, [reply, body = std::move(body)]() mutable {
    reply(std::move(body));
  });
}

bool InboundProxy::Cancel(CallId id, CancelCause cause) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return true;
  }
  Call& call = found->second;
  const Time now = SteadyNow();
  const CancelVerdict verdict = admission_.OnCancelled(id, now);
  const auto index = static_cast<std::size_t>(cause);
  if (verdict != CancelVerdict::kRunning) {
    init_.metrics->Add(cancelled_queued_.at(index));
    LogCall(id, call, fmt::format("{}_before_start", ToString(cause)));
    Remove(id);
    return verdict != CancelVerdict::kNotRun;
  }
  init_.metrics->Add(cancelled_running_.at(index));
  init_.metrics->Observe(cancelled_ran_,
                         static_cast<double>((now - call.started).count()));
  if (!call.request.idempotent) {
    call.abandoned = true;
    if (std::exchange(call.paused, false)) {
      http_client_.Resume(call.http_call_id);
    }
    return true;
  }
  BreakOff(id, ToString(cause));
  return true;
}

void InboundProxy::OnCancelledUnread(const GateCall& call, CancelCause cause) {
  init_.metrics->Add(cancelled_unread_.at(static_cast<std::size_t>(cause)));
  Log(LogLevel::kInfo, kLogComponent, "A call ended before it was read.",
      {{"request", call.request_id},
       {"origin", call.origin},
       {"rule", call.rule},
       {"cause", ToString(cause)}});
}

void InboundProxy::BreakOff(CallId id, std::string_view outcome) {
  const Call& call = calls_.at(id);
  LogCall(id, call, outcome);
  AddBroken(id, true);
  http_client_.Cancel(call.http_call_id);
  HoldSlot(id);
  Remove(id);
}

// The instance needs some time to notice that the connection was closed.
void InboundProxy::HoldSlot(CallId id) {
  held_slots_.push_back({SteadyNow() + kCancelledSlotTime, id});
}

void InboundProxy::GrantCredit(CallId id, std::uint32_t bytes) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.uncredited_bytes -= std::min<std::size_t>(bytes, call.uncredited_bytes);
  if (call.paused && call.uncredited_bytes <= kWindowBytes / 2) {
    call.paused = false;
    http_client_.Resume(call.http_call_id);
  }
}

// Refuses the queued calls that the instance must not run, so that their
// callers can try others while there is time.
void InboundProxy::RefuseQueued(Time now) {
  if (admission_.queued() == 0) {
    return;
  }
  std::vector<std::pair<CallId, RefusalReason>> refused;
  for (const auto& [id, call] : calls_) {
    if (call.started != Time()) {
      continue;
    }
    if (const auto refusal = StartRefusal(call, now)) {
      refused.emplace_back(id, *refusal);
    }
  }
  for (const auto& [id, reason] : refused) {
    admission_.OnCancelled(id, now);
    Refuse(id, reason, Duration::zero());
  }
}

void InboundProxy::OnInstanceChanged() {
  RefuseQueued(SteadyNow());
  const auto& report = init_.tracker->report();
  if (report) {
    http_client_.CloseIdle(report->address);
    rate_limit_.OnInstance({report->id, report->started_ms});
    pace_.OnInstance(report->id);
    admission_.SetRateLimit(rate_limit_.calls_per_second(), SteadyNow());
    Execute(admission_.SetSlots(std::max<std::uint32_t>(report->slots, 1),
                                SteadyNow()));
  }
}

GateLoad InboundProxy::load() const {
  return {{admission_.busy(), static_cast<std::uint32_t>(admission_.queued()),
           link_forecast_.QueueingDelay(init_.link()),
           admission_.RateLimitDelay(SteadyNow()),
           rate_limit_.calls_per_second(), pace_.slowness_permille()},
          init_.configuration(),
          Notice()};
}

void InboundProxy::Execute(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      SendToInstance(start->id);
    } else {
      Refuse(std::get<RefuseCall>(action).id, RefusalReason::kBusy,
             Duration::zero());
    }
  }
}

// Breaks off running calls that are past their deadline: idempotent ones that
// the caller's node did not cancel, and others long after it.
void InboundProxy::CancelOverdue(Time now) {
  std::vector<CallId> overdue;
  for (const auto& [id, call] : calls_) {
    const Duration grace =
        call.request.idempotent ? kOverdueGrace : kNonIdempotentOverdueGrace;
    if (call.http_call_id != 0 && call.deadline + grace <= now) {
      overdue.push_back(id);
    }
  }
  for (const CallId id : overdue) {
    const Call& call = calls_.at(id);
    if (!call.abandoned) {
      PostReply(call.reply, GateFailure{"the deadline has passed", load()});
    }
    init_.metrics->Add(overdue_);
    BreakOff(id, "overdue");
  }
}

void InboundProxy::Tick() {
  const Time now = SteadyNow();
  CancelOverdue(now);
  for (const HeldSlot& slot : std::exchange(held_slots_, {})) {
    if (slot.until <= now) {
      Execute(admission_.OnEnded(slot.id, now));
    } else {
      held_slots_.push_back(slot);
    }
  }
  if (!init_.tracker->serves()) {
    RefuseQueued(now);  // It may be leaving for too long by now.
  }
  Execute(admission_.Tick(now));
}

void InboundProxy::ScheduleTick() {
  tick_scheduled_ = !calls_.empty() || !held_slots_.empty();
  if (!tick_scheduled_) {
    return;
  }
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
        if (!error && !alive.expired()) {
          ScheduleTick();
          Tick();
        }
      });
}

void InboundProxy::LogCall(CallId id,
                           const Call& call,
                           std::string_view outcome) const {
  const Time now = SteadyNow();
  const bool ran = call.started != Time();
  const Duration waited = (ran ? call.started : now) - call.arrived;
  Log(LogLevel::kInfo, kLogComponent, "Call.",
      {{"request", call.request.request_id},
       {"call", id},
       {"origin", call.request.origin},
       {"rule", call.request.rule},
       {"priority", kPriorityNames[static_cast<int>(call.request.priority)]},
       {"outcome", outcome},
       {"status", call.response_head.status},
       {"instance", call.instance_id},
       {"rate_limit",
        FindHeader(call.response_head.headers, init_.headers.rate_limit)},
       {"leaving",
        FindHeader(call.response_head.headers, init_.headers.leaving)},
       {"state", ToString(init_.tracker->state())},
       {"state_age_ms", ToMilliseconds(now - init_.tracker->last_heard())},
       {"busy", admission_.busy()},
       {"slots", admission_.slots()},
       {"queued", admission_.queued()},
       {"rate_limit_in_force", RateLimitText()},
       {"waited_ms", ToMilliseconds(waited)},
       {"ran_ms", ran ? ToMilliseconds(now - call.started) : 0},
       {"objective_ms", ToMilliseconds(call.request.objective)},
       {"left_ms", ToMilliseconds(call.deadline - now)}});
}

}  // namespace verbenastile
