#include "node/upstream_gate.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>

#include "node/call_headers.h"
#include "verbenastile/http_headers.h"

namespace verbenastile {
namespace {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// How long the slot of a cancelled call stays occupied, since the upstream may
// take a moment to notice the cancellation.
constexpr Duration kCancelledSlotHoldTime = std::chrono::milliseconds(100);
// Minimum time without progress after which a response is abandoned.
constexpr Duration kMinStallTimeout = std::chrono::seconds(60);
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(500);

std::uint32_t EffectiveSlots(const Settings& settings) {
  constexpr std::uint32_t kUnlimited = 1'000'000;
  return settings.calls.limits
             ? std::min(settings.upstream.slots, settings.upstream.connections)
             : kUnlimited;
}

AdmissionLimits MakeAdmissionLimits(const Settings& settings) {
  AdmissionLimits limits;
  limits.refuse_early = settings.calls.limits;
  limits.fair = settings.calls.limits;
  return limits;
}

AttemptEnd MakeRefusal(int status, std::string_view reason) {
  return {AttemptOutcome::kRefused, status, std::string(reason), false};
}

bool IsDeadlineRefusal(AdmissionRefusal reason) {
  return reason == AdmissionRefusal::kDeadlinePassed ||
         reason == AdmissionRefusal::kWouldMissDeadline;
}

AttemptEnd ToAttemptEnd(const HttpFailure& failure) {
  if (failure.not_sent) {
    return {AttemptOutcome::kRefused, kUnavailable,
            "the upstream cannot be reached", true};
  }
  const bool timeout = failure.kind == HttpFailure::Kind::kTimeout;
  return {AttemptOutcome::kUnknown, timeout ? kGatewayTimeout : kBadGateway,
          failure.detail, false};
}

}  // namespace

UpstreamGate::UpstreamGate(Init init)
    : init_(std::move(init)),
      timer_(*init_.io),
      admission_(EffectiveSlots(*init_.settings),
                 MakeAdmissionLimits(*init_.settings)),
      admitted_counter_(init_.metrics->Counter("upstream_admitted_total")),
      refused_counter_(init_.metrics->Counter("upstream_refused_total")),
      duplicates_counter_(init_.metrics->Counter("duplicate_attempts_total")) {
  ScheduleTick();
}

CallId UpstreamGate::Start(UpstreamRequest request, AttemptEvents events) {
  const CallId id = ++last_id_;
  if (auto refusal = FindRefusal(request)) {
    init_.metrics->Add(refused_counter_);
    PostEnd(std::move(events), std::move(*refusal));
    return id;
  }
  const auto call =
      calls_.emplace(id, Call{std::move(request), std::move(events), {}, false})
          .first;
  SubmitForAdmission(id, call->second.request);
  if (!ticking_fast_) {
    ScheduleTick();
  }
  return id;
}

std::optional<AttemptEnd> UpstreamGate::FindRefusal(
    const UpstreamRequest& request) {
  if (leaving_) {
    AttemptEnd end = MakeRefusal(kUnavailable, "the node is leaving");
    end.leaving = true;
    return end;
  }
  return RejectDuplicate(request);
}

std::optional<AttemptEnd> UpstreamGate::RejectDuplicate(
    const UpstreamRequest& request) {
  if (!request.attempt) {
    return std::nullopt;
  }
  const Time now = SteadyNow();
  const AttemptVerdict verdict =
      attempts_.Register(*request.attempt, request.deadline - now, now);
  if (verdict == AttemptVerdict::kNew) {
    return std::nullopt;
  }
  if (verdict == AttemptVerdict::kDuplicate) {
    init_.metrics->Add(duplicates_counter_);
    return AttemptEnd{AttemptOutcome::kUnknown, kConflict,
                      "the attempt was received before", false};
  }
  return MakeRefusal(kUnavailable, ToString(verdict));
}

void UpstreamGate::SubmitForAdmission(CallId id,
                                      const UpstreamRequest& request) {
  const AdmissionResult result = admission_.Offer(
      {id, request.group, request.weight, request.priority, request.deadline},
      SteadyNow());
  ApplyAdmissionActions(result.actions);
  if (result.verdict == AdmissionVerdict::kAdmitted) {
    Send(id);
  } else if (result.verdict == AdmissionVerdict::kRefused) {
    Refuse(id, result.refusal);
  }
}

void UpstreamGate::PostEnd(AttemptEvents events, AttemptEnd end) {
  asio::post(*init_.io, [alive = alive_, events = std::move(events),
                         end = std::move(end)] {
    if (*alive) {
      events.on_end(end);
    }
  });
}

void UpstreamGate::Refuse(CallId id, AdmissionRefusal reason) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  init_.metrics->Add(refused_counter_);
  AttemptEvents events = std::move(found->second.events);
  calls_.erase(found);
  PostEnd(
      std::move(events),
      MakeRefusal(IsDeadlineRefusal(reason) ? kGatewayTimeout : kUnavailable,
                  ToString(reason)));
}

void UpstreamGate::Send(CallId id) {
  Call& call = calls_.at(id);
  init_.metrics->Add(admitted_counter_);
  HttpCall http;
  http.method = call.request.method;
  http.url =
      fmt::format("http://{}/", ToString(init_.settings->upstream.address));
  http.target = call.request.target;
  http.headers = std::move(call.request.headers);
  http.body = std::move(call.request.body);
  const Duration time_left = call.request.deadline - SteadyNow();
  http.timeout = Duration::zero();
  http.connect_timeout = std::min(http.connect_timeout, time_left);
  http.stall_timeout = std::max(kMinStallTimeout, time_left);
  SetHeader(
      http.headers, kDeadlineHeader,
      std::to_string(ToMilliseconds(std::max(time_left, Duration::zero()))));
  http.on_headers = [this, id](const HttpResponse& head) { OnHead(id, head); };
  http.on_data = [this, id](std::string_view part) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      return false;
    }
    const auto on_data = found->second.events.on_data;
    on_data(part);
    return true;
  };
  call.http = init_.http->Start(
      std::move(http), [this, alive = alive_, id](const HttpOutcome& outcome) {
        if (*alive) {
          OnHttpOutcome(id, outcome);
        }
      });
}

void UpstreamGate::OnHead(CallId id, const HttpResponse& head) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  found->second.has_head = true;
  if (FindHeader(head.headers, kLeavingHeader) == "1") {
    init_.on_upstream_leaving();
  }
  HttpResponse cleaned = head;
  const auto length = ReadLength(head.headers);
  CleanUpstreamHeaders(cleaned.headers);
  RemoveHeader(cleaned.headers, "content-length");
  if (length) {
    cleaned.headers.push_back({"Content-Length", std::to_string(*length)});
  }
  // The callback may cancel the call, which erases it, so it is copied first.
  const auto on_head = found->second.events.on_head;
  on_head(cleaned);
}

void UpstreamGate::OnHttpOutcome(CallId id, const HttpOutcome& outcome) {
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    EndCall(id, ToAttemptEnd(*failure));
    return;
  }
  AttemptEnd end;
  end.outcome = AttemptOutcome::kAnswered;
  EndCall(id, end);
}

void UpstreamGate::EndCall(CallId id, const AttemptEnd& end) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const AttemptEvents events = std::move(found->second.events);
  calls_.erase(found);
  ApplyAdmissionActions(admission_.OnEnded(id, SteadyNow()));
  events.on_end(end);
}

bool UpstreamGate::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return true;
  }
  const Time now = SteadyNow();
  const HttpCallHandle http = found->second.http;
  calls_.erase(found);
  if (admission_.OnCancelled(id, now) != CancelVerdict::kRunning) {
    return false;
  }
  init_.http->Cancel(http);
  cancelled_slots_.push_back({now + kCancelledSlotHoldTime, id});
  return true;
}

void UpstreamGate::Pause(CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    init_.http->Pause(found->second.http);
  }
}

void UpstreamGate::Resume(CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    init_.http->Resume(found->second.http);
  }
}

void UpstreamGate::BeginLeaving() {
  leaving_ = true;
}

UpstreamLoad UpstreamGate::load() const {
  return {admission_.busy(), static_cast<std::uint32_t>(admission_.queued())};
}

void UpstreamGate::ApplyAdmissionActions(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      Send(start->id);
    } else {
      const auto& refuse = std::get<RefuseCall>(action);
      Refuse(refuse.id, refuse.reason);
    }
  }
}

void UpstreamGate::TimeOutLateCalls(Time now) {
  std::vector<CallId> late;
  for (const auto& [id, call] : calls_) {
    if (call.http.id != 0 && !call.has_head && call.request.deadline <= now) {
      late.push_back(id);
    }
  }
  for (const CallId id : late) {
    const AttemptEvents events = std::move(calls_.at(id).events);
    Cancel(id);
    events.on_end({AttemptOutcome::kUnknown, kGatewayTimeout,
                   "the deadline passed while it ran", false});
  }
}

void UpstreamGate::Tick() {
  const Time now = SteadyNow();
  attempts_.Tick(now);
  TimeOutLateCalls(now);
  for (const CancelledSlot& slot : cancelled_slots_) {
    if (slot.release_time <= now) {
      ApplyAdmissionActions(admission_.OnEnded(slot.id, now));
    }
  }
  std::erase_if(cancelled_slots_, [&](const CancelledSlot& slot) {
    return slot.release_time <= now;
  });
  ApplyAdmissionActions(admission_.Tick(now));
}

void UpstreamGate::ScheduleTick() {
  ticking_fast_ = admission_.busy() > 0 || admission_.queued() > 0;
  timer_.expires_after(ticking_fast_ ? Admission::kTickInterval
                                     : kIdleTickInterval);
  timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!error && *alive) {
      Tick();
      ScheduleTick();
    }
  });
}

}  // namespace verbenastile
