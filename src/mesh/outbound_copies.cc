// The part of outbound calls that concerns copies: a request whose first
// attempt is late is sent to a second instance while the first one still works
// on it.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/link_forecast.h"
#include "io/http_status.h"
#include "mesh/outbound_proxy.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "copy";
// Copies are logged at most this often.
constexpr Duration kLogInterval = std::chrono::seconds(1);
// The response of a copy is held back up to this size while the first attempt
// is running.
constexpr std::size_t kMaxHeldBytes = 262'144;
// Refusals by other nodes after which a request gets no copy.
constexpr std::uint32_t kMaxCopyRefusals = 2;

}  // namespace

void OutboundProxy::RegisterCopyMetrics() {
  copies_sent_ = init_.metrics->Counter("copy_sent_total");
  copies_won_ = init_.metrics->Counter("copy_won_total");
  copies_refused_ = init_.metrics->Counter("copy_refused_total");
  copies_cancelled_ = init_.metrics->Counter("copy_cancelled_total");
  for (std::size_t i = 0; i < copies_withheld_.size(); ++i) {
    copies_withheld_.at(i) = init_.metrics->Counter(
        fmt::format("copy_withheld_total{{reason=\"{}\"}}",
                    ToString(static_cast<CopyVerdict>(i))));
  }
}

void OutboundProxy::ScheduleCopy(Call& call, Time now) {
  call.copy_at.reset();
  if (call.route->repeatable && call.route->retries > 0 && !call.copied) {
    call.copy_at = copies_.LeaveTime(call.rule->id, call.first_requested, now,
                                     call.deadline, LatencyObjective(call));
  }
}

void OutboundProxy::SendDueCopies() {
  const Time now = SteadyNow();
  std::vector<CallId> due;
  for (auto& [id, call] : calls_) {
    if (call.copy_at && *call.copy_at <= now && call.attempt) {
      call.copy_at.reset();
      due.push_back(id);
    }
  }
  for (const CallId id : due) {
    SendCopy(id, calls_.at(id));
  }
}

void OutboundProxy::SendCopy(CallId id, Call& call) {
  const CopyVerdict verdict = TrySendCopy(id, call, SteadyNow());
  if (verdict != CopyVerdict::kSend) {
    init_.metrics->Add(copies_withheld_.at(static_cast<std::size_t>(verdict)));
  }
}

CopyVerdict OutboundProxy::TrySendCopy(CallId id, Call& call, Time now) {
  const CopyVerdict verdict = JudgeCopy(call, now);
  if (verdict != CopyVerdict::kSend) {
    return verdict;
  }
  balancer_.Sync(init_.member_registry->directory(), now);
  ApplyHolds(now);
  const UpstreamHandle upstream = ChooseUpstream(call, now);
  const Member* member = balancer_.Find(upstream);
  if (member == nullptr ||
      balancer_.HealthOf(upstream) != UpstreamHealth::kHealthy ||
      IsDoubtful(upstream)) {
    return CopyVerdict::kNoInstance;
  }
  if (HasRateLimit(member->name)) {
    return CopyVerdict::kRateLimited;
  }
  if (!retry_allowance_.TryTakeSpare(
          call.service, copies_.limits().budget_reserve_permille,
          init_.member_registry->entries().size(), now)) {
    return CopyVerdict::kBudgetSpent;
  }
  if (!SendCopyTo(id, call, *member, now)) {
    retry_allowance_.GiveBackSpare(call.service, now);
    return CopyVerdict::kNoInstance;
  }
  return CopyVerdict::kSend;
}

CopyVerdict OutboundProxy::JudgeCopy(Call& call, Time now) {
  if (!MaySend(RecheckKey(call))) {
    return CopyVerdict::kKeyRefused;
  }
  CopyQuery query;
  query.rule = call.rule->id;
  query.repeatable = call.route->repeatable;
  query.answer_begun = call.streaming || call.status != 0;
  query.large_response =
      rule_profiles_.Find(call.rule->id).response_bytes > kLargeResponseBytes;
  query.returning = call.first_requested < call.begin;
  query.suspected = Judge(call) != SuspectVerdict::kUnsuspected;
  query.rate_limited = HasRateLimit(call.attempt->member);
  query.in_rollout = call.attempt->rollout.has_value();
  query.request_bytes = call.exchange->body().size();
  query.attempts = call.instances_reached + 1;
  query.max_attempts = call.route->retries + 1;
  for (const DomainRoom& room : balancer_.RoomByDomain(call.service, now)) {
    query.slots += room.slots;
    query.calls += room.calls;
  }
  return copies_.Judge(query);
}

bool OutboundProxy::HasRateLimit(std::string_view member) const {
  const auto* entry = init_.member_registry->Find(member);
  const auto notice = entry == nullptr
                          ? std::nullopt
                          : peer_notices_.Find(member, entry->record.instance);
  return notice && notice->rate_limit.has_value();
}

// Returns whether the copy was sent.
bool OutboundProxy::SendCopyTo(CallId id,
                               Call& call,
                               const Member& member,
                               Time now) {
  Copy copy;
  copy.attempt.upstream = balancer_.HandleOf(member.name);
  copy.attempt.member = member.name;
  copy.attempt.begin = now;
  copy.attempt.local = member.name == init_.node_name;
  GateCall request = BuildCall(call, member, now);
  request.only_if_free = true;
  // The response is of use until the deadline; an instance that takes longer
  // refuses the copy.
  request.objective = request.remaining;
  if (copy.attempt.local) {
    copy.attempt.local_call_id = init_.inbound_proxy->Start(
        std::move(request), ResponsePath::kLocal,
        [this, id, serial = ++call.local_attempt_serial](LinkBody body) {
          OnLocalReply(id, serial, std::move(body));
        });
  } else if (!init_.links->Send(member.name, {id, std::move(request)})) {
    return false;
  }
  balancer_.OnStarted(copy.attempt.upstream, now);
  NoteDomain(call, member);
  // The last one is that of the first attempt.
  call.tried_upstreams.insert(call.tried_upstreams.begin(),
                              copy.attempt.upstream);
  call.copy = std::move(copy);
  call.copied = true;
  call.race.Begin();
  copies_.OnSent(call.rule->id);
  init_.metrics->Add(copies_sent_);
  LogCopy(id, call);
  return true;
}

// `serial` is that of the attempt at this node. An ended attempt leaves none
// there, or one with another serial.
void OutboundProxy::OnLocalReply(CallId id,
                                 std::uint32_t serial,
                                 LinkBody body) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.local_attempt_serial != serial) {
    return;
  }
  Call& call = found->second;
  if (call.attempt && call.attempt->local) {
    OnReply(id, std::move(body));
  } else if (call.copy && call.copy->attempt.local) {
    OnCopyReply(id, call, std::move(body));
  }
}

void OutboundProxy::OnCopyReply(CallId id, Call& call, LinkBody body) {
  if (auto* answer = std::get_if<GateResponse>(&body)) {
    Copy& copy = *call.copy;
    OnLoad(copy.attempt.member, answer->load);
    copy.status = answer->status;
    copy.headers = std::move(answer->headers);
    copy.content_length = answer->length;
    copy.slot_wait = answer->queue_time;
    copy.head_received = SteadyNow();
    ReceiveCopyBody(id, call, std::move(answer->body), answer->last);
  } else if (auto* part = std::get_if<GateResponseChunk>(&body)) {
    ReceiveCopyBody(id, call, std::move(part->body), part->last);
  } else if (const auto* refusal = std::get_if<GateRefusal>(&body)) {
    OnLoad(call.copy->attempt.member, refusal->load);
    OnCopyRefused(call, *refusal);
  } else if (const auto* broken = std::get_if<GateFailure>(&body)) {
    if (broken->load) {
      OnLoad(call.copy->attempt.member, *broken->load);
    }
    OnCopyBroken(call);
  }
}

void OutboundProxy::ReceiveCopyBody(CallId id,
                                    Call& call,
                                    std::string body,
                                    bool last) {
  call.copy->body += body;
  if (last) {
    OnCopyComplete(id, call);
  } else if (call.copy->body.size() > kMaxHeldBytes) {
    CancelCopy(id, call, RaceEvent::kTooLarge);
  }
}

void OutboundProxy::OnCopyComplete(CallId id, Call& call) {
  Copy& copy = *call.copy;
  if (copy.content_length && *copy.content_length != copy.body.size()) {
    OnCopyBroken(call);
    return;
  }
  if (copy.status >= kHttpServerError) {
    call.may_have_run = true;
    call.failed_response = {copy.status, copy.headers, copy.body};
    call.race.OnEvent(RaceEntrant::kCopy, RaceEvent::kServerError);
    EndCopy(call, AttemptOutcome::kFailed, true);
    return;
  }
  if (call.streaming ||
      call.race.OnEvent(RaceEntrant::kCopy, RaceEvent::kAnswered) !=
          RaceAction::kDeliverCopy) {
    return;
  }
  init_.metrics->Add(copies_won_);
  // An instance that is so much later than another one counts as one that did
  // not answer: if it hangs, it is found by this alone.
  CancelAttempt(id, call, AttemptOutcome::kUnknown);
  TakeOver(call);
  OnResponseComplete(id);
}

void OutboundProxy::OnCopyRefused(Call& call, const GateRefusal& refusal) {
  const Time now = SteadyNow();
  const bool shed = refusal.reason == RefusalReason::kShed;
  const bool failed = shed || refusal.reason == RefusalReason::kNoInstance;
  init_.metrics->Add(copies_refused_);
  if (!shed) {
    copies_.OnNotRun(call.rule->id);
    retry_allowance_.GiveBackSpare(call.service, now);
    if (++call.copy_refusals < kMaxCopyRefusals) {
      call.copy_at = now;
    }
  }
  if (refusal.reason == RefusalReason::kBusy ||
      refusal.reason == RefusalReason::kSlow) {
    call.busy_upstreams.push_back(call.copy->attempt.upstream);
  }
  call.race.OnEvent(RaceEntrant::kCopy, RaceEvent::kRefused);
  // The first attempt would not have been sent there with such a load.
  EndCopy(call, failed ? AttemptOutcome::kFailed : AttemptOutcome::kCancelled,
          shed);
}

void OutboundProxy::OnCopyBroken(Call& call) {
  call.may_have_run = true;
  call.race.OnEvent(RaceEntrant::kCopy, RaceEvent::kBroken);
  EndCopy(call, AttemptOutcome::kUnknown, true);
}

void OutboundProxy::EndCopy(Call& call, AttemptOutcome outcome, bool reached) {
  const Time now = SteadyNow();
  const Attempt& attempt = call.copy->attempt;
  call.instances_reached += reached ? 1 : 0;
  balancer_.OnEnded(attempt.upstream, outcome, now - attempt.begin, now);
  call.copy.reset();
}

// Cancels the copy, if there is one.
void OutboundProxy::CancelCopy(CallId id, Call& call, RaceEvent event) {
  if (!call.copy) {
    return;
  }
  call.race.OnEvent(RaceEntrant::kFirst, event);
  const bool reached = SendCancel(id, call.copy->attempt).reached;
  call.may_have_run = call.may_have_run || reached;
  init_.metrics->Add(copies_cancelled_);
  EndCopy(call, AttemptOutcome::kCancelled, reached);
}

bool OutboundProxy::ContinueWithCopy(Call& call, RaceEvent event) {
  if (call.race.OnEvent(RaceEntrant::kFirst, event) !=
      RaceAction::kCopyGoesOn) {
    return false;
  }
  TakeOver(call);
  return true;
}

// Makes the copy the only attempt of the call, with what it has received.
void OutboundProxy::TakeOver(Call& call) {
  Copy copy = std::move(*call.copy);
  call.copy.reset();
  call.attempt = std::move(copy.attempt);
  call.tried_upstreams.push_back(call.attempt->upstream);
  call.status = copy.status;
  call.headers = std::move(copy.headers);
  call.content_length = copy.content_length;
  call.response_bytes = copy.body.size();
  call.uncredited_bytes = copy.body.size();
  call.body = std::move(copy.body);
  call.slot_wait = copy.slot_wait;
  call.head_received = copy.head_received;
}

// The link to `member` broke, or its node is silent; `cancel` in the latter
// case. First attempts there are ended by the caller of this.
void OutboundProxy::EndCopiesAt(std::string_view member, bool cancel) {
  std::vector<CallId> copied;
  for (const auto& [id, call] : calls_) {
    if (call.copy && !call.copy->attempt.local &&
        call.copy->attempt.member == member) {
      copied.push_back(id);
    }
  }
  for (const CallId id : copied) {
    Call& call = calls_.at(id);
    if (cancel) {
      SendCancel(id, call.copy->attempt);
    }
    OnCopyBroken(call);
  }
}

void OutboundProxy::LogCopy(CallId id, const Call& call) {
  const Time now = SteadyNow();
  if (now - copy_logged_at_ < kLogInterval) {
    ++unlogged_copies_;
    return;
  }
  copy_logged_at_ = now;
  Log(LogLevel::kInfo, kLogComponent, "Sent a copy of a late request.",
      {{"request", call.request_id},
       {"call", id},
       {"rule", call.rule->id},
       {"first", call.attempt->member},
       {"copy", call.copy->attempt.member},
       {"after_ms", ToMilliseconds(now - call.attempt->begin)},
       {"left_ms", ToMilliseconds(call.deadline - now)},
       {"not_logged", std::exchange(unlogged_copies_, 0)}});
}

}  // namespace verbenastile
