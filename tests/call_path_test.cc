#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "core/snapshot.h"
#include "net_support.h"
#include "node/call_headers.h"
#include "node/call_proxy.h"
#include "node/node.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxIdle = 16;
constexpr std::uint64_t kSeed = 1;

constexpr const char* kRules = R"(
services:
  - name: booking
groups:
  - {name: academies, weight: 3}
rules:
  - id: shut
    when: {path_prefix: /shut}
    then: {reject: {status: 403, reason: closed}}
  - id: reads
    when: {path_prefix: /reads}
    then: {route: [{service: booking}], deadline: 20s, repeatable: true,
           retries: 2}
  - id: reservations
    when: {path_prefix: /}
    then: {route: [{service: booking}], deadline: 20s, repeatable: false}
)";

// One node's call path with its two servers; the upstream is the test's.
class TestNode {
 public:
  TestNode(const std::string& name,
           const RawListener& upstream,
           std::uint32_t slots = 1) {
    settings_.name = name;
    settings_.failure_domain = "domain";
    settings_.region = "region";
    settings_.upstream.service = "booking";
    settings_.upstream.address = upstream.address();
    settings_.upstream.slots = slots;
    charts_ = MustSucceed([] { return LoadNodeCharts(); });
    applier_.emplace(&charts_->config_apply);
    const auto document =
        MustSucceed([] { return ParseRules(kRules, "rules.yaml"); });
    applier_->Offer(
        std::make_shared<const Snapshot>(MakeSnapshot(1, document.document)));
    loop.Call([this] { Open(); });
    opened_callers_.get_future().get();
    opened_peers_.get_future().get();
    self.name = name;
    self.incarnation = 1;
    self.failure_domain = "domain";
    self.region = "region";
    self.service = "booking";
    self.peers = peers_->address();
    self.slots = slots;
  }

  ~TestNode() {
    loop.Call([this] {
      callers_.reset();
      peers_.reset();
      proxy.reset();
      http_.reset();
    });
  }

  void Knows(const Member& member) {
    loop.Call([&] { directory_.Put(member); });
  }

  RawConnection Caller() {
    return RawConnection::ConnectTo(client_io_, callers_->address());
  }
  RawConnection Peer() {
    return RawConnection::ConnectTo(client_io_, peers_->address());
  }

  std::uint64_t Count(std::string_view counter) {
    return loop.Call([&] { return metrics_.value(metrics_.Counter(counter)); });
  }

  std::size_t Active() {
    return loop.Call([&] { return proxy->active(); });
  }

  LoopThread loop;
  Member self;
  std::optional<CallProxy> proxy;
  int leaving_announcements = 0;

 private:
  void Open() {
    http_.emplace(loop.io, kMaxIdle);
    proxy.emplace(CallProxyParts{&loop.io, &settings_, &*applier_, &directory_,
                                 &charts_->upstream_health, &*http_, &metrics_,
                                 [this] { ++leaving_announcements; }},
                  kSeed);
    HttpServerInit init;
    init.address = {kTestIp, 0};
    callers_.emplace(
        loop.io, init, [this](HttpRequest request, HttpReply reply) {
          proxy->OnCallerRequest(std::move(request), std::move(reply));
        });
    peers_.emplace(loop.io, init, [this](HttpRequest request, HttpReply reply) {
      proxy->OnPeerRequest(std::move(request), std::move(reply));
    });
    callers_->Open([this](const std::string&) { opened_callers_.set_value(); });
    peers_->Open([this](const std::string&) { opened_peers_.set_value(); });
  }

  Settings settings_;
  std::optional<NodeCharts> charts_;
  std::optional<ConfigApplier> applier_;
  MemberDirectory directory_;
  Metrics metrics_;
  std::optional<HttpClient> http_;
  std::optional<HttpServer> callers_;
  std::optional<HttpServer> peers_;
  std::promise<void> opened_callers_;
  std::promise<void> opened_peers_;
  asio::io_context client_io_;
};

std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& headers = {},
                    const std::string& body = {}) {
  return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Answer(const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a call and its answer through one node", "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.Knows(node.self);
  RawConnection caller = node.Caller();

  SECTION("the request arrives without what callers may not say") {
    caller.Write(Request("POST", "/reserve?slot=4",
                         "x-verbena-attempt-id: forged\r\n"
                         "x-verbena-target: forged\r\n"
                         "x-verbena-priority: high\r\n"
                         "Connection: x-hop\r\nx-hop: 1\r\nx-own: 2\r\n",
                         "antenna"));
    RawConnection served = upstream.Accept();
    const std::string request = served.ReadRequest();
    CHECK(request.starts_with("POST /reserve?slot=4 HTTP/1.1"));
    CHECK(request.ends_with("antenna"));
    CHECK_FALSE(Has(request, "forged"));
    CHECK_FALSE(Has(request, "x-hop"));
    CHECK_FALSE(Has(request, "x-verbena-priority"));
    CHECK(Has(request, "x-own: 2"));
    CHECK(Has(request, "x-verbena-deadline-ms: "));
    served.Write(Answer("reserved", "x-verbena-outcome: not-run\r\n"));
    const std::string answer = caller.ReadUntil("reserved");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    // An upstream cannot say what only the system may say.
    CHECK_FALSE(Has(answer, "x-verbena-outcome"));
    CHECK(Has(answer, "x-verbena-generation: 1"));
  }
  SECTION("a chunked request runs once, also when the upstream dies") {
    caller.Write(Request("POST", "/reserve"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    served.Write(Answer("first"));
    caller.ReadUntil("first");
    caller.Write(
        "POST /reserve HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n");
    CHECK(served.ReadRequest().ends_with("slot"));
    served.Close();
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Has(answer, "x-verbena-outcome: unknown"));
    CHECK_FALSE(upstream.TryAccept());
  }
  SECTION("an answer that is cut reaches the caller as cut") {
    caller.Write(Request("GET", "/film"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    served.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    CHECK(Has(caller.ReadUntil("half"), "Content-Length: 100"));
    served.Close();
    CHECK(caller.AtEnd());
  }
  SECTION("a caller that goes is told to the upstream") {
    caller.Write(Request("GET", "/film"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    caller.Close();
    CHECK(served.AtEnd());
    CHECK(node.Active() == 0);
    CHECK(node.Count("callers_gone_total") == 1);
  }
  SECTION("a deadline that passes while it runs has an unknown outcome") {
    caller.Write(Request("POST", "/reserve", "x-verbena-deadline-ms: 50\r\n"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(Has(answer, "x-verbena-outcome: unknown"));
    CHECK(served.AtEnd());
  }
  SECTION("what a rule rejects has not run") {
    caller.Write(Request("GET", "/shut"));
    const std::string answer = caller.ReadUntil("closed\n");
    CHECK(answer.starts_with("HTTP/1.1 403"));
    CHECK(Has(answer, "x-verbena-outcome: not-run"));
    CHECK_FALSE(upstream.TryAccept());
  }
  SECTION("an upstream announces that it is leaving") {
    caller.Write(Request("GET", "/film"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    served.Write(Answer("film", "x-verbena-leaving: 1\r\n"));
    CHECK_FALSE(Has(caller.ReadUntil("film"), "x-verbena-leaving"));
    CHECK(node.loop.Call([&] { return node.leaving_announcements; }) == 1);
  }
}

TEST_CASE("calls wait for a slot and are refused in time", "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.Knows(node.self);
  RawConnection first = node.Caller();
  first.Write(Request("POST", "/reserve"));
  RawConnection served = upstream.Accept();
  served.ReadRequest();
  RawConnection second = node.Caller();

  SECTION("the second runs after the first") {
    second.Write(Request("POST", "/reserve", {}, "second"));
    // Nothing else can be under way at the upstream: the one slot is taken.
    served.Write(Answer("done-1"));
    first.ReadUntil("done-1");
    CHECK(served.ReadRequest().ends_with("second"));
    CHECK_FALSE(upstream.TryAccept());
    served.Write(Answer("done-2"));
    CHECK(second.ReadUntil("done-2").starts_with("HTTP/1.1 200"));
  }
  SECTION("a deadline that passes in the queue is a true not-run") {
    second.Write(Request("POST", "/reserve", "x-verbena-deadline-ms: 40\r\n"));
    const std::string answer = second.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(Has(answer, "x-verbena-outcome: not-run"));
    CHECK_FALSE(upstream.TryAccept());
  }
}

TEST_CASE("a call through two nodes", "[calls]") {
  RawListener upstream_one;
  RawListener upstream_two;
  TestNode one("one", upstream_one);
  TestNode two("two", upstream_two);
  one.Knows(two.self);
  RawConnection caller = one.Caller();

  SECTION("is answered by the other node's upstream") {
    caller.Write(Request("POST", "/reserve", {}, "slot"));
    RawConnection served = upstream_two.Accept();
    const std::string request = served.ReadRequest();
    CHECK(request.ends_with("slot"));
    CHECK_FALSE(Has(request, "x-verbena-attempt-id"));
    served.Write(Answer("reserved"));
    const std::string answer = caller.ReadUntil("reserved");
    CHECK_FALSE(Has(answer, "x-verbena-load"));
  }
  SECTION("goes elsewhere when the other node is leaving") {
    two.loop.Call([&] { two.proxy->BeginLeaving(); });
    RawListener upstream_three;
    TestNode three("three", upstream_three);
    caller.Write(Request("POST", "/reserve"));
    // Only once the leaving one has refused is there another to choose.
    while (two.Count("upstream_refused_total") == 0) {
      std::this_thread::yield();
    }
    one.Knows(three.self);
    RawConnection served = upstream_three.Accept();
    served.ReadRequest();
    served.Write(Answer("reserved"));
    CHECK(caller.ReadUntil("reserved").ends_with("reserved"));
    CHECK_FALSE(upstream_two.TryAccept());
  }
  SECTION("a caller that goes is told through both") {
    caller.Write(Request("POST", "/reserve"));
    RawConnection served = upstream_two.Accept();
    served.ReadRequest();
    caller.Close();
    CHECK(served.AtEnd());
  }
  SECTION("a second copy of an attempt does not run") {
    const std::string copy =
        Request("POST", "/reserve",
                "x-verbena-target: two\r\nx-verbena-deadline-ms: 10000\r\n"
                "x-verbena-attempt-id: 00000000000000010000000000000002\r\n");
    RawConnection peer = two.Peer();
    peer.Write(copy);
    RawConnection served = upstream_two.Accept();
    served.ReadRequest();
    served.Write(Answer("reserved"));
    peer.ReadUntil("reserved");
    peer.Write(copy);
    const std::string answer = peer.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 409"));
    CHECK(Has(answer, "x-verbena-outcome: unknown"));
    CHECK(two.Count("duplicate_attempts_total") == 1);
  }
  SECTION("a call for another node is refused as not run") {
    RawConnection peer = two.Peer();
    peer.Write(Request("POST", "/reserve", "x-verbena-target: three\r\n"));
    const std::string answer = peer.ReadUntil("\r\n\r\n");
    CHECK(Has(answer, "x-verbena-outcome: not-run"));
    CHECK(Has(answer, "x-verbena-leaving: 1"));
  }
}

TEST_CASE("what may be repeated is retried, the rest is not", "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.Knows(node.self);
  RawConnection caller = node.Caller();
  const std::string failure =
      "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";

  SECTION("a read that failed") {
    caller.Write(Request("GET", "/reads/1"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    served.Write(failure);
    RawConnection again = upstream.Accept();
    again.ReadRequest();
    again.Write(Answer("score"));
    CHECK(caller.ReadUntil("score").starts_with("HTTP/1.1 200"));
  }
  SECTION("a read, unless nothing is left of the caller's attempts") {
    caller.Write(Request("GET", "/reads/1", "x-verbena-attempts-left: 0\r\n"));
    RawConnection served = upstream.Accept();
    CHECK(Has(served.ReadRequest(), "x-verbena-attempts-left: 0"));
    served.Write(failure);
    CHECK(caller.ReadUntil("busy").starts_with("HTTP/1.1 503"));
    CHECK_FALSE(upstream.TryAccept());
  }
  SECTION("a reservation that failed") {
    caller.Write(Request("POST", "/reserve"));
    RawConnection served = upstream.Accept();
    served.ReadRequest();
    served.Write(failure);
    CHECK(caller.ReadUntil("busy").starts_with("HTTP/1.1 503"));
    CHECK_FALSE(upstream.TryAccept());
  }
}

TEST_CASE("an upstream that has gone is a true not-run", "[calls]") {
  std::optional<RawListener> upstream(std::in_place);
  TestNode node("one", *upstream);
  node.Knows(node.self);
  upstream.reset();
  RawConnection caller = node.Caller();
  caller.Write(Request("POST", "/reserve"));
  const std::string answer = caller.ReadUntil("\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Has(answer, "x-verbena-outcome: not-run"));
}

TEST_CASE("a long answer passes a slow reader in bounded memory", "[calls]") {
  constexpr std::size_t kSize = 64'000'000;  // Beyond what sockets buffer.
  RawListener upstream;
  TestNode node("one", upstream);
  node.Knows(node.self);
  RawConnection caller = node.Caller();
  caller.Write(Request("GET", "/film"));
  RawConnection served = upstream.Accept();
  served.ReadRequest();
  served.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) +
               "\r\n\r\n");
  std::atomic<std::size_t> written = 0;
  std::thread writer([&] {
    const std::string part(100'000, 'x');
    while (written < kSize) {
      served.Write(part);
      written += part.size();
    }
  });
  caller.ReadUntil("\r\n\r\n");
  // Nobody reads on, so the writer has to stop short of the end.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(written < kSize);
  CHECK(caller.ReadBytes(kSize).size() == kSize);
  writer.join();
}

TEST_CASE("requests that cannot be passed on are refused", "[calls]") {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  CHECK(FindRequestFault(request).empty());
  SECTION("a target that is a URL") {
    request.target = "http://other/";
  }
  SECTION("a tunnel") {
    request.method = "CONNECT";
  }
  SECTION("two hosts") {
    request.headers = {{"Host", "a"}, {"host", "b"}};
  }
  SECTION("two lengths") {
    request.headers = {{"Content-Length", "1"}, {"content-length", "1"}};
  }
  SECTION("an encoding besides chunked") {
    request.headers = {{"Transfer-Encoding", "gzip, chunked"}};
  }
  CHECK_FALSE(FindRequestFault(request).empty());
}

}  // namespace verbenastile
