#include "node/caller_side.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "base/overload.h"
#include "base/text.h"
#include "node/answer_relay.h"
#include "node/call_headers.h"
#include "verbenastile/http_headers.h"

namespace verbenastile {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// How often a call may be redirected because nothing was sent to the selected
// instance, or because that instance said that it is leaving. Such attempts put
// no load on an upstream, so they are not charged to any retry budget.
constexpr std::uint32_t kMaxRedirects = 3;
// The receiving node refuses a call when its deadline passes. Waiting slightly
// longer for that refusal tells a call that did not run from one whose outcome
// is unknown.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(25);
// Maximum number of retries if the retry budget is switched off, which is meant
// for comparison measurements.
constexpr std::uint32_t kMaxRetriesWithoutBudget = 3;

// For this long after a node's first call, a call to a service without known
// members waits for member discovery instead of being refused.
constexpr Duration kDiscoveryTime = std::chrono::seconds(3);
constexpr Duration kDiscoveryRetryInterval = std::chrono::milliseconds(20);

struct LocalAttempt {
  CallId id = 0;
};

struct PeerAttempt {
  HttpCallHandle handle;
};

using CurrentAttempt = std::variant<std::monostate, LocalAttempt, PeerAttempt>;

}  // namespace

// State of one call in progress.
struct CallerSide::Call {
  Call(asio::io_context& io, HttpRequest from)
      : request(std::move(from)), timer(io) {}

  HttpRequest request;
  std::optional<AnswerRelay> relay;
  Time start_time;
  Time deadline;
  // Set if the deadline came from the caller. It then limits the whole response
  // and not only the time until its headers.
  bool has_caller_deadline = false;
  bool reports_attempts = false;
  std::shared_ptr<const RouteTable> table;
  const Rule* rule = nullptr;
  const RouteAction* route = nullptr;
  std::string service;
  std::string group;
  AttemptBudget budget{0, std::nullopt};
  // Runs until the deadline or until the next attempt is due.
  asio::steady_timer timer;
  std::vector<UpstreamHandle> tried;
  std::uint32_t attempts_made = 0;
  std::uint32_t redirects = 0;
  // Set if an attempt that has ended may have run at its upstream.
  bool may_have_run = false;
  bool closed = false;
  // The attempt in progress.
  CurrentAttempt attempt;
  // Number of the current attempt, used to ignore events of earlier ones.
  std::uint64_t attempt_serial = 0;
  UpstreamHandle upstream;
  Time attempt_start;
  std::optional<Time> head_time;
  int head_status = 0;
};

CallerSide::CallerSide(const Init& init)
    : init_(init),
      balancer_({init.health_chart,
                 init.settings->failure_domain,
                 init.settings->region,
                 {}}),
      random_(init.seed),
      requests_counter_(init.metrics->Counter("caller_requests_total")),
      refused_counter_(init.metrics->Counter("calls_refused_total")),
      failed_counter_(init.metrics->Counter("calls_failed_total")),
      retried_counter_(init.metrics->Counter("calls_retried_total")),
      redirected_counter_(init.metrics->Counter("calls_redirected_total")),
      callers_gone_counter_(init.metrics->Counter("callers_gone_total")),
      latency_summary_(init.metrics->Summary("call_microseconds")) {}

// Marks the calls in progress as closed, so that their pending events do not
// use this object after its destruction.
CallerSide::~CallerSide() {
  for (const CallPointer& call : calls_) {
    call->closed = true;
    call->timer.cancel();
  }
}

void CallerSide::OnRequest(HttpRequest request, HttpReply reply) {
  init_.metrics->Add(requests_counter_);
  const auto call = std::make_shared<Call>(*init_.io, std::move(request));
  call->start_time = SteadyNow();
  const std::weak_ptr<Call> weak_call = call;
  const auto with_call = [this,
                          weak_call](void (CallerSide::*method_ptr)(Call&)) {
    const auto locked_call = weak_call.lock();
    if (locked_call && !locked_call->closed) {
      (this->*method_ptr)(*locked_call);
    }
  };
  call->relay.emplace(
      std::move(reply),
      RelayFlow{[with_call] { with_call(&CallerSide::Pause); },
                [with_call] { with_call(&CallerSide::Resume); }});
  calls_.insert(call);
  const auto fault = FindRequestFault(call->request);
  if (!fault.empty()) {
    Refuse(call, kBadRequest, fault);
    return;
  }
  CleanCallerHeaders(call->request.headers);
  if (!ResolveRoute(call)) {
    return;
  }
  call->relay->OnGone([this, weak_call] {
    const auto locked_call = weak_call.lock();
    if (locked_call && !locked_call->closed) {
      OnGone(locked_call);
    }
  });
  StartRouting(call, *call->route);
}

// Returns false if the call was refused.
bool CallerSide::ResolveRoute(const CallPointer& call) {
  call->table = init_.applier->table();
  if (!call->table) {
    Refuse(call, kUnavailable, "no configuration yet");
    return false;
  }
  const HttpHeaders& headers = call->request.headers;
  std::vector<std::string> names;
  names.reserve(headers.size());
  std::vector<HeaderView> views;
  views.reserve(headers.size());
  for (const HttpHeader& header : headers) {
    names.push_back(ToLower(header.name));
    views.push_back({names.back(), header.value});
  }
  const std::string host = ToLower(FindHeader(headers, "host"));
  RequestView view;
  view.group = FindHeader(headers, kGroupHeader);
  view.service = FindHeader(headers, kServiceHeader);
  view.host = std::string_view(host).substr(0, host.find(':'));
  view.path = call->request.path();
  view.method = call->request.method;
  view.headers = views;
  call->rule = call->table->FindRule(view);
  if (call->rule == nullptr) {
    Refuse(call, kNotFound, "no rule matches");
    return false;
  }
  if (const auto* reject = std::get_if<RejectAction>(&call->rule->action)) {
    Refuse(call, reject->status, reject->reason);
    return false;
  }
  call->route = &std::get<RouteAction>(call->rule->action);
  // All undeclared groups share one queue, so that callers cannot gain capacity
  // by inventing group names.
  if (call->table->HasGroup(view.group)) {
    call->group = view.group;
  }
  return true;
}

void CallerSide::StartRouting(const CallPointer& call,
                              const RouteAction& route) {
  HttpHeaders& headers = call->request.headers;
  Duration limit = route.deadline == Duration::zero()
                       ? init_.settings->default_deadline
                       : route.deadline;
  if (const auto requested_deadline = ReadDeadline(headers)) {
    call->has_caller_deadline = *requested_deadline <= limit;
    limit = std::min(limit, *requested_deadline);
  }
  call->deadline = call->start_time + limit;
  const auto inherited_attempts = ReadAttempts(headers, kAttemptsHeader);
  call->reports_attempts = inherited_attempts.has_value();
  call->budget = AttemptBudget(std::max(route.retries, 1U), inherited_attempts);
  if (FindHeader(headers, kRequestIdHeader).empty()) {
    SetHeader(headers, kRequestIdHeader,
              fmt::format("{:016x}{:016x}", random_(), random_()));
  }
  call->service = ChooseTarget(route, random_());
  retry_policy_.OnCall(call->service);
  StartNextAttempt(call);
}

void CallerSide::StartNextAttempt(const CallPointer& call) {
  const Time now = SteadyNow();
  if (call->deadline <= now) {
    Refuse(call, kGatewayTimeout, "the deadline has passed");
    return;
  }
  balancer_.Sync(*init_.directory, now);
  call->upstream = Choose(*call, now);
  const Member* member = balancer_.Find(call->upstream);
  if (member == nullptr && IsDiscoveringMembers(now)) {
    ScheduleAttempt(call, kDiscoveryRetryInterval);
    return;
  }
  if (member == nullptr) {
    Refuse(call, kUnavailable,
           fmt::format("no upstream serves {}", call->service));
    return;
  }
  call->timer.expires_after(call->deadline - now + kDeadlineGrace);
  call->timer.async_wait([this, call](const asio::error_code& error) {
    if (!error && !call->closed) {
      OnDeadline(call);
    }
  });
  StartAttempt(call, *member);
}

// Returns whether this node may not have discovered all members yet because it
// has only just started.
bool CallerSide::IsDiscoveringMembers(Time now) {
  if (!first_call_) {
    first_call_ = now;
  }
  return now < *first_call_ + kDiscoveryTime;
}

UpstreamHandle CallerSide::Choose(const Call& call, Time now) {
  if (!init_.settings->calls.observe) {
    return ChooseRoundRobin(call.service);
  }
  std::vector<UpstreamHandle> avoided;
  if (!avoid_list_.empty()) {
    for (const std::string_view name : avoid_list_.Names(now)) {
      const UpstreamHandle handle = balancer_.HandleOf(name);
      const Member* member = balancer_.Find(handle);
      if (member != nullptr &&
          avoid_list_.Contains(name, member->incarnation, now)) {
        avoided.push_back(handle);
      }
    }
  }
  std::vector<UpstreamHandle> excluded = avoided;
  excluded.insert(excluded.end(), call.tried.begin(), call.tried.end());
  // Calls that must not be repeated do not probe an instance whose ejection is
  // over, unless it has waited too long for a probe (see `may_probe`).
  const bool may_probe = call.route->repeatable;
  UpstreamHandle chosen =
      balancer_.Choose({call.service, excluded, may_probe}, now, random_);
  if (!chosen.valid() && !call.tried.empty()) {
    chosen = balancer_.Choose({call.service, avoided, may_probe}, now, random_);
  }
  if (!chosen.valid() && call.tried.empty()) {
    chosen = balancer_.Choose({call.service, {}, may_probe}, now, random_);
  }
  return chosen;
}

UpstreamHandle CallerSide::ChooseRoundRobin(std::string_view service) {
  const auto serving = init_.directory->ServingMembers(service);
  if (serving.empty()) {
    return {};
  }
  std::size_t& next_index = round_robin_index_[std::string(service)];
  return balancer_.HandleOf(serving[next_index++ % serving.size()]->name);
}

void CallerSide::StartAttempt(const CallPointer& call, const Member& member) {
  const Time now = SteadyNow();
  ++call->attempts_made;
  call->tried.push_back(call->upstream);
  call->attempt_start = now;
  call->head_time.reset();
  call->head_status = 0;
  ++call->attempt_serial;
  balancer_.OnStarted(call->upstream, now);
  UpstreamRequest request;
  request.method = call->request.method;
  request.target = call->request.target;
  request.headers = call->request.headers;
  request.body = call->request.body;
  request.group = call->group;
  request.weight = call->table->GroupWeight(call->group);
  request.priority = call->route->priority;
  request.deadline = call->deadline;
  SetHeader(request.headers, kAttemptsHeader,
            std::to_string(call->budget.Lend()));
  if (member.name == init_.settings->name) {
    call->attempt = LocalAttempt{
        init_.gate->Start(std::move(request), MakeAttemptEvents(call))};
    return;
  }
  if (!call->route->repeatable) {
    request.attempt = AttemptId{random_(), random_()};
  }
  call->attempt = PeerAttempt{
      init_.peers->Start({member.name, member.peer_address, std::move(request)},
                         MakeAttemptEvents(call))};
}

AttemptEvents CallerSide::MakeAttemptEvents(const CallPointer& call) {
  const auto is_current = [call, attempt_serial = call->attempt_serial] {
    return call->attempt_serial == attempt_serial && !call->closed;
  };
  AttemptEvents events;
  events.on_head = [this, call, is_current](const HttpResponse& head) {
    if (is_current()) {
      OnResponseHead(call, head);
    }
  };
  events.on_data = [call, is_current](std::string_view part) {
    if (is_current()) {
      call->relay->Write(part);
    }
  };
  events.on_end = [this, call, is_current](const AttemptEnd& end) {
    if (is_current()) {
      OnEnd(call, end);
    }
  };
  events.on_load = [this, handle = call->upstream](const UpstreamLoad& load) {
    balancer_.OnLoadReport(handle, load, SteadyNow());
  };
  return events;
}

void CallerSide::OnResponseHead(const CallPointer& call,
                                const HttpResponse& head) {
  call->head_time = SteadyNow();
  call->head_status = head.status;
  const auto used = ReadAttempts(head.headers, kAttemptsUsedHeader);
  if (used || head.status < kServerError) {
    call->budget.OnAnswer(used.value_or(0));
  } else {
    call->budget.OnAnswerLost();
  }
  if (head.status >= kServerError) {
    const RetryDecision decision = DecideRetry(call, AttemptOutcome::kFailed);
    if (decision.verdict == RetryVerdict::kRetry) {
      CancelAttempt(*call, AttemptOutcome::kFailed);
      call->may_have_run = true;
      init_.metrics->Add(retried_counter_);
      ScheduleAttempt(call, decision.wait);
      return;
    }
  }
  if (!call->has_caller_deadline) {
    call->timer.cancel();
  }
  RelayHead(call, head);
}

void CallerSide::RelayHead(const CallPointer& call, const HttpResponse& head) {
  HttpHeaders headers = head.headers;
  const auto length = ReadLength(headers);
  SetHeader(headers, kGenerationHeader,
            std::to_string(call->table->generation()));
  RemoveHeader(headers, kAttemptsUsedHeader);
  if (call->reports_attempts) {
    headers.push_back({std::string(kAttemptsUsedHeader),
                       std::to_string(call->budget.used())});
  }
  call->relay->Start(head.status, headers, length);
}

void CallerSide::OnEnd(const CallPointer& call, const AttemptEnd& end) {
  const bool failed = call->head_status >= kServerError;
  const bool answered = end.outcome == AttemptOutcome::kAnswered;
  RecordOutcome(*call,
                answered && failed ? AttemptOutcome::kFailed : end.outcome);
  call->attempt = std::monostate();
  if (call->relay->started()) {
    if (answered) {
      call->relay->Finish();
    } else {
      init_.metrics->Add(failed_counter_);
      call->relay->Abort();
    }
    Close(call);
    return;
  }
  if (ProvablyNotRun(end.outcome)) {
    call->budget.OnNotRun();
  } else {
    call->budget.OnAnswerLost();
    call->may_have_run = true;
  }
  if (Redirect(call, end)) {
    return;
  }
  const RetryDecision decision = DecideRetry(call, end.outcome);
  if (decision.verdict == RetryVerdict::kRetry) {
    init_.metrics->Add(retried_counter_);
    ScheduleAttempt(call, decision.wait);
    return;
  }
  Refuse(call, end.status, end.reason);
}

// Immediately redirects the call to another instance if that is safe. Returns
// whether it did.
bool CallerSide::Redirect(const CallPointer& call, const AttemptEnd& end) {
  const bool should_redirect =
      end.leaving || end.outcome == AttemptOutcome::kNotSent;
  if (!should_redirect || !ProvablyNotRun(end.outcome) ||
      call->redirects >= kMaxRedirects) {
    return false;
  }
  if (const Member* member = balancer_.Find(call->upstream)) {
    avoid_list_.Add(member->name, member->incarnation, SteadyNow());
  }
  ++call->redirects;
  init_.metrics->Add(redirected_counter_);
  StartNextAttempt(call);
  return true;
}

RetryDecision CallerSide::DecideRetry(const CallPointer& call,
                                      AttemptOutcome outcome) {
  const bool not_run = ProvablyNotRun(outcome);
  if (!init_.settings->calls.retry_budget) {
    const bool should_retry = (not_run || call->route->repeatable) &&
                              call->attempts_made <= kMaxRetriesWithoutBudget;
    return {should_retry ? RetryVerdict::kRetry : RetryVerdict::kNoAttemptsLeft,
            Duration::zero()};
  }
  if (!not_run && call->route->retries == 0) {
    return {RetryVerdict::kNoAttemptsLeft, Duration::zero()};
  }
  return retry_policy_.Decide({call->service, outcome, call->route->repeatable,
                               call->attempts_made, call->deadline},
                              call->budget, SteadyNow(), random_);
}

void CallerSide::ScheduleAttempt(const CallPointer& call, Duration wait) {
  call->timer.expires_after(wait);
  call->timer.async_wait([this, call](const asio::error_code& error) {
    if (!error && !call->closed) {
      StartNextAttempt(call);
    }
  });
}

void CallerSide::RecordOutcome(Call& call, AttemptOutcome outcome) {
  const Time now = SteadyNow();
  const Duration latency = call.head_time.value_or(now) - call.attempt_start;
  balancer_.OnEnded(call.upstream, outcome, latency, now);
}

void CallerSide::OnDeadline(const CallPointer& call) {
  CancelAttempt(*call, AttemptOutcome::kUnknown);
  if (call->relay->started()) {
    init_.metrics->Add(failed_counter_);
    call->relay->Abort();
    Close(call);
    return;
  }
  Refuse(call, kGatewayTimeout, "the deadline has passed");
}

void CallerSide::OnGone(const CallPointer& call) {
  init_.metrics->Add(callers_gone_counter_);
  CancelAttempt(*call, AttemptOutcome::kCancelled);
  Close(call);
}

void CallerSide::CancelAttempt(Call& call, AttemptOutcome outcome) {
  ++call.attempt_serial;
  const bool may_have_run = std::visit(
      Overload{[](std::monostate) { return false; },
               [&](LocalAttempt local) { return init_.gate->Cancel(local.id); },
               [&](PeerAttempt peer) {
                 init_.peers->Cancel(peer.handle);
                 return true;
               }},
      call.attempt);
  if (!std::holds_alternative<std::monostate>(call.attempt)) {
    RecordOutcome(call, may_have_run ? outcome : AttemptOutcome::kCancelled);
  }
  call.may_have_run = call.may_have_run || may_have_run;
  call.attempt = std::monostate();
}

void CallerSide::Pause(Call& call) {
  std::visit(
      Overload{[](std::monostate) {},
               [&](LocalAttempt local) { init_.gate->Pause(local.id); },
               [&](PeerAttempt peer) { init_.peers->Pause(peer.handle); }},
      call.attempt);
}

void CallerSide::Resume(Call& call) {
  std::visit(
      Overload{[](std::monostate) {},
               [&](LocalAttempt local) { init_.gate->Resume(local.id); },
               [&](PeerAttempt peer) { init_.peers->Resume(peer.handle); }},
      call.attempt);
}

void CallerSide::Refuse(const CallPointer& call,
                        int status,
                        std::string_view reason) {
  init_.metrics->Add(call->may_have_run ? failed_counter_ : refused_counter_);
  HttpHeaders headers = {
      {"Content-Type", "text/plain"},
      {std::string(kOutcomeHeader),
       std::string(call->may_have_run ? kOutcomeUnknown : kOutcomeNotRun)}};
  if (call->rule != nullptr) {
    headers.push_back({std::string(kRuleHeader), call->rule->id});
  }
  if (call->table) {
    headers.push_back({std::string(kGenerationHeader),
                       std::to_string(call->table->generation())});
  }
  if (call->reports_attempts) {
    headers.push_back({std::string(kAttemptsUsedHeader),
                       std::to_string(call->budget.used())});
  }
  call->relay->Send(status, headers, fmt::format("{}\n", reason));
  Close(call);
}

void CallerSide::Close(const CallPointer& call) {
  if (std::exchange(call->closed, true)) {
    return;
  }
  call->timer.cancel();
  init_.metrics->Observe(
      latency_summary_,
      static_cast<double>((SteadyNow() - call->start_time).count()));
  calls_.erase(call);
}

}  // namespace verbenastile
