// An inbound proxy, and an instance that is simulated on a raw socket.
#ifndef TESTS_INBOUND_PROXY_FIXTURE_H_
#define TESTS_INBOUND_PROXY_FIXTURE_H_

#include <fmt/format.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/inbound_proxy.h"
#include "net_support.h"

namespace verbenastile {

constexpr CallHeaderNames kHeaderNames = {
    .request_id = "X-Id",
    .deadline_ms = "X-Deadline",
    .signature = "X-Signature",
    .expected_instance = "X-Expect",
    .not_executed = "X-Not-Run",
    .retry_after = "Retry-After",
    .caller_service = "X-Caller",
    .rate_limit = "X-Rate-Limit",
    .leaving = "X-Leaving",
    .key = "X-Key",
    .key_scheme = "Key",
    .group = "X-Group",
};

struct InboundProxyFixture {
  InboundProxyFixture() : tracker(listener.address(), "booking") {
    loop.Call([this] {
      InboundProxy::Init init;
      init.io = &loop.io;
      init.tracker = &tracker;
      init.metrics = &metrics;
      init.headers = kHeaderNames;
      init.configuration = [] { return PeerConfiguration{1, std::nullopt}; };
      init.leaving_start_period = [] { return std::chrono::milliseconds(800); };
      init.on_unreachable = [this] { ++unreachable_events; };
      init.on_leaving = [this] { ++leaving_events; };
      init.link = [] { return LinkState{}; };
      init.node_name = "node";
      init.suspects = &suspects;
      init.may_try = [](std::string_view, const Digest&) { return true; };
      init.on_crash_evidence = [this](std::vector<CrashEvidence> evidence) {
        announced.push_back(std::move(evidence));
      };
      proxy = std::make_unique<InboundProxy>(init);
      Report(1, false);
      return 0;
    });
  }
  ~InboundProxyFixture() {
    loop.Call([this] {
      proxy.reset();
      return 0;
    });
  }

  void Report(std::uint64_t sequence,
              bool leaving,
              std::string_view id = "i-1",
              std::string_view service = "booking") {
    InstanceReport report;
    report.id = id;
    report.service = service;
    report.address = listener.address();
    report.slots = 1;
    report.sequence = sequence;
    report.leaving = leaving;
    tracker.OnReport(report, SteadyNow());
    proxy->OnInstanceChanged();
  }

  using Replies = std::shared_ptr<std::vector<LinkBody>>;

  Replies Start(bool idempotent, std::string_view service = "booking") {
    auto replies = std::make_shared<std::vector<LinkBody>>();
    GateCall call;
    call.service = service;
    call.caller_service = "library";
    call.request_id = request_id.value_or(fmt::format("r{}", ++request_count));
    call.rule = "rule";
    call.method = idempotent ? "GET" : "POST";
    call.target = "/p/x?y=z";
    call.headers = {{"Host", "a.example"}, {"X-Id", call.request_id}};
    call.remaining = remaining;
    call.objective = std::chrono::seconds(5);
    call.idempotent = idempotent;
    call.notice = notice;
    last_call_id = loop.Call([&] {
      return proxy->Start(
          std::move(call), ResponsePath::kLink,
          [replies](LinkBody body) { replies->push_back(std::move(body)); });
    });
    return replies;
  }
  // Waits for the reply number `index` and returns it.
  LinkBody Reply(const Replies& replies, std::size_t index = 0) {
    while (loop.Call([&] { return replies->size(); }) <= index) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return loop.Call([&] { return (*replies)[index]; });
  }

  RawListener listener;
  LoopThread loop;
  Metrics metrics;
  InstanceTracker tracker;
  CrashSuspects suspects;
  std::vector<std::vector<CrashEvidence>> announced;
  std::unique_ptr<InboundProxy> proxy;
  int unreachable_events = 0;
  int leaving_events = 0;
  int request_count = 0;
  std::optional<std::string> request_id;          // Of the calls started next.
  Duration remaining = std::chrono::seconds(10);  // Of the calls started next.
  std::optional<InstanceNotice> notice;           // Of the calls started next.
  CallId last_call_id = 0;
};

inline std::string OkResponse(std::string_view headers, std::string_view body) {
  return "HTTP/1.1 200 OK\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

}  // namespace verbenastile

#endif  // TESTS_INBOUND_PROXY_FIXTURE_H_
