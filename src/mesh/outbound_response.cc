#include "mesh/outbound_proxy.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "io/http_status.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "origin";

// Responses up to this size are buffered until they are complete, so that the
// request can be retried when the response breaks off.
constexpr std::size_t kMaxBufferedResponseBytes = 1'048'576;
// Received bytes are credited to the sender in batches of at least this size.
constexpr std::size_t kCreditBatchBytes = 65'536;
// No credit is returned while more than this waits for a slow caller.
constexpr std::size_t kMaxUnsentBytes = 262'144;
// Refusals after which a request fails.
constexpr std::uint32_t kMaxRefusals = 4;
// Requests with less than 1/8 of their time left are not retried.
constexpr int kMinRetryTimeDivisor = 8;

}  // namespace

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

void OutboundProxy::OnLinkFrame(std::string_view member, LinkFrame frame) {
  const auto found = calls_.find(frame.call);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  if (call.attempt && call.attempt->member == member) {
    OnReply(frame.call, std::move(frame.body));
  } else if (call.copy && call.copy->attempt.member == member) {
    OnCopyReply(frame.call, call, std::move(frame.body));
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
  const bool busy = refusal.reason == RefusalReason::kBusy ||
                    refusal.reason == RefusalReason::kSlow;
  if (busy) {
    call.busy_upstreams.push_back(call.tried_upstreams.back());
  }
  if (ContinueWithCopy(call, RaceEvent::kRefused)) {
    return;
  }
  if (refusal.reason == RefusalReason::kCrashSuspect) {
    Fail(id, kHttpUnavailable, ToString(refusal.reason));
    return;
  }
  if (refusal.retry_delay > Duration::zero()) {
    call.slot_wait_hint =
        call.slot_wait_hint == Duration::zero()
            ? refusal.retry_delay
            : std::min(call.slot_wait_hint, refusal.retry_delay);
  }
  if (busy && call.refusals == kFreeSlotAttempts) {
    AllowQueueing(call);
  }
  const bool try_another =
      shed ? TakeRetry(call, now) : call.refusals < kMaxRefusals;
  if (try_another && call.refusals <= kMaxRefusals) {
    init_.metrics->Add(shed ? retried_ : redirected_);
    StartAttempt(id);
    return;
  }
  Fail(id, kHttpUnavailable, ToString(refusal.reason));
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
    if (call.attempt->rollout) {
      call.attempt->rollout->failed = true;
    }
  }
  EndAttempt(call, AttemptOutcome::kUnknown, true);
  call.may_have_run = true;
  if (ContinueWithCopy(call, RaceEvent::kBroken)) {
    return;
  }
  // One crash may be anyone's doing, so a request that was lost in it is
  // retried; one that was suspected before is not.
  const bool suspected = Judge(call) != SuspectVerdict::kUnsuspected;
  if (call.streaming || suspected || !RetryAfterRun(id, broken.detail)) {
    Fail(id, kHttpBadGateway, broken.detail);
  }
}

// The attempt did not leave this node, so that another one is no retry.
void OutboundProxy::OnNotSent(CallId id) {
  Call& call = calls_.at(id);
  EndAttempt(call, AttemptOutcome::kUnknown, false);
  if (ContinueWithCopy(call, RaceEvent::kRefused)) {
    return;
  }
  init_.metrics->Add(redirected_);
  StartAttempt(id);
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
  NoteRolloutLoad(call, answer.load);
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
  if (call.content_length && call.response_bytes > *call.content_length) {
    SendCancel(id, *call.attempt);
    OnBroken(id, {"the response is longer than its length", std::nullopt});
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
    CancelCopy(id, call, RaceEvent::kStreamed);
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
  const bool failed = call.status >= kHttpServerError;
  if (!failed) {
    CancelCopy(id, call, RaceEvent::kAnswered);
    RecordServiceTime(call, SteadyNow());
  }
  ClearSuspect(call);
  EndAttempt(call, failed ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered,
             true);
  if (failed && !call.streaming) {
    call.may_have_run = true;
    call.failed_response = {call.status, call.headers, call.body};
    if (ContinueWithCopy(call, RaceEvent::kServerError) ||
        RetryAfterRun(id, "server error")) {
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
    if (reached) {
      copies_.OnAttemptEnded(call.rule->id, now - call.attempt->begin,
                             outcome == AttemptOutcome::kAnswered);
    }
    NoteRolloutEnded(call, outcome, reached, now);
    balancer_.OnEnded(call.attempt->upstream, outcome,
                      now - call.attempt->begin, now);
    call.attempt.reset();
  }
}

std::string_view OutboundProxy::NameOf(CancelPath path) {
  switch (path) {
    case CancelPath::kNone:
      return "none";
    case CancelPath::kLocal:
      return "local";
    case CancelPath::kLink:
      return "link";
    case CancelPath::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

OutboundProxy::CancelResult OutboundProxy::SendCancel(CallId id,
                                                      const Attempt& attempt) {
  if (attempt.local) {
    return {CancelPath::kLocal,
            init_.inbound_proxy->Cancel(attempt.local_call_id,
                                        CancelCause::kCancelled)};
  }
  if (init_.links->Send(attempt.member, {id, LinkCancel{}})) {
    return {CancelPath::kLink};
  }
  init_.metrics->Add(cancels_not_sent_);
  return {CancelPath::kNotSent};
}

void OutboundProxy::CancelAttempt(CallId id,
                                  Call& call,
                                  AttemptOutcome outcome) {
  if (!call.attempt) {
    return;
  }
  const auto [path, reached] = SendCancel(id, *call.attempt);
  call.cancel_path = path;
  call.may_have_run = call.may_have_run || reached;
  EndAttempt(call, outcome, reached);
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

void OutboundProxy::OnLinkDown(std::string_view member,
                               const std::vector<CallId>& unsent) {
  EndCopiesAt(member, false);
  for (const CallId id : CallsAt(member)) {
    if (!calls_.contains(id)) {
      continue;
    }
    if (std::find(unsent.begin(), unsent.end(), id) != unsent.end()) {
      OnNotSent(id);
    } else {
      OnBroken(id, {"the link to the instance's node broke", std::nullopt});
    }
  }
}

void OutboundProxy::OnLinkSilent(std::string_view member) {
  EndCopiesAt(member, true);
  for (const CallId id : CallsAt(member)) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || !found->second.route->repeatable) {
      continue;
    }
    Call& call = found->second;
    CancelAttempt(id, call, AttemptOutcome::kUnknown);
    if (ContinueWithCopy(call, RaceEvent::kBroken)) {
      continue;
    }
    if (call.streaming || !RetryAfterRun(id, "the instance's node is silent")) {
      Fail(id, kHttpBadGateway, "the instance's node is silent");
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

}  // namespace verbenastile
