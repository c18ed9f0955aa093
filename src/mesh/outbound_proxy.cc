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
#include "io/http_status.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "origin";

// Time that a response needs to reach the caller. Requests end this long before
// the caller's deadline, or at half of the caller's time if that is later.
constexpr Duration kResponseTransitTime = std::chrono::milliseconds(20);
constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr Duration kDeadlineCheckInterval = std::chrono::milliseconds(20);
// Retry-After of a blocked request, which is refused until an operator clears
// it.
constexpr Duration kBlockedRetryAfter = std::chrono::minutes(1);
// Retry-After of a request that the configuration in force rejects while it may
// be outdated. Covers a request to a peer for a newer one.
constexpr Duration kOutdatedRetryAfter = std::chrono::milliseconds(500);
// Instances are warm this long after their start.
constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr std::uint32_t kColdSharePermille = 300;

// Choices for one attempt while they fall on instances whose nodes do not
// answer.
constexpr int kMaxDoubtfulChoices = 16;

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
      domain_spill_(init.failure_domain),
      retry_allowance_(init.allowance, SteadyNow()),
      copies_(init.copies),
      balancer_random_(init.seed),
      retry_after_random_(init.seed),
      requests_(init.metrics->Counter("requests_total")),
      answered_(init.metrics->Counter("requests_answered_total")),
      refused_(init.metrics->Counter("requests_refused_total")),
      failed_(init.metrics->Counter("requests_failed_total")),
      retried_(init.metrics->Counter("requests_sent_again_total")),
      redirected_(init.metrics->Counter("requests_moved_total")),
      in_doubt_(init.metrics->Counter("requests_in_doubt_total")),
      callers_gone_(init.metrics->Counter("callers_gone_total")),
      callers_gone_unread_(init.metrics->Counter("callers_gone_unread_total")),
      cancels_not_sent_(init.metrics->Counter("cancels_not_sent_total")),
      blocked_(init.metrics->Counter("requests_blocked_total")),
      latency_(init.metrics->Summary("request_microseconds")) {
  RegisterKeyMetrics();
  RegisterCopyMetrics();
}

OutboundProxy::~OutboundProxy() {
  deadline_timer_.cancel();
}

void OutboundProxy::OnRequest(ExchangePointer exchange) {
  init_.metrics->Add(requests_);
  // On a busy node a request and the close behind it may both wait to be read.
  if (exchange->HasClientLeft()) {
    init_.metrics->Add(callers_gone_unread_);
    Log(LogLevel::kInfo, kLogComponent,
        "Dropped a request whose caller had left.",
        {{"request",
          FindHeader(exchange->head().headers, init_.headers.request_id)},
         {"caller", exchange->remote_ip()},
         {"target", exchange->head().target}});
    exchange->Abort();
    return;
  }
  const CallId id = ++last_id_;
  Call& call = calls_[id];
  call.exchange = std::move(exchange);
  call.begin = SteadyNow();
  call.caller_service = init_.caller_service();
  call.request_id =
      FindHeader(call.exchange->head().headers, init_.headers.request_id);
  if (!accepts_requests_) {
    Fail(id, kHttpUnavailable, "the node is stopping");
    return;
  }
  if (!MatchRule(id, call)) {
    return;
  }
  SetDeadline(call);
  const Http1Head& head = call.exchange->head();
  call.key =
      MakeRequestKey(call.exchange->remote_ip(), head.method, head.target);
  call.first_requested =
      returning_callers_.TakeFirstAttemptTime(call.key, call.begin);
  if (!FindGroup(id, call)) {
    return;
  }
  RemoveReservedHeaders(call.exchange->head().headers, init_.headers);
  call.exchange->OnDisconnect([this, id] { OnCallerDisconnected(id); });
  if (!deadline_check_scheduled_) {
    ScheduleDeadlineCheck();
  }
  if (TakeQuota(id, call)) {
    StartCall(id);
  }
}

void OutboundProxy::StartCall(CallId id) {
  Call& call = calls_.at(id);
  call.service = target_rotation_.Next(call.rule->id, *call.route);
  retry_allowance_.OnRequest(call.service, call.begin);
  copies_.OnRequest(call.rule->id);
  StartAttempt(id);
}

// Finds the rule that routes the request. Returns false when the request was
// answered here: there is no configuration or no matching rule, or the rule
// rejects it.
bool OutboundProxy::MatchRule(CallId id, Call& call) {
  call.table = init_.applier->table();
  if (!call.table) {
    Fail(id, kHttpUnavailable, "no configuration yet");
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
    Reject(id, kHttpNotFound, "no rule matches");
    return false;
  }
  if (const auto* reject = std::get_if<RejectAction>(&call.rule->action)) {
    Reject(id, reject->status, reject->reason);
    return false;
  }
  call.route = &std::get<RouteAction>(call.rule->action);
  return true;
}

void OutboundProxy::Reject(CallId id, int status, std::string_view reason) {
  Call& call = calls_.at(id);
  const ConfigurationBelief belief = init_.configuration_belief();
  if (!MayBeOutdated(belief, init_.key_limits().apply_period)) {
    Fail(id, status, reason);
    return;
  }
  Log(LogLevel::kInfo, kLogComponent,
      "The configuration that rejects a request may be outdated.",
      {{"request", call.request_id},
       {"status", status},
       {"reason", reason},
       {"in_force", call.table->generation()},
       {"config_age_ms", ToMilliseconds(belief.age)},
       {"newer_known", belief.behind.has_value()},
       {"behind_ms", ToMilliseconds(belief.behind.value_or(Duration(0)))}});
  init_.metrics->Add(in_doubt_);
  call.retry_after = kOutdatedRetryAfter;
  Fail(id, kHttpUnavailable, "the configuration may be outdated");
}

// Takes a token of the quota of the caller's group. Returns false when the
// request was answered here, or waits for tokens.
bool OutboundProxy::TakeQuota(CallId id, Call& call) {
  if (init_.quotas == nullptr || call.group == nullptr ||
      !GroupQuotas::HasQuota(*call.group)) {
    return true;
  }
  const QuotaVerdict verdict = init_.quotas->Request(
      *call.group, id, call.deadline - call.begin,
      [this, id](const QuotaVerdict& settled) { OnQuotaVerdict(id, settled); });
  if (verdict.decision == QuotaDecision::kAdmit) {
    call.took_quota = true;
    return true;
  }
  if (verdict.decision != QuotaDecision::kWait) {
    OnQuotaVerdict(id, verdict);
  }
  return false;
}

void OutboundProxy::OnQuotaVerdict(CallId id, const QuotaVerdict& verdict) {
  Call& call = calls_.at(id);
  if (verdict.decision == QuotaDecision::kAdmit) {
    call.took_quota = true;
    StartCall(id);
    return;
  }
  init_.quotas->LogRefusal(*call.group, call.request_id, verdict);
  call.retry_after = verdict.retry_after;
  if (verdict.decision == QuotaDecision::kUnknown) {
    Fail(id, kHttpUnavailable, "the quota of the group is not known");
  } else {
    Fail(id, kHttpTooManyRequests, "the group has used up its quota");
  }
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
        DigestOf({call.caller_service, FindHeader(head.headers, "host"),
                  head.method, head.target, call.exchange->body()});
  }
  return init_.suspects->Judge(*call.digest);
}

// Chooses an upstream and sends the request to it; chooses again when the link
// to its node is down.
void OutboundProxy::StartAttempt(CallId id) {
  Call& call = calls_.at(id);
  while (true) {
    const Time now = SteadyNow();
    if (call.deadline <= now) {
      Fail(id, kHttpGatewayTimeout, "the deadline has passed");
      return;
    }
    if (const KeyVerdict verdict = RecheckKey(call); !MaySend(verdict)) {
      FailForKey(id, verdict);
      return;
    }
    const SuspectVerdict verdict = Judge(call);
    if (verdict == SuspectVerdict::kBlocked) {
      init_.metrics->Add(blocked_);
      call.retry_after = kBlockedRetryAfter;
      Fail(id, kHttpUnavailable, "instances ended under this request");
      return;
    }
    balancer_.Sync(init_.member_registry->directory(), now);
    ApplyHolds(now);
    call.on_trial = verdict == SuspectVerdict::kOnTrial;
    UpstreamHandle upstream =
        call.on_trial ? TrialUpstream(call) : ChooseUpstream(call, now);
    if (!upstream.valid() && !call.on_trial && !call.busy_upstreams.empty()) {
      AllowQueueing(call);
      upstream = ChooseUpstream(call, now);
    }
    const Member* member = balancer_.Find(upstream);
    if (member == nullptr) {
      Fail(id, kHttpUnavailable,
           fmt::format("no instance of {} can take it", call.service));
      return;
    }
    Attempt attempt{
        upstream, member->name, now, member->name == init_.node_name, 0, {}};
    call.tried_upstreams.push_back(upstream);
    if (attempt.local) {
      attempt.local_call_id = init_.inbound_proxy->Start(
          BuildCall(call, *member, now), ResponsePath::kLocal,
          [this, id, serial = ++call.local_attempt_serial](LinkBody body) {
            OnLocalReply(id, serial, std::move(body));
          });
    } else if (!init_.links->Send(attempt.member,
                                  {id, BuildCall(call, *member, now)})) {
      continue;
    }
    balancer_.OnStarted(upstream, now);
    NoteRolloutSent(call, attempt, now);
    NoteDomain(call, *member);
    call.attempt = std::move(attempt);
    ScheduleCopy(call, now);
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
  if (const UpstreamHandle exposed = ExposedUpstream(call, now);
      exposed.valid()) {
    return exposed;
  }
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
  query.pace_weight_permille = PaceWeight(call.service);
  PriceOtherDomains(call, profile.response_bytes, now, query);
  return ChooseSound(query, now);
}

// Chooses an instance whose node answers, if there is one.
UpstreamHandle OutboundProxy::ChooseSound(ChooseQuery query, Time now) {
  const UpstreamHandle first = balancer_.Choose(query, now, balancer_random_);
  UpstreamHandle chosen = first;
  std::vector<UpstreamHandle> excluded;
  for (int i = 0; i < kMaxDoubtfulChoices && IsDoubtful(chosen); ++i) {
    if (excluded.empty()) {
      excluded.assign(query.excluded.begin(), query.excluded.end());
    }
    excluded.push_back(chosen);
    query.excluded = excluded;
    chosen = balancer_.Choose(query, now, balancer_random_);
  }
  // An instance that is ejected is no better than one in doubt.
  const auto health = balancer_.HealthOf(chosen);
  const bool in_rotation =
      health == UpstreamHealth::kHealthy || health == UpstreamHealth::kCold;
  return in_rotation && !IsDoubtful(chosen) ? chosen : first;
}

bool OutboundProxy::IsDoubtful(UpstreamHandle upstream) const {
  const Member* member = balancer_.Find(upstream);
  return member != nullptr && member->name != init_.node_name &&
         init_.links->IsDoubtful(member->name);
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
  return std::find(tried.begin(), tried.end(), upstream) == tried.end() &&
                 !balancer_.IsHeld(upstream)
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
  request.caller_service = call.caller_service;
  request.request_id = call.request_id;
  request.rule = call.rule->id;
  request.method = head.method;
  request.target = head.target;
  request.headers = head.headers;
  request.body = call.exchange->body();
  request.priority = call.route->priority;
  if (call.group != nullptr) {
    request.group = call.group->name;
    request.group_priority = call.group->priority;
  } else if (call.table->document().callers_need_keys) {
    // Without a key it is a call of an instance, whose own call holds a slot
    // until this one ends.
    request.group_priority = Priority::kHigh;
  }
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
                                            call.refusals < kFreeSlotAttempts ||
                                            !MayQueueAt(member));
  if (const auto* entry = init_.member_registry->Find(member.name)) {
    request.notice = peer_notices_.Find(member.name, entry->record.instance);
  }
  return request;
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
  if (call.may_have_run &&
      (status == kHttpUnavailable || status == kHttpUnauthorized)) {
    status = kHttpBadGateway;
  }
  if (status == kHttpGatewayTimeout && !call.may_have_run) {
    // It reached no instance, so that the caller may send it again.
    status = kHttpUnavailable;
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
  if (status == kHttpUnavailable || status == kHttpTooManyRequests) {
    if (call.retry_after == Duration::zero()) {
      call.retry_after = RetryAfterFor(call);
    }
    const double seconds =
        std::chrono::duration<double>(call.retry_after).count();
    headers.push_back({std::string(init_.headers.retry_after),
                       fmt::format("{:.3f}", seconds)});
  }
  if (status == kHttpUnauthorized && call.table->document().callers_need_keys) {
    headers.push_back(
        {"WWW-Authenticate", std::string(init_.headers.key_scheme)});
  }
  init_.metrics->Add(status == kHttpUnavailable ? refused_ : failed_);
  call.exchange->Send(status, headers, fmt::format("{}\n", reason));
  FinishCall(id, reason, status);
}

void OutboundProxy::RecordOutcome(const Call& call, int status, Time now) {
  const bool has_not_run =
      status == kHttpUnavailable && !call.may_have_run && !call.streaming;
  if (call.took_quota && has_not_run) {
    init_.quotas->GiveBack(call.group->name, now - call.begin);
  }
  if (call.rule == nullptr || status == kHttpTooManyRequests) {
    return;
  }
  return_times_.OnOutcome(call.rule->id, status == kHttpUnavailable, now);
  if (status >= kHttpServerError) {
    returning_callers_.OnRequestFailed(call.key, call.first_requested, now);
  }
}

void OutboundProxy::FinishCall(CallId id,
                               std::string_view outcome,
                               int status) {
  const auto found = calls_.find(id);
  CancelCopy(id, found->second, RaceEvent::kCallerGone);
  const Call& call = found->second;
  const Time now = SteadyNow();
  const Duration took = now - call.begin;
  if (init_.quotas != nullptr) {
    init_.quotas->StopWaiting(id);
  }
  init_.metrics->Observe(latency_, static_cast<double>(took.count()));
  RecordOutcome(call, status, now);
  const ConfigurationBelief belief = init_.configuration_belief();
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
       {"config_age_ms", ToMilliseconds(belief.age)},
       {"newer_known", belief.behind.has_value()},
       {"service", call.service},
       {"group", call.group == nullptr ? std::string_view() : call.group->name},
       {"member", member == nullptr ? std::string_view() : member->name},
       {"outcome", outcome},
       {"status", status},
       {"bytes", call.response_bytes},
       {"runs", call.instances_reached},
       {"refusals", call.refusals},
       {"copied", call.copied},
       {"cancel", NameOf(call.cancel_path)},
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
    if (call.attempt && call.attempt->rollout) {
      call.attempt->rollout->failed = true;
    }
    FailUnanswered(id, "the deadline has passed");
  }
}

void OutboundProxy::FailAll(std::string_view reason) {
  std::vector<CallId> ids;
  ids.reserve(calls_.size());
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  for (const CallId id : ids) {
    FailUnanswered(id, reason);
  }
}

// Ends a request for which no response is awaited any longer.
void OutboundProxy::FailUnanswered(CallId id, std::string_view reason) {
  Call& call = calls_.at(id);
  CancelCopy(id, call, RaceEvent::kDeadline);
  CancelAttempt(id, call, AttemptOutcome::kUnknown);
  Fail(id, kHttpGatewayTimeout, reason);
}

void OutboundProxy::ScheduleDeadlineCheck() {
  deadline_check_scheduled_ = !calls_.empty();
  if (!deadline_check_scheduled_) {
    return;
  }
  deadline_timer_.expires_after(kDeadlineCheckInterval);
  deadline_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
        if (!error && !alive.expired()) {
          ScheduleDeadlineCheck();
          FailOverdue();
          SendDueCopies();
        }
      });
}

}  // namespace verbenastile
