#include "node/call_proxy.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "node/answer_relay.h"
#include "node/call_headers.h"
#include "verbenastile/http_headers.h"

namespace verbenastile {
namespace {

constexpr int kMisdirectedRequest = 421;

}  // namespace

// A call from another node that is being forwarded to the local upstream.
struct CallProxy::PeerCall {
  std::optional<AnswerRelay> relay;
  CallId id = 0;
};

CallProxy::CallProxy(const CallProxyParts& parts, std::uint64_t seed)
    : deps_(parts),
      gate_({parts.io, parts.settings, parts.http, parts.metrics,
             parts.on_upstream_leaving}),
      peer_link_(parts.http),
      caller_side_({parts.io, parts.settings, parts.applier, parts.directory,
                    parts.health_chart, &gate_, &peer_link_, parts.metrics,
                    seed}),
      peer_requests_counter_(parts.metrics->Counter("peer_requests_total")),
      callers_gone_unread_(
          parts.metrics->Counter("callers_gone_unread_total")) {}

// On a busy node a request and the close behind it may both wait to be read.
bool CallProxy::DropAbandoned(HttpReply& reply) {
  if (!reply.HasClientLeft()) {
    return false;
  }
  deps_.metrics->Add(callers_gone_unread_);
  reply.Abort();
  return true;
}

void CallProxy::OnCallerRequest(HttpRequest request, HttpReply reply) {
  if (!DropAbandoned(reply)) {
    caller_side_.OnRequest(std::move(request), std::move(reply));
  }
}

void CallProxy::OnPeerRequest(HttpRequest request, HttpReply reply) {
  deps_.metrics->Add(peer_requests_counter_);
  if (DropAbandoned(reply)) {
    return;
  }
  const auto call = std::make_shared<PeerCall>();
  // The call owns the relay, so the relay's flow callbacks can safely hold a
  // raw pointer to the call.
  PeerCall* call_ptr = call.get();
  call->relay.emplace(std::move(reply),
                      RelayFlow{[this, call_ptr] { gate_.Pause(call_ptr->id); },
                                [this, alive = alive_, call_ptr] {
                                  if (*alive) {
                                    gate_.Resume(call_ptr->id);
                                  }
                                }});
  if (FindHeader(request.headers, kTargetHeader) != deps_.settings->name) {
    RefusePeer(*call, {AttemptOutcome::kRefused, kMisdirectedRequest,
                       "meant for another node", true});
    return;
  }
  StartPeerCall(call, MakeUpstreamRequest(std::move(request)));
}

UpstreamRequest CallProxy::MakeUpstreamRequest(HttpRequest request) const {
  UpstreamRequest result;
  const HttpHeaders& headers = request.headers;
  result.group = FindHeader(headers, kGroupHeader);
  if (const auto table = deps_.applier->table()) {
    result.weight = table->GroupWeight(result.group);
  }
  result.priority = ReadPriority(headers);
  result.deadline = SteadyNow() + ReadDeadline(headers).value_or(
                                      deps_.settings->default_deadline);
  result.attempt = ParseAttemptId(FindHeader(headers, kAttemptIdHeader));
  result.method = std::move(request.method);
  result.target = std::move(request.target);
  result.body = std::move(request.body);
  result.headers = std::move(request.headers);
  CleanCallerHeaders(result.headers);
  return result;
}

void CallProxy::StartPeerCall(const std::shared_ptr<PeerCall>& call,
                              UpstreamRequest request) {
  AttemptEvents events;
  events.on_head = [this, call](const HttpResponse& head) {
    HttpHeaders headers = head.headers;
    headers.push_back({std::string(kLoadHeader), ToString(gate_.load())});
    call->relay->Start(head.status, headers, ReadLength(head.headers));
  };
  events.on_data = [call](std::string_view part) { call->relay->Write(part); };
  events.on_end = [this, call](const AttemptEnd& end) {
    if (!call->relay->started()) {
      RefusePeer(*call, end);
    } else if (end.outcome == AttemptOutcome::kAnswered) {
      call->relay->Finish();
    } else {
      call->relay->Abort();
    }
  };
  call->id = gate_.Start(std::move(request), std::move(events));
  call->relay->OnGone([this, alive = alive_, id = call->id] {
    if (*alive) {
      gate_.Cancel(id);
    }
  });
}

void CallProxy::RefusePeer(PeerCall& call, const AttemptEnd& end) {
  HttpHeaders headers = {
      {"Content-Type", "text/plain"},
      {std::string(kOutcomeHeader),
       std::string(ProvablyNotRun(end.outcome) ? kOutcomeNotRun
                                               : kOutcomeUnknown)},
      {std::string(kLoadHeader), ToString(gate_.load())}};
  if (end.leaving) {
    headers.push_back({std::string(kLeavingHeader), "1"});
  }
  call.relay->Send(end.status, headers, fmt::format("{}\n", end.reason));
}

}  // namespace verbenastile
