#include "node/peer_link.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "node/call_headers.h"
#include "verbenastile/http_headers.h"

namespace verbenastile {
namespace {

constexpr int kBadGateway = 502;
constexpr std::size_t kMaxReasonBytes = 256;
// Minimum time without progress after which a response is abandoned.
constexpr Duration kMinStallTimeout = std::chrono::seconds(60);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

// State of one attempt in progress.
struct Exchange {
  AttemptEvents events;
  // Set if the peer node itself responded instead of its upstream.
  bool from_node = false;
  AttemptEnd end;

  void OnHead(const HttpResponse& head);
  void OnData(std::string_view part);
  void OnDone(const HttpOutcome& outcome);
};

void Exchange::OnHead(const HttpResponse& head) {
  if (const auto load = ReadLoad(head.headers); load && events.on_load) {
    events.on_load(*load);
  }
  const auto outcome = FindHeader(head.headers, kOutcomeHeader);
  if (outcome.empty()) {
    HttpResponse cleaned = head;
    CleanPeerHeaders(cleaned.headers);
    events.on_head(cleaned);
    return;
  }
  from_node = true;
  end.outcome = outcome == kOutcomeNotRun ? AttemptOutcome::kRefused
                                          : AttemptOutcome::kUnknown;
  end.status = head.status;
  end.leaving = FindHeader(head.headers, kLeavingHeader) == "1";
}

void Exchange::OnData(std::string_view part) {
  if (!from_node) {
    events.on_data(part);
    return;
  }
  const std::size_t free_bytes = kMaxReasonBytes - end.reason.size();
  end.reason.append(part.substr(0, free_bytes));
}

void Exchange::OnDone(const HttpOutcome& outcome) {
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    // A refusal may be truncated, but its headers already stated the outcome.
    if (!from_node) {
      end.outcome = failure->not_sent ? AttemptOutcome::kNotSent
                                      : AttemptOutcome::kUnknown;
      end.status = kBadGateway;
      end.reason = failure->detail;
    }
  } else if (!from_node) {
    end.outcome = AttemptOutcome::kAnswered;
  }
  while (end.reason.ends_with('\n')) {
    end.reason.pop_back();
  }
  events.on_end(end);
}

void AddPeerHeaders(const PeerRequest& peer, HttpHeaders& headers) {
  const UpstreamRequest& request = peer.request;
  SetHeader(headers, kTargetHeader, peer.node);
  SetHeader(headers, kPriorityHeader, ToString(request.priority));
  SetHeader(headers, kGroupHeader, request.group);
  const Duration time_left = request.deadline - SteadyNow();
  SetHeader(
      headers, kDeadlineHeader,
      std::to_string(ToMilliseconds(std::max(time_left, Duration::zero()))));
  if (request.attempt) {
    SetHeader(headers, kAttemptIdHeader, ToString(*request.attempt));
  }
}

}  // namespace

HttpCallHandle PeerLink::Start(PeerRequest peer, AttemptEvents events) {
  const auto exchange = std::make_shared<Exchange>();
  exchange->events = std::move(events);
  HttpCall call;
  call.method = peer.request.method;
  call.url = fmt::format("http://{}/", ToString(peer.address));
  call.target = peer.request.target;
  call.headers = std::move(peer.request.headers);
  AddPeerHeaders(peer, call.headers);
  call.body = std::move(peer.request.body);
  const Duration time_left = peer.request.deadline - SteadyNow();
  call.timeout = Duration::zero();
  call.connect_timeout = std::min(kConnectTimeout, time_left);
  call.stall_timeout = std::max(kMinStallTimeout, time_left);
  call.on_headers = [exchange](const HttpResponse& head) {
    exchange->OnHead(head);
  };
  call.on_data = [exchange](std::string_view part) {
    exchange->OnData(part);
    return true;
  };
  return http_->Start(std::move(call), [exchange](const HttpOutcome& outcome) {
    exchange->OnDone(outcome);
  });
}

}  // namespace verbenastile
