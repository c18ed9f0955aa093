#include "mesh/outbound_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "base/text.h"
#include "core/link_forecast.h"
#include "core/request_digest.h"
#include "core/transfer_time.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "origin";

constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Time that a response needs to reach the caller. Requests end this long before
// the caller's deadline, or at half of the caller's time if that is later.
constexpr Duration kResponseTransitTime = std::chrono::milliseconds(20);
constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr Duration kDeadlineCheckInterval = std::chrono::milliseconds(20);
// Responses up to this size are buffered until they are complete, so that the
// request can be retried when the response breaks off.
constexpr std::size_t kMaxBufferedResponseBytes = 1'048'576;
// Received bytes are credited to the sender in batches of at least this size.
constexpr std::size_t kCreditBatchBytes = 65'536;
// No credit is returned while more than this waits for a slow caller.
constexpr std::size_t kMaxUnsentBytes = 262'144;
// The first attempts accept only a free slot; after this many refusals the
// request may be queued. A refusal is more recent than the load reports that
// the choice was based on, so another upstream may still have a free slot.
constexpr std::uint32_t kFreeSlotAttempts = 2;
// Refusals after which a request fails.
constexpr std::uint32_t kMaxRefusals = 4;
// Requests with less than 1/8 of their time left are not retried.
constexpr int kMinRetryTimeDivisor = 8;
// Retry-After of a blocked request, which is refused until an operator clears
// it.
constexpr Duration kBlockedRetryAfter = std::chrono::minutes(1);
// When the store has not confirmed the configuration for this long, a request
// that matches no rule gets 503 and not 404: its rule may have been added
// since.
constexpr Duration kMaxConfigurationAge = std::chrono::seconds(12);
// Instances are warm this long after their start.
constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr std::uint32_t kColdSharePermille = 300;
// Cost of a response from another failure domain, as time: the network round
// trip, and its bytes, because operators pay for traffic between failure
// domains.
constexpr Duration kRemoteCost = std::chrono::milliseconds(3);
constexpr Duration kRemoteCostPerKilobyte = std::chrono::milliseconds(12);
constexpr std::int64_t kKilobyte = 1'000;

BalancerLimits MakeBalancerLimits() {
  BalancerLimits limits;
  limits.warm_up = kWarmUp;
  limits.min_warm_up_share_permille = kColdSharePermille;
  return limits;
}

std::optional<Duration> ParseMilliseconds(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(value, kMaxDeadlineMs));
}

// Removes hop-by-hop headers and those that only the proxies may set.
void RemoveReservedHeaders(HttpHeaders& headers, const CallHeaderNames& names) {
  RemoveConnectionHeaders(headers);
  std::erase_if(headers, [&](const HttpHeader& header) {
    return SameHeaderName(header.name, "content-length") ||
           SameHeaderName(header.name, "expect") ||
           SameHeaderName(header.name, names.deadline_ms) ||
           SameHeaderName(header.name, names.expected_instance) ||
           SameHeaderName(header.name, names.caller_service);
  });
}

}  // namespace

OutboundProxy::OutboundProxy(const Init& init)
    : init_(init),
      deadline_timer_(*init.io),
      balancer_({init.health_chart, init.failure_domain, init.region,
                 MakeBalancerLimits(), init.node_name}),
      retry_allowance_(init.allowance, SteadyNow()),
      balancer_random_(init.seed),
      retry_after_random_(init.seed),
      requests_(init.metrics->Counter("requests_total")),
      answered_(init.metrics->Counter("requests_answered_total")),
      refused_(init.metrics->Counter("requests_refused_total")),
      failed_(init.metrics->Counter("requests_failed_total")),
      retried_(init.metrics->Counter("requests_sent_again_total")),
      redirected_(init.metrics->Counter("requests_moved_total")),
      callers_gone_(init.metrics->Counter("callers_gone_total")),
      blocked_(init.metrics->Counter("requests_blocked_total")),
      latency_(init.metrics->Summary("request_microseconds")) {}

OutboundProxy::~OutboundProxy() {
  deadline_timer_.cancel();
}

void OutboundProxy::OnRequest(ExchangePointer exchange) {
  init_.metrics->Add(requests_);
  const CallId id = ++last_id_;
  Call& call = calls_[id];
  call.exchange = std::move(exchange);
  call.begin = SteadyNow();
  call.request_id =
      FindHeader(call.exchange->head().headers, init_.headers.request_id);
  if (!MatchRule(id, call)) {
    return;
  }
  SetDeadline(call);
  const Http1Head& head = call.exchange->head();
  call.key =
      MakeRequestKey(call.exchange->remote_ip(), head.method, head.target);
  call.first_requested =
      returning_callers_.TakeFirstAttemptTime(call.key, call.begin);
  RemoveReservedHeaders(call.exchange->head().headers, init_.headers);
  call.exchange->OnDisconnect([this, id] { OnCallerDisconnected(id); });
  call.service = target_rotation_.Next(call.rule->id, *call.route);
  retry_allowance_.OnRequest(call.service, call.begin);
  if (!deadline_check_scheduled_) {
    ScheduleDeadlineCheck();
  }
  StartAttempt(id);
}

// Finds the rule that routes the request. Returns false when the request was
// answered here: there is no configuration or no matching rule, or the rule
// rejects it.
bool OutboundProxy::MatchRule(CallId id, Call& call) {
  call.table = init_.applier->table();
  if (!call.table) {
    Fail(id, kUnavailable, "no configuration yet");
    return false;
  }
  const Http1Head& head = call.exchange->head();
  const std::string host = ToLower(FindHeader(head.headers, "host"));
  RequestView view;
  view.host = std::string_view(host).substr(0, host.find(':'));
  view.path = std::string_view(head.target).substr(0, head.target.find('?'));
  view.method = head.method;
  call.rule = call.table->FindRule(view);
  if (call.rule == nullptr) {
    const bool fresh = init_.configuration_age() < kMaxConfigurationAge;
    Fail(id, fresh ? kNotFound : kUnavailable,
         fresh ? "no rule matches" : "the configuration may be old");
    return false;
  }
  if (const auto* reject = std::get_if<RejectAction>(&call.rule->action)) {
    Fail(id, reject->status, reject->reason);
    return false;
  }
  call.route = &std::get<RouteAction>(call.rule->action);
  return true;
}

void OutboundProxy::SetDeadline(Call& call) const {
  const auto asked = ParseMilliseconds(
      FindHeader(call.exchange->head().headers, init_.headers.deadline_ms));
  Duration limit = call.route->deadline == Duration::zero()
                       ? kDefaultDeadline
                       : call.route->deadline;
  if (asked) {
    limit =
        std::min(limit, std::max(*asked - kResponseTransitTime, *asked / 2));
  }
  call.deadline = call.begin + limit;
  call.caller_deadline = call.begin + asked.value_or(limit);
}

SuspectVerdict OutboundProxy::Judge(Call& call) const {
  if (init_.suspects->empty()) {
    return SuspectVerdict::kUnsuspected;
  }
  if (!call.digest) {
    const Http1Head& head = call.exchange->head();
    call.digest =
        DigestOf({init_.caller_service(), FindHeader(head.headers, "host"),
                  head.method, head.target, call.exchange->body()});
  }
  return init_.suspects->Judge(*call.digest);
}

// The node beside the instance does the same; it may lack the evidence.
void OutboundProxy::ClearSuspect(Call& call) {
  if (Judge(call) == SuspectVerdict::kUnsuspected ||
      FindHeader(call.headers, init_.headers.signature).empty()) {
    return;
  }
  if (auto evidence = init_.suspects->OnCompleted(*call.digest, SteadyNow())) {
    init_.on_crash_evidence({std::move(*evidence)});
  }
}

// Chooses an upstream and sends the request to it; chooses again when the link
// to its node is down.
void OutboundProxy::StartAttempt(CallId id) {
  Call& call = calls_.at(id);
  while (true) {
    const Time now = SteadyNow();
    if (call.deadline <= now) {
      Fail(id, kGatewayTimeout, "the deadline has passed");
      return;
    }
    const SuspectVerdict verdict = Judge(call);
    if (verdict == SuspectVerdict::kBlocked) {
      init_.metrics->Add(blocked_);
      call.retry_after = kBlockedRetryAfter;
      Fail(id, kUnavailable, "instances ended under this request");
      return;
    }
    balancer_.Sync(init_.member_registry->directory(), now);
    call.on_trial = verdict == SuspectVerdict::kOnTrial;
    UpstreamHandle upstream =
        call.on_trial ? TrialUpstream(call) : ChooseUpstream(call, now);
    if (!upstream.valid() && !call.on_trial && !call.busy_upstreams.empty()) {
      AllowQueueing(call);
      upstream = ChooseUpstream(call, now);
    }
    const Member* member = balancer_.Find(upstream);
    if (member == nullptr) {
      Fail(id, kUnavailable,
           fmt::format("no instance of {} can take it", call.service));
      return;
    }
    Attempt attempt{upstream, member->name, now,
                    member->name == init_.node_name, 0};
    call.tried_upstreams.push_back(upstream);
    if (attempt.local) {
      attempt.local_call_id = init_.inbound_proxy->Start(
          BuildCall(call, *member, now), ResponsePath::kLocal,
          [this, id, serial = ++call.local_attempt_serial](LinkBody body) {
            const auto found = calls_.find(id);
            if (found != calls_.end() && found->second.attempt &&
                found->second.local_attempt_serial == serial) {
              OnReply(id, std::move(body));
            }
          });
    } else if (!init_.links->Send(attempt.member,
                                  {id, BuildCall(call, *member, now)})) {
      continue;
    }
    balancer_.OnStarted(upstream, now);
    call.attempt = std::move(attempt);
    return;
  }
}

// No upstream that was tried had a free slot. Makes them eligible again for an
// attempt that may be queued, so that the balancer chooses the one with the
// shortest expected wait.
void OutboundProxy::AllowQueueing(Call& call) {
  call.refusals = std::max(call.refusals, kFreeSlotAttempts);
  std::erase_if(call.tried_upstreams, [&](const UpstreamHandle& tried) {
    return std::find(call.busy_upstreams.begin(), call.busy_upstreams.end(),
                     tried) != call.busy_upstreams.end();
  });
  call.busy_upstreams.clear();
}

UpstreamHandle OutboundProxy::ChooseUpstream(Call& call, Time now) {
  const RuleProfile profile = rule_profiles_.Find(call.rule->id);
  ChooseQuery query;
  query.service = call.service;
  query.excluded = call.tried_upstreams;
  query.may_probe = call.route->repeatable;
  query.service_time = profile.service_time;
  if (profile.response_bytes > kLargeResponseBytes) {
    query.link_time =
        TransferTime(profile.response_bytes, init_.link_bytes_per_second);
  }
  query.objective = LatencyObjective(call);
  query.remote_cost =
      kRemoteCost + kRemoteCostPerKilobyte * profile.response_bytes / kKilobyte;
  return balancer_.Choose(query, now, balancer_random_);
}

// The only instance that may run a request that is on trial; invalid if it has
// refused this request or is not known.
UpstreamHandle OutboundProxy::TrialUpstream(const Call& call) const {
  const Member* member = TrialMember(init_.member_registry->directory(),
                                     call.service, *call.digest);
  if (member == nullptr) {
    return {};
  }
  const UpstreamHandle upstream = balancer_.HandleOf(member->name);
  const auto& tried = call.tried_upstreams;
  return std::find(tried.begin(), tried.end(), upstream) == tried.end()
             ? upstream
             : UpstreamHandle{};
}

Duration OutboundProxy::LatencyObjective(const Call& call) const {
  return call.route->objective == Duration::zero() ? call.deadline - call.begin
                                                   : call.route->objective;
}

GateCall OutboundProxy::BuildCall(const Call& call,
                                  const Member& member,
                                  Time now) const {
  const Http1Head& head = call.exchange->head();
  GateCall request;
  request.origin = init_.node_name;
  request.service = call.service;
  request.caller_service = init_.caller_service();
  request.request_id = call.request_id;
  request.rule = call.rule->id;
  request.method = head.method;
  request.target = head.target;
  request.headers = head.headers;
  request.body = call.exchange->body();
  request.priority = call.route->priority;
  request.remaining = call.deadline - now;
  request.objective = std::max(
      call.first_requested + LatencyObjective(call) - now, Duration::zero());
  request.idempotent = call.route->repeatable;
  // A large response from another failure domain needs a free link there: that
  // failure domain's own large responses have priority.
  const bool large_from_remote =
      member.failure_domain != init_.failure_domain &&
      rule_profiles_.Find(call.rule->id).response_bytes > kLargeResponseBytes;
  // A request that is on trial has no other instance to find a free slot at.
  request.only_if_free = !call.on_trial && (large_from_remote ||
                                            call.refusals < kFreeSlotAttempts);
  if (const auto* entry = init_.member_registry->Find(member.name)) {
    request.notice = peer_notices_.Find(member.name, entry->record.instance);
  }
  return request;
}

void OutboundProxy::OnLinkFrame(std::string_view member, LinkFrame frame) {
  const auto found = calls_.find(frame.call);
  if (found != calls_.end() && found->second.attempt &&
      found->second.attempt->member == member) {
    OnReply(frame.call, std::move(frame.body));
  }
}

void OutboundProxy::OnReply(CallId id, LinkBody body) {
  if (auto* answer = std::get_if<GateResponse>(&body)) {
    OnResponseHead(id, std::move(*answer));
  } else if (auto* part = std::get_if<GateResponseChunk>(&body)) {
    OnResponsePart(id, std::move(*part));
  } else if (const auto* refusal = std::get_if<GateRefusal>(&body)) {
    OnRefusal(id, *refusal);
  } else if (const auto* broken = std::get_if<GateFailure>(&body)) {
    OnBroken(id, *broken);
  }
}

void OutboundProxy::OnLoad(std::string_view member, const GateLoad& load) {
  balancer_.OnLoadReport(balancer_.HandleOf(member), load.upstream,
                         SteadyNow());
  if (load.notice) {
    OnPeerNotice(member, *load.notice);
  }
}

void OutboundProxy::OnRefusal(CallId id, const GateRefusal& refusal) {
  Call& call = calls_.at(id);
  const Time now = SteadyNow();
  OnLoad(call.attempt->member, refusal.load);
  const bool shed = refusal.reason == RefusalReason::kShed;
  AttemptOutcome outcome = AttemptOutcome::kRefused;
  if (shed || refusal.reason == RefusalReason::kNoInstance) {
    outcome = AttemptOutcome::kFailed;
  } else if (IsLoadRefusal(call, refusal.reason)) {
    outcome = AttemptOutcome::kCancelled;
  }
  // A request that the instance refused counts against the route's retries
  // like one that it ran.
  EndAttempt(call, outcome, shed);
  ++call.refusals;
  if (refusal.reason == RefusalReason::kCrashSuspect) {
    Fail(id, kUnavailable, ToString(refusal.reason));
    return;
  }
  if (refusal.retry_delay > Duration::zero()) {
    call.slot_wait_hint =
        call.slot_wait_hint == Duration::zero()
            ? refusal.retry_delay
            : std::min(call.slot_wait_hint, refusal.retry_delay);
  }
  if (refusal.reason == RefusalReason::kBusy ||
      refusal.reason == RefusalReason::kSlow) {
    call.busy_upstreams.push_back(call.tried_upstreams.back());
    if (call.refusals == kFreeSlotAttempts) {
      AllowQueueing(call);
    }
  }
  const bool try_another =
      shed ? TakeRetry(call, now) : call.refusals < kMaxRefusals;
  if (try_another && call.refusals <= kMaxRefusals) {
    init_.metrics->Add(shed ? retried_ : redirected_);
    StartAttempt(id);
    return;
  }
  Fail(id, kUnavailable, ToString(refusal.reason));
}

// Whether the refusal only reflects the instance's load, so that it must not
// count against the instance's health.
bool OutboundProxy::IsLoadRefusal(const Call& call, RefusalReason reason) {
  if (reason == RefusalReason::kSlow) {
    // The time that a returning caller has left is short for any instance.
    return call.first_requested < call.begin;
  }
  return reason == RefusalReason::kLeaving ||
         reason == RefusalReason::kCrashSuspect ||
         call.refusals < kFreeSlotAttempts;
}

void OutboundProxy::OnBroken(CallId id, const GateFailure& broken) {
  Call& call = calls_.at(id);
  if (broken.load) {
    OnLoad(call.attempt->member, *broken.load);
  }
  EndAttempt(call, AttemptOutcome::kUnknown, true);
  call.may_have_run = true;
  // One crash may be anyone's doing, so a request that was lost in it is
  // retried; one that was suspected before is not.
  const bool suspected = Judge(call) != SuspectVerdict::kUnsuspected;
  if (call.streaming || suspected || !RetryAfterRun(id, broken.detail)) {
    Fail(id, kBadGateway, broken.detail);
  }
}

bool OutboundProxy::CanRetry(const Call& call, Time now) {
  const Duration left = call.deadline - now;
  return call.instances_reached <= call.route->retries &&
         left > (call.deadline - call.begin) / kMinRetryTimeDivisor;
}

bool OutboundProxy::TakeRetry(const Call& call, Time now) {
  return CanRetry(call, now) &&
         retry_allowance_.TryTake(call.service, call.rule->id,
                                  init_.member_registry->entries().size(), now);
}

// Sends a request that may have run to another instance, if it is repeatable
// and the retry budget allows it. Returns whether it did.
bool OutboundProxy::RetryAfterRun(CallId id, std::string_view why) {
  Call& call = calls_.at(id);
  if (!call.route->repeatable || !TakeRetry(call, SteadyNow())) {
    return false;
  }
  init_.metrics->Add(retried_);
  Log(LogLevel::kInfo, kLogComponent, "Retrying a request that may have run.",
      {{"request", call.request_id},
       {"call", id},
       {"runs", call.instances_reached},
       {"why", why}});
  call.status = 0;
  call.headers.clear();
  call.body.clear();
  call.response_bytes = 0;
  call.uncredited_bytes = 0;
  StartAttempt(id);
  return true;
}

void OutboundProxy::OnResponseHead(CallId id, GateResponse answer) {
  Call& call = calls_.at(id);
  OnLoad(call.attempt->member, answer.load);
  call.status = answer.status;
  call.headers = std::move(answer.headers);
  call.content_length = answer.length;
  call.slot_wait = answer.queue_time;
  call.head_received = SteadyNow();
  ReceiveBody(id, std::move(answer.body), answer.last);
}

void OutboundProxy::OnResponsePart(CallId id, GateResponseChunk part) {
  ReceiveBody(id, std::move(part.body), part.last);
}

void OutboundProxy::ReceiveBody(CallId id, std::string body, bool last) {
  Call& call = calls_.at(id);
  call.uncredited_bytes += body.size();
  call.response_bytes += body.size();
  call.body += body;
  if (last) {
    OnResponseComplete(id);
    return;
  }
  if (call.streaming || call.body.size() > kMaxBufferedResponseBytes) {
    StreamToCaller(id);
  } else {
    ReturnCredit(call, id);
  }
}

// Sends the received part of the body on to the caller, preceded by the head if
// that was not sent yet.
void OutboundProxy::StreamToCaller(CallId id) {
  Call& call = calls_.at(id);
  if (!call.streaming) {
    call.streaming = true;
    call.exchange->Start(call.status, call.headers, call.content_length);
    call.exchange->OnDrained([this, id] {
      const auto found = calls_.find(id);
      if (found != calls_.end()) {
        ReturnCredit(found->second, id);
      }
    });
  }
  call.exchange->Write(std::exchange(call.body, {}));
  ReturnCredit(call, id);
}

void OutboundProxy::ReturnCredit(Call& call, CallId id) {
  if (call.uncredited_bytes < kCreditBatchBytes || !call.attempt ||
      call.exchange->unsent() > kMaxUnsentBytes) {
    return;
  }
  const auto bytes =
      static_cast<std::uint32_t>(std::exchange(call.uncredited_bytes, 0));
  if (call.attempt->local) {
    init_.inbound_proxy->GrantCredit(call.attempt->local_call_id, bytes);
  } else {
    init_.links->Send(call.attempt->member, {id, LinkCredit{bytes}});
  }
}

// The response was received to its end.
void OutboundProxy::OnResponseComplete(CallId id) {
  Call& call = calls_.at(id);
  if (call.content_length && *call.content_length != call.response_bytes) {
    OnBroken(id, {"the answer is not whole", std::nullopt});
    return;
  }
  const bool failed = call.status >= kServerError;
  if (!failed) {
    RecordServiceTime(call, SteadyNow());
  }
  ClearSuspect(call);
  EndAttempt(call, failed ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered,
             true);
  if (failed && !call.streaming) {
    call.may_have_run = true;
    call.failed_response = {call.status, call.headers, call.body};
    if (RetryAfterRun(id, "server error")) {
      return;
    }
  }
  init_.metrics->Add(failed ? failed_ : answered_);
  if (call.streaming) {
    call.exchange->Write(call.body);
    call.exchange->Finish();
  } else {
    call.exchange->Send(call.status, call.headers, call.body);
  }
  FinishCall(id, "answered", call.status);
}

// Updates the service times of the instance and the rule. Excludes the waits
// for a slot and for the link, which the load reports of inbound proxies cover.
void OutboundProxy::RecordServiceTime(const Call& call, Time now) {
  const Duration taken =
      call.head_received - call.attempt->begin - call.slot_wait;
  const RuleProfile profile = rule_profiles_.Find(call.rule->id);
  balancer_.OnServiceTime(call.attempt->upstream, taken, profile.service_time,
                          now);
  rule_profiles_.AddSample(call.rule->id, taken, call.response_bytes);
}

void OutboundProxy::EndAttempt(Call& call,
                               AttemptOutcome outcome,
                               bool reached) {
  if (call.attempt) {
    const Time now = SteadyNow();
    call.instances_reached += reached ? 1 : 0;
    balancer_.OnEnded(call.attempt->upstream, outcome,
                      now - call.attempt->begin, now);
    call.attempt.reset();
  }
}

void OutboundProxy::CancelAttempt(CallId id,
                                  Call& call,
                                  AttemptOutcome outcome) {
  if (!call.attempt) {
    return;
  }
  call.may_have_run = true;
  if (call.attempt->local) {
    init_.inbound_proxy->Cancel(call.attempt->local_call_id);
  } else {
    init_.links->Send(call.attempt->member, {id, LinkCancel{}});
  }
  EndAttempt(call, outcome, true);
}

// The calls with an attempt in progress on a link to `member`.
std::vector<CallId> OutboundProxy::CallsAt(std::string_view member) const {
  std::vector<CallId> found;
  for (const auto& [id, call] : calls_) {
    if (call.attempt && !call.attempt->local &&
        call.attempt->member == member) {
      found.push_back(id);
    }
  }
  return found;
}

void OutboundProxy::OnLinkDown(std::string_view member) {
  for (const CallId id : CallsAt(member)) {
    if (calls_.contains(id)) {
      OnBroken(id, {"the link to the instance's node broke", std::nullopt});
    }
  }
}

void OutboundProxy::OnLinkSilent(std::string_view member) {
  for (const CallId id : CallsAt(member)) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || !found->second.route->repeatable) {
      continue;
    }
    Call& call = found->second;
    CancelAttempt(id, call, AttemptOutcome::kUnknown);
    if (call.streaming || !RetryAfterRun(id, "the instance's node is silent")) {
      Fail(id, kBadGateway, "the instance's node is silent");
    }
  }
}

void OutboundProxy::OnCallerDisconnected(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  init_.metrics->Add(callers_gone_);
  CancelAttempt(id, found->second, AttemptOutcome::kCancelled);
  FinishCall(id, "caller_gone", 0);
}

Duration OutboundProxy::RetryAfterFor(const Call& call) {
  const Time now = SteadyNow();
  const std::string_view rule =
      call.rule == nullptr ? std::string_view() : call.rule->id;
  return return_times_.Estimate(
      {rule, call.slot_wait_hint, call.caller_deadline - now}, now,
      retry_after_random_);
}

// Ends the request without a complete response: with the earlier server error
// of an instance if there is one, else with an error generated here.
void OutboundProxy::Fail(CallId id, int status, std::string_view reason) {
  Call& call = calls_.at(id);
  if (status == kUnavailable && call.may_have_run) {
    status = kBadGateway;
  }
  if (call.streaming) {
    init_.metrics->Add(failed_);
    call.exchange->Abort();
    FinishCall(id, reason, status);
    return;
  }
  if (call.failed_response) {
    // A server error from an instance takes precedence over an error of the
    // proxy's own.
    init_.metrics->Add(failed_);
    call.exchange->Send(call.failed_response->status,
                        call.failed_response->headers,
                        call.failed_response->body);
    FinishCall(id, "answered_by_an_earlier_instance",
               call.failed_response->status);
    return;
  }
  HttpHeaders headers = {{"Content-Type", "text/plain"}};
  if (status == kUnavailable) {
    if (call.retry_after == Duration::zero()) {
      call.retry_after = RetryAfterFor(call);
    }
    const double seconds =
        std::chrono::duration<double>(call.retry_after).count();
    headers.push_back({std::string(init_.headers.retry_after),
                       fmt::format("{:.3f}", seconds)});
  }
  init_.metrics->Add(status == kUnavailable ? refused_ : failed_);
  call.exchange->Send(status, headers, fmt::format("{}\n", reason));
  FinishCall(id, reason, status);
}

void OutboundProxy::RecordOutcome(const Call& call, int status, Time now) {
  if (call.rule == nullptr) {
    return;
  }
  return_times_.OnOutcome(call.rule->id, status == kUnavailable, now);
  if (status >= kServerError) {
    returning_callers_.OnRequestFailed(call.key, call.first_requested, now);
  }
}

void OutboundProxy::FinishCall(CallId id,
                               std::string_view outcome,
                               int status) {
  const auto found = calls_.find(id);
  const Call& call = found->second;
  const Time now = SteadyNow();
  const Duration took = now - call.begin;
  init_.metrics->Observe(latency_, static_cast<double>(took.count()));
  RecordOutcome(call, status, now);
  const Member* member = call.tried_upstreams.empty()
                             ? nullptr
                             : balancer_.Find(call.tried_upstreams.back());
  Log(LogLevel::kInfo, kLogComponent, "Request.",
      {{"request", call.request_id},
       {"call", id},
       {"caller", call.exchange->remote_ip()},
       {"target", call.exchange->head().target},
       {"rule", call.rule == nullptr ? std::string_view() : call.rule->id},
       {"generation", call.table ? call.table->generation() : 0},
       {"config_age_ms", ToMilliseconds(init_.configuration_age())},
       {"service", call.service},
       {"member", member == nullptr ? std::string_view() : member->name},
       {"outcome", outcome},
       {"status", status},
       {"bytes", call.response_bytes},
       {"runs", call.instances_reached},
       {"refusals", call.refusals},
       {"took_ms", ToMilliseconds(took)},
       {"asked_before_ms",
        call.rule == nullptr
            ? 0
            : ToMilliseconds(call.begin - call.first_requested)},
       {"retry_after_ms", ToMilliseconds(call.retry_after)},
       {"left_ms",
        call.deadline == Time() ? 0 : ToMilliseconds(call.deadline - now)}});
  calls_.erase(found);
}

// Fails requests whose deadline has passed.
void OutboundProxy::FailOverdue() {
  const Time now = SteadyNow();
  std::vector<CallId> overdue;
  for (const auto& [id, call] : calls_) {
    if (call.deadline <= now) {
      overdue.push_back(id);
    }
  }
  for (const CallId id : overdue) {
    Call& call = calls_.at(id);
    CancelAttempt(id, call, AttemptOutcome::kUnknown);
    Fail(id, kGatewayTimeout, "the deadline has passed");
  }
}

void OutboundProxy::ScheduleDeadlineCheck() {
  deadline_check_scheduled_ = !calls_.empty();
  if (!deadline_check_scheduled_) {
    return;
  }
  deadline_timer_.expires_after(kDeadlineCheckInterval);
  deadline_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      ScheduleDeadlineCheck();
      FailOverdue();
    }
  });
}

}  // namespace verbenastile
