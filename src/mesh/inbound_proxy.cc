#include "mesh/inbound_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <limits>
#include <utility>

#include "base/log.h"
#include "core/request_digest.h"
#include "mesh/response_notice.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "gate";
// The source of what the instance said itself, in log lines.
constexpr std::string_view kInstanceSource = "instance";

constexpr int kMisdirectedRequest = 421;
constexpr int kFirstNonSuccess = 300;
constexpr int kFirstSuccess = 200;

// Responses up to this size are sent to the caller in a single frame.
constexpr std::size_t kSingleFrameBytes = 65'536;
// Flow control window: reading from the instance is paused while the caller has
// more than this of the response body uncredited.
constexpr std::size_t kWindowBytes = 1'048'576;
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
// Bytes of a response that are read only to reuse the connection. Beyond that
// the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 1'048'576;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Idle connections are reused only this long after their last response, because
// instances close idle connections, some of them without notice.
constexpr Duration kMaxIdle = std::chrono::seconds(7);
// Calls that may not be repeated only reuse connections that were used very
// recently.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::seconds(3);
constexpr std::uint32_t kInitialSlots = 1;
// How long after a call broke off the instance is checked: the other
// connections of an instance that ended break within this time.
constexpr Duration kBreakSettleTime = std::chrono::milliseconds(10);
constexpr Duration kInstanceProbeTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kMaxCrashNumber =
    std::numeric_limits<std::uint64_t>::max();
// Calls and bytes of each target in the log line of an instance's end.
constexpr std::size_t kMaxLoggedCalls = 12;
constexpr std::size_t kMaxLoggedTargetBytes = 120;
// Shortest interval at which changes of a rate limit that stays are logged.
constexpr Duration kRateLimitLogInterval = std::chrono::seconds(1);

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstNonSuccess;
}

std::string DescribeCalls(std::span<const BrokenCall> calls) {
  std::string text;
  for (const BrokenCall& call :
       calls.subspan(0, std::min(calls.size(), kMaxLoggedCalls))) {
    text +=
        fmt::format("{}{} digest={} caller={} target={}",
                    text.empty() ? "" : "; ", call.request_id,
                    ToString(call.digest), call.caller_service, call.target);
  }
  return text;
}

}  // namespace

InboundProxy::InboundProxy(const Init& init)
    : init_(init),
      tick_timer_(*init.io),
      instance_check_timer_(*init.io),
      http_client_(*init.io, {}),
      instance_probe_(*init.io),
      admission_(kInitialSlots),
      crash_numbers_(init.seed),
      started_(init.metrics->Counter("gate_started_total")),
      refused_(init.metrics->Counter("gate_refused_total")),
      shed_by_instance_(init.metrics->Counter("gate_shed_by_instance_total")),
      broken_(init.metrics->Counter("gate_broken_total")),
      limited_answers_(init.metrics->Counter("gate_limited_answers_total")),
      leaving_answers_(init.metrics->Counter("gate_leaving_answers_total")),
      instance_ends_(init.metrics->Counter("gate_instance_ends_total")),
      queue_wait_(init.metrics->Summary("gate_wait_microseconds")),
      service_time_(init.metrics->Summary("gate_service_microseconds")) {}

InboundProxy::~InboundProxy() {
  tick_timer_.cancel();
  instance_check_timer_.cancel();
}

bool InboundProxy::CanStartCalls(Time now) const {
  const InstanceTracker& tracker = *init_.tracker;
  const bool may_still_start =
      tracker.state() == InstanceState::kLeaving &&
      now - tracker.state_since() < init_.leaving_start_period();
  return tracker.serves() || may_still_start;
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
  OnPeerNotice(entry.request);
  if (!init_.tracker->serves()) {
    Refuse(id, UnavailableReason(), Duration::zero());
  } else if (entry.request.service != init_.tracker->report()->service) {
    Refuse(id, RefusalReason::kOtherService, Duration::zero());
  } else if (!MayRun(entry, Judge(entry))) {
    Refuse(id, RefusalReason::kCrashSuspect, Duration::zero());
  } else if (entry.request.only_if_free && !admission_.CanStartNow(now)) {
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

void InboundProxy::Admit(CallId id, Call& call, Time now) {
  AdmissionOffer offer;
  offer.id = id;
  offer.priority = call.request.priority;
  offer.deadline = call.deadline;
  offer.soft_deadline = now + call.request.objective;
  offer.call_class = call.request.rule;
  const AdmissionResult result = admission_.Offer(offer, now);
  if (result.verdict != AdmissionVerdict::kRefused &&
      call.path == ResponsePath::kLink) {
    link_forecast_.OnCallAccepted(id, rule_profiles_.Find(call.request.rule));
  }
  Execute(result.actions);
  if (result.verdict == AdmissionVerdict::kAdmitted) {
    SendToInstance(id);
  } else if (result.verdict == AdmissionVerdict::kRefused) {
    Refuse(id, RefusalReason::kBusy, result.retry_after);
  }
}

void InboundProxy::SendToInstance(CallId id) {
  Call& call = calls_.at(id);
  const Time now = SteadyNow();
  if (!CanStartCalls(now)) {
    Execute(admission_.OnEnded(id, now));
    Refuse(id, UnavailableReason(), Duration::zero());
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
  return headers;
}

void InboundProxy::OnResponseHead(CallId id, const Http1Head& head) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.response_head = head;
  call.not_executed =
      head.status == kMisdirectedRequest ||
      !FindHeader(head.headers, init_.headers.not_executed).empty();
  ResponseNotice notice = ParseResponseNotice(head.headers, init_.headers);
  notice.is_success = IsSuccess(head.status);
  // A misdirected request was answered by another instance, and a success
  // without a signature by none.
  if (head.status != kMisdirectedRequest &&
      (notice.is_signed || !notice.is_success)) {
    OnNotice(call, notice);
  }
}

void InboundProxy::OnNotice(const Call& call, const ResponseNotice& notice) {
  if (!std::holds_alternative<NoRateLimit>(notice.rate_limit)) {
    init_.metrics->Add(limited_answers_);
  }
  if (notice.leaving) {
    init_.metrics->Add(leaving_answers_);
  }
  const auto* invalid = std::get_if<InvalidRateLimit>(&notice.rate_limit);
  if (invalid != nullptr && invalid->text != invalid_rate_limit_) {
    invalid_rate_limit_ = invalid->text;
    Log(LogLevel::kWarning, kLogComponent,
        "Cannot parse the rate limit of the instance; keeping the known one.",
        {{"instance", call.instance_id},
         {"rate_limit", invalid->text},
         {"known", RateLimitText()}});
  }
  if (rate_limit_.OnResponse(call.instance_id, notice, call.started,
                             SteadyNow())) {
    ApplyRateLimit(kInstanceSource);
  }
  if (notice.leaving &&
      init_.tracker->OnLeavingResponse(call.instance_id, SteadyNow()) ==
          ReportVerdict::kChanged) {
    OnLeaving(call.instance_id, kInstanceSource);
  }
}

void InboundProxy::OnPeerNotice(const GateCall& call) {
  if (!call.notice) {
    return;
  }
  if (rate_limit_.OnPeerNotice(*call.notice)) {
    ApplyRateLimit(call.origin);
  }
  if (call.notice->leaving &&
      init_.tracker->OnLeavingPeerNotice(call.notice->instance, SteadyNow()) ==
          ReportVerdict::kChanged) {
    OnLeaving(call.notice->instance, call.origin);
  }
}

void InboundProxy::OnLeaving(std::string_view id, std::string_view source) {
  Log(LogLevel::kInfo, kLogComponent, "The instance is leaving.",
      {{"instance", id}, {"source", source}});
  asio::post(*init_.io, init_.on_leaving);
}

// What peers should know about the instance; empty if it has said nothing.
std::optional<InstanceNotice> InboundProxy::Notice() const {
  const InstanceTracker& tracker = *init_.tracker;
  if (!tracker.report() ||
      !(rate_limit_.has_named_limit() || tracker.is_leaving())) {
    return std::nullopt;
  }
  return InstanceNotice{tracker.report()->id, rate_limit_.calls_per_second(),
                        tracker.is_leaving()};
}

// `source` is who reported the limit: the instance or the name of a peer.
void InboundProxy::ApplyRateLimit(std::string_view source) {
  const Time now = SteadyNow();
  const auto rate = rate_limit_.calls_per_second();
  admission_.SetRateLimit(rate, now);
  // An instance may change its limit with each response.
  const bool begins_or_ends =
      rate.has_value() != logged_rate_limit_.has_value();
  if (!begins_or_ends && now - rate_limit_logged_at_ < kRateLimitLogInterval) {
    return;
  }
  logged_rate_limit_ = rate;
  rate_limit_logged_at_ = now;
  Log(LogLevel::kInfo, kLogComponent, "The rate limit of the instance changed.",
      {{"instance", init_.tracker->report()->id},
       {"rate_limit", RateLimitText()},
       {"source", source}});
}

std::string InboundProxy::RateLimitText() const {
  const auto rate = rate_limit_.calls_per_second();
  return rate ? fmt::format("{}", *rate) : "none";
}

void InboundProxy::OnResponseData(CallId id, std::string part) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  if (call.abandoned || call.not_executed) {
    call.discarded_bytes += part.size();
    if (call.discarded_bytes > kMaxDiscardedBytes) {
      http_client_.Cancel(call.http_call_id);
      OnHttpEnd(id, Http1CallResult::kIncomplete, "the answer does not end");
    }
    return;
  }
  call.unsent_body += part;
  const bool success = IsSuccess(call.response_head.status);
  const bool signed_answer =
      !FindHeader(call.response_head.headers, init_.headers.signature).empty();
  // A successful response without a signature did not come from the instance.
  if ((call.head_sent || call.unsent_body.size() > kSingleFrameBytes) &&
      (signed_answer || !success)) {
    SendPart(id, call, false);
  }
}

// Sends the caller the part of the response that was received since the
// previous part.
void InboundProxy::SendPart(CallId id, Call& call, bool last) {
  std::string body = std::exchange(call.unsent_body, {});
  call.uncredited_bytes += body.size();
  call.sent_bytes += body.size();
  if (call.uncredited_bytes > kWindowBytes && !call.paused && !last) {
    call.paused = true;
    http_client_.Pause(call.http_call_id);
  }
  if (call.head_sent) {
    PostReply(call.reply, GateResponseChunk{std::move(body), last});
    return;
  }
  call.head_sent = true;
  GateResponse answer;
  answer.status = call.response_head.status;
  for (const HttpHeader& header : call.response_head.headers) {
    if (!IsHopByHop(header.name)) {
      answer.headers.push_back(header);
    }
  }
  answer.length = last ? body.size() : call.response_head.length;
  answer.body = std::move(body);
  answer.last = last;
  answer.load = load();
  answer.queue_time = call.started - call.arrived;
  LogCall(id, call, last ? "answered" : "answer_begun");
  PostReply(call.reply, std::move(answer));
}

void InboundProxy::OnHttpEnd(CallId id,
                             Http1CallResult end,
                             std::string_view detail) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  const Time now = SteadyNow();
  call.http_call_id = 0;
  init_.metrics->Observe(service_time_,
                         static_cast<double>((now - call.started).count()));
  const AdmissionActions actions = admission_.OnEnded(id, now);
  // The head alone says that the instance did not run the call.
  if (end == Http1CallResult::kComplete || call.not_executed) {
    OnResponseComplete(id, call);
  } else if (end == Http1CallResult::kNotSent) {
    if (init_.tracker->OnConnectFailed(now)) {
      Log(LogLevel::kWarning, kLogComponent, "Cannot connect to the instance.",
          {{"instance", call.instance_id}, {"error", detail}});
      init_.on_unreachable();
      ScheduleInstanceCheck();
    }
    Refuse(id, RefusalReason::kNoInstance, Duration::zero());
  } else {
    AddBroken(id, false);
    ScheduleInstanceCheck();
    FailBroken(id, detail);
  }
  Execute(actions);
}

void InboundProxy::OnResponseComplete(CallId id, Call& call) {
  if (call.not_executed) {
    if (call.response_head.status == kMisdirectedRequest &&
        init_.tracker->OnIdentityMismatch(call.instance_id, SteadyNow())) {
      Log(LogLevel::kWarning, kLogComponent,
          "Another instance answered at the instance's address.",
          {{"expected", call.instance_id}});
      init_.on_unreachable();
    }
    init_.metrics->Add(shed_by_instance_);
    Refuse(id,
           call.response_head.status == kMisdirectedRequest
               ? RefusalReason::kNoInstance
               : RefusalReason::kShed,
           Duration::zero());
    return;
  }
  const bool is_signed =
      !FindHeader(call.response_head.headers, init_.headers.signature).empty();
  if (IsSuccess(call.response_head.status) && !is_signed) {
    FailBroken(id, "a success without a signature");
    return;
  }
  if (is_signed) {
    ClearSuspect(call);
  }
  if (!call.abandoned) {
    SendPart(id, call, true);
  }
  const Duration ran = SteadyNow() - call.started;
  rule_profiles_.AddSample(call.request.rule, ran, call.sent_bytes);
  Remove(id);
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

void InboundProxy::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  const Time now = SteadyNow();
  if (admission_.OnCancelled(id, now) != CancelVerdict::kRunning) {
    LogCall(id, call, "cancelled_before_start");
    Remove(id);
    return;
  }
  if (!call.request.idempotent) {
    call.abandoned = true;
    if (std::exchange(call.paused, false)) {
      http_client_.Resume(call.http_call_id);
    }
    return;
  }
  BreakOff(id, "cancelled");
}

void InboundProxy::BreakOff(CallId id, std::string_view outcome) {
  const Call& call = calls_.at(id);
  LogCall(id, call, outcome);
  AddBroken(id, true);
  http_client_.Cancel(call.http_call_id);
  Remove(id);
  held_slots_.push_back({SteadyNow() + kCancelledSlotTime, id});
}

void InboundProxy::AddBroken(CallId id, bool cancelled) {
  Call& call = calls_.at(id);
  const GateCall& request = call.request;
  if (call.instance_id != broken_instance_) {
    broken_calls_.Clear();
    broken_instance_ = call.instance_id;
  }
  broken_calls_.Add({ContentDigest(call), request.request_id,
                     request.caller_service,
                     request.target.substr(0, kMaxLoggedTargetBytes),
                     SteadyNow(), cancelled, id == trial_call_id_});
}

void InboundProxy::ScheduleInstanceCheck() {
  if (broken_calls_.empty() || instance_check_scheduled_ ||
      instance_probe_.active()) {
    return;
  }
  instance_check_scheduled_ = true;
  instance_check_timer_.expires_after(kBreakSettleTime);
  instance_check_timer_.async_wait(
      [this, broken_since = SteadyNow()](const asio::error_code& error) {
        if (!error) {
          instance_check_scheduled_ = false;
          CheckInstance(broken_since);
        }
      });
}

void InboundProxy::CheckInstance(Time broken_since) {
  const InstanceTracker& tracker = *init_.tracker;
  const bool others_run =
      std::any_of(calls_.begin(), calls_.end(), [&](const auto& entry) {
        const Call& call = entry.second;
        return call.http_call_id != 0 && call.started < broken_since;
      });
  // The end of a leaving instance is planned, and no request's doing.
  if (others_run || tracker.is_leaving() || !tracker.report() ||
      http_client_.HasIdle(tracker.report()->address)) {
    broken_calls_.Clear();
    return;
  }
  if (tracker.report()->id != broken_instance_) {
    OnInstanceEnded();
    return;
  }
  instance_probe_.Start(tracker.report()->address, kInstanceProbeTimeout,
                        [this](ConnectResult result) {
                          if (result == ConnectResult::kRefused) {
                            OnInstanceEnded();
                          } else {
                            broken_calls_.Clear();
                          }
                        });
}

void InboundProxy::OnInstanceEnded() {
  const std::vector<BrokenCall> running =
      broken_calls_.TakeOnInstanceEnd(SteadyNow());
  init_.metrics->Add(instance_ends_);
  Log(LogLevel::kWarning, kLogComponent, "The instance ended without notice.",
      {{"instance", broken_instance_},
       {"calls", running.size()},
       {"requests", DescribeCalls(running)}});
  std::vector<CrashedCall> requests;
  requests.reserve(running.size());
  for (const BrokenCall& call : running) {
    requests.push_back({call.digest, call.on_trial});
  }
  auto evidence = init_.suspects->OnCrash(
      {init_.node_name, crash_numbers_.Below(kMaxCrashNumber)}, requests,
      SteadyNow());
  if (!evidence.empty()) {
    init_.on_crash_evidence(std::move(evidence));
  }
}

void InboundProxy::ClearSuspect(Call& call) {
  if (init_.suspects->empty()) {
    return;
  }
  if (auto evidence =
          init_.suspects->OnCompleted(ContentDigest(call), SteadyNow())) {
    init_.on_crash_evidence({std::move(*evidence)});
  }
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

void InboundProxy::OnInstanceChanged() {
  const auto& report = init_.tracker->report();
  if (report) {
    http_client_.CloseIdle(report->address);
    rate_limit_.OnInstance(report->id);
    admission_.SetRateLimit(rate_limit_.calls_per_second(), SteadyNow());
    Execute(admission_.SetSlots(std::max<std::uint32_t>(report->slots, 1),
                                SteadyNow()));
  }
}

GateLoad InboundProxy::load() const {
  return {
      {admission_.busy(), static_cast<std::uint32_t>(admission_.queued()),
       link_forecast_.QueueingDelay(init_.link()),
       admission_.RateLimitDelay(SteadyNow()), rate_limit_.calls_per_second()},
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
  Execute(admission_.Tick(now));
}

void InboundProxy::ScheduleTick() {
  tick_scheduled_ = !calls_.empty() || !held_slots_.empty();
  if (!tick_scheduled_) {
    return;
  }
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
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
