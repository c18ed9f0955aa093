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

// A call is sent to another instance so often when nothing was sent to the
// first, or it said that it is leaving. Such an attempt costs no upstream
// anything, so no budget pays for it.
constexpr std::uint32_t kMaxRedirects = 3;
// A receiving node refuses at the deadline itself; waiting for it a little
// longer tells a true "not run" from an unknown outcome.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(25);
// Attempts beyond the first without a retry budget; for comparisons.
constexpr std::uint32_t kUnboundRetries = 3;

// For this time after a node's first call, calls wait for members to be heard
// of instead of being refused.
constexpr Duration kLearnTime = std::chrono::seconds(3);
constexpr Duration kLearnRetryInterval = std::chrono::milliseconds(20);

struct LocalAttempt {
  CallId id = 0;
};

struct PeerAttempt {
  HttpCallHandle handle;
};

using CurrentAttempt = std::variant<std::monostate, LocalAttempt, PeerAttempt>;

}  // namespace

// One request on its way.
struct CallerSide::Call {
  Call(asio::io_context& io, HttpRequest from)
      : request(std::move(from)), timer(io) {}

  HttpRequest request;
  std::optional<AnswerRelay> relay;
  Time begin;
  Time deadline;
  bool deadline_of_caller = false;  // Holds for the whole answer.
  bool tells_attempts = false;
  std::shared_ptr<const RouteTable> table;
  const Rule* rule = nullptr;
  const RouteAction* route = nullptr;
  std::string service;
  std::string group;
  AttemptBudget budget{0, std::nullopt};
  asio::steady_timer timer;  // The deadline, or the wait before an attempt.
  std::vector<UpstreamHandle> tried;
  std::uint32_t attempts_made = 0;
  std::uint32_t redirects = 0;
  bool may_have_run = false;  // By an attempt that has ended.
  bool closed = false;
  // The attempt under way.
  CurrentAttempt attempt;
  std::uint64_t serial = 0;  // Events of earlier ones are ignored.
  UpstreamHandle upstream;
  Time attempt_begin;
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
      requests_(init.metrics->Counter("caller_requests_total")),
      refused_(init.metrics->Counter("calls_refused_total")),
      failed_(init.metrics->Counter("calls_failed_total")),
      retried_(init.metrics->Counter("calls_retried_total")),
      redirected_(init.metrics->Counter("calls_redirected_total")),
      gone_(init.metrics->Counter("callers_gone_total")),
      latency_(init.metrics->Summary("call_microseconds")) {}

// Events of calls that are still under way must not come back here.
CallerSide::~CallerSide() {
  for (const CallPointer& call : calls_) {
    call->closed = true;
    call->timer.cancel();
  }
}

void CallerSide::OnRequest(HttpRequest request, HttpReply reply) {
  init_.metrics->Add(requests_);
  const auto call = std::make_shared<Call>(*init_.io, std::move(request));
  call->begin = SteadyNow();
  const std::weak_ptr<Call> weak = call;
  const auto with_call = [this, weak](void (CallerSide::*task)(Call&)) {
    const auto held = weak.lock();
    if (held && !held->closed) {
      (this->*task)(*held);
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
  if (!DecideByRules(call)) {
    return;
  }
  call->relay->OnGone([this, weak] {
    const auto held = weak.lock();
    if (held && !held->closed) {
      OnGone(held);
    }
  });
  Begin(call, *call->route);
}

// False when the call was refused.
bool CallerSide::DecideByRules(const CallPointer& call) {
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
  // Groups that nobody declared share one queue, so that made-up names gain
  // nothing.
  if (call->table->HasGroup(view.group)) {
    call->group = view.group;
  }
  return true;
}

void CallerSide::Begin(const CallPointer& call, const RouteAction& route) {
  HttpHeaders& headers = call->request.headers;
  Duration limit = route.deadline == Duration::zero()
                       ? init_.settings->default_deadline
                       : route.deadline;
  if (const auto asked = ReadDeadline(headers)) {
    call->deadline_of_caller = *asked <= limit;
    limit = std::min(limit, *asked);
  }
  call->deadline = call->begin + limit;
  const auto carried = ReadAttempts(headers, kAttemptsHeader);
  call->tells_attempts = carried.has_value();
  call->budget = AttemptBudget(std::max(route.retries, 1U), carried);
  if (FindHeader(headers, kRequestIdHeader).empty()) {
    SetHeader(headers, kRequestIdHeader,
              fmt::format("{:016x}{:016x}", random_(), random_()));
  }
  call->service = ChooseTarget(route, random_());
  retries_.OnCall(call->service);
  Attempt(call);
}

void CallerSide::Attempt(const CallPointer& call) {
  const Time now = SteadyNow();
  if (call->deadline <= now) {
    Refuse(call, kGatewayTimeout, "the deadline has passed");
    return;
  }
  balancer_.Sync(*init_.directory, now);
  call->upstream = Choose(*call, now);
  const Member* member = balancer_.Find(call->upstream);
  if (member == nullptr && IsLearning(now)) {
    AttemptAfter(call, kLearnRetryInterval);
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

// A node that has just started may not have heard of all members yet.
bool CallerSide::IsLearning(Time now) {
  if (!first_call_) {
    first_call_ = now;
  }
  return now < *first_call_ + kLearnTime;
}

UpstreamHandle CallerSide::Choose(const Call& call, Time now) {
  if (!init_.settings->calls.observe) {
    return ChooseInTurn(call.service);
  }
  std::vector<UpstreamHandle> avoided;
  if (!avoid_.empty()) {
    for (const std::string_view name : avoid_.Names(now)) {
      const UpstreamHandle handle = balancer_.HandleOf(name);
      const Member* member = balancer_.Find(handle);
      if (member != nullptr &&
          avoid_.Contains(name, member->incarnation, now)) {
        avoided.push_back(handle);
      }
    }
  }
  std::vector<UpstreamHandle> excluded = avoided;
  excluded.insert(excluded.end(), call.tried.begin(), call.tried.end());
  // A call that may not be repeated is no probe.
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

UpstreamHandle CallerSide::ChooseInTurn(std::string_view service) {
  const auto serving = init_.directory->ServingMembers(service);
  if (serving.empty()) {
    return {};
  }
  std::size_t& turn = turns_[std::string(service)];
  return balancer_.HandleOf(serving[turn++ % serving.size()]->name);
}

void CallerSide::StartAttempt(const CallPointer& call, const Member& member) {
  const Time now = SteadyNow();
  ++call->attempts_made;
  call->tried.push_back(call->upstream);
  call->attempt_begin = now;
  call->head_time.reset();
  call->head_status = 0;
  ++call->serial;
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
    call->attempt =
        LocalAttempt{init_.gate->Start(std::move(request), EventsOf(call))};
    return;
  }
  if (!call->route->repeatable) {
    request.attempt = AttemptId{random_(), random_()};
  }
  call->attempt = PeerAttempt{init_.peers->Start(
      {member.name, member.peer_address, std::move(request)}, EventsOf(call))};
}

AttemptEvents CallerSide::EventsOf(const CallPointer& call) {
  const auto is_current = [call, serial = call->serial] {
    return call->serial == serial && !call->closed;
  };
  AttemptEvents events;
  events.on_head = [this, call, is_current](const HttpResponse& head) {
    if (is_current()) {
      OnHead(call, head);
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

void CallerSide::OnHead(const CallPointer& call, const HttpResponse& head) {
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
      init_.metrics->Add(retried_);
      AttemptAfter(call, decision.wait);
      return;
    }
  }
  if (!call->deadline_of_caller) {
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
  if (call->tells_attempts) {
    headers.push_back({std::string(kAttemptsUsedHeader),
                       std::to_string(call->budget.used())});
  }
  call->relay->Start(head.status, headers, length);
}

void CallerSide::OnEnd(const CallPointer& call, const AttemptEnd& end) {
  const bool failed = call->head_status >= kServerError;
  const bool answered = end.outcome == AttemptOutcome::kAnswered;
  Observe(*call, answered && failed ? AttemptOutcome::kFailed : end.outcome);
  call->attempt = std::monostate();
  if (call->relay->started()) {
    if (answered) {
      call->relay->Finish();
    } else {
      init_.metrics->Add(failed_);
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
  if (GoesElsewhere(call, end)) {
    return;
  }
  const RetryDecision decision = DecideRetry(call, end.outcome);
  if (decision.verdict == RetryVerdict::kRetry) {
    init_.metrics->Add(retried_);
    AttemptAfter(call, decision.wait);
    return;
  }
  Refuse(call, end.status, end.reason);
}

// Whether the call was sent to another instance at once.
bool CallerSide::GoesElsewhere(const CallPointer& call, const AttemptEnd& end) {
  const bool wanted = end.leaving || end.outcome == AttemptOutcome::kNotSent;
  if (!wanted || !ProvablyNotRun(end.outcome) ||
      call->redirects >= kMaxRedirects) {
    return false;
  }
  if (const Member* member = balancer_.Find(call->upstream)) {
    avoid_.Add(member->name, member->incarnation, SteadyNow());
  }
  ++call->redirects;
  init_.metrics->Add(redirected_);
  Attempt(call);
  return true;
}

RetryDecision CallerSide::DecideRetry(const CallPointer& call,
                                      AttemptOutcome outcome) {
  const bool not_run = ProvablyNotRun(outcome);
  if (!init_.settings->calls.retry_budget) {
    const bool again = (not_run || call->route->repeatable) &&
                       call->attempts_made <= kUnboundRetries;
    return {again ? RetryVerdict::kRetry : RetryVerdict::kNoAttemptsLeft,
            Duration::zero()};
  }
  if (!not_run && call->route->retries == 0) {
    return {RetryVerdict::kNoAttemptsLeft, Duration::zero()};
  }
  return retries_.Decide({call->service, outcome, call->route->repeatable,
                          call->attempts_made, call->deadline},
                         call->budget, SteadyNow(), random_);
}

void CallerSide::AttemptAfter(const CallPointer& call, Duration wait) {
  call->timer.expires_after(wait);
  call->timer.async_wait([this, call](const asio::error_code& error) {
    if (!error && !call->closed) {
      Attempt(call);
    }
  });
}

void CallerSide::Observe(Call& call, AttemptOutcome outcome) {
  const Time now = SteadyNow();
  const Duration latency = call.head_time.value_or(now) - call.attempt_begin;
  balancer_.OnEnded(call.upstream, outcome, latency, now);
}

void CallerSide::OnDeadline(const CallPointer& call) {
  CancelAttempt(*call, AttemptOutcome::kUnknown);
  if (call->relay->started()) {
    init_.metrics->Add(failed_);
    call->relay->Abort();
    Close(call);
    return;
  }
  Refuse(call, kGatewayTimeout, "the deadline has passed");
}

void CallerSide::OnGone(const CallPointer& call) {
  init_.metrics->Add(gone_);
  CancelAttempt(*call, AttemptOutcome::kCancelled);
  Close(call);
}

void CallerSide::CancelAttempt(Call& call, AttemptOutcome outcome) {
  ++call.serial;
  const bool may_have_run = std::visit(
      Overload{[](std::monostate) { return false; },
               [&](LocalAttempt local) { return init_.gate->Cancel(local.id); },
               [&](PeerAttempt peer) {
                 init_.peers->Cancel(peer.handle);
                 return true;
               }},
      call.attempt);
  if (!std::holds_alternative<std::monostate>(call.attempt)) {
    Observe(call, may_have_run ? outcome : AttemptOutcome::kCancelled);
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
  init_.metrics->Add(call->may_have_run ? failed_ : refused_);
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
  if (call->tells_attempts) {
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
      latency_, static_cast<double>((SteadyNow() - call->begin).count()));
  calls_.erase(call);
}

}  // namespace verbenastile
