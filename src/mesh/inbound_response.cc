#include "mesh/inbound_proxy.h"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "io/http_status.h"
#include "mesh/response_notice.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "gate";
// The source of what the instance said itself, in log lines.
constexpr std::string_view kInstanceSource = "instance";

constexpr int kFirstNonSuccess = 300;
constexpr int kFirstSuccess = 200;

// Responses up to this size are sent to the caller in a single frame.
constexpr std::size_t kSingleFrameBytes = 65'536;
// Bytes of a response that are read only to reuse the connection. Beyond that
// the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 1'048'576;
// Shortest interval at which changes of a rate limit that stays are logged.
constexpr Duration kRateLimitLogInterval = std::chrono::seconds(1);

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstNonSuccess;
}

}  // namespace

void InboundProxy::OnResponseHead(CallId id, const Http1Head& head) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.response_head = head;
  call.not_executed =
      head.status == kHttpMisdirectedRequest ||
      !FindHeader(head.headers, init_.headers.not_executed).empty();
  ResponseNotice notice = ParseResponseNotice(head.headers, init_.headers);
  notice.is_success = IsSuccess(head.status);
  if (notice.is_success && !notice.is_signed && !call.not_executed) {
    RejectResponse(id, "a success without a signature");
    return;
  }
  // A misdirected request was answered by another instance.
  if (head.status != kHttpMisdirectedRequest &&
      (notice.is_signed || !notice.is_success)) {
    OnNotice(call, notice);
  }
}

// Ends a call whose response did not come from the instance. The body, which
// may never end, is not read.
void InboundProxy::RejectResponse(CallId id, std::string_view why) {
  const Call& call = calls_.at(id);
  init_.metrics->Add(rejected_);
  init_.metrics->Observe(
      service_time_, static_cast<double>((SteadyNow() - call.started).count()));
  http_client_.Cancel(call.http_call_id);
  HoldSlot(id);
  FailBroken(id, why);
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

void InboundProxy::OnPeerNotice(const InstanceNotice& notice,
                                std::string_view source) {
  if (rate_limit_.OnPeerNotice(notice)) {
    ApplyRateLimit(source);
  }
  if (notice.leaving && init_.tracker->OnLeavingPeerNotice(
                            {notice.instance, notice.started_ms},
                            SteadyNow()) == ReportVerdict::kChanged) {
    OnLeaving(notice.instance, source);
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
                        tracker.is_leaving(), tracker.report()->started_ms};
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
  if (call.head_sent || call.unsent_body.size() > kSingleFrameBytes) {
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
    if (call.response_head.status == kHttpMisdirectedRequest &&
        init_.tracker->OnIdentityMismatch(call.instance_id, SteadyNow())) {
      Log(LogLevel::kWarning, kLogComponent,
          "Another instance answered at the instance's address.",
          {{"expected", call.instance_id}});
      init_.on_unreachable();
    }
    init_.metrics->Add(shed_by_instance_);
    Refuse(id,
           call.response_head.status == kHttpMisdirectedRequest
               ? RefusalReason::kNoInstance
               : RefusalReason::kShed,
           Duration::zero());
    return;
  }
  if (!FindHeader(call.response_head.headers, init_.headers.signature)
           .empty()) {
    ClearSuspect(call);
  }
  if (!call.abandoned) {
    SendPart(id, call, true);
  }
  const Duration ran = SteadyNow() - call.started;
  const Duration usual =
      init_.usual_time ? init_.usual_time(call.request.rule) : Duration(0);
  // An instance that fails quickly is not fast.
  if (IsSuccess(call.response_head.status) || ran > usual) {
    pace_.OnRan(ran, usual);
  }
  rule_profiles_.AddSample(call.request.rule, ran, call.sent_bytes);
  Remove(id);
}

}  // namespace verbenastile
