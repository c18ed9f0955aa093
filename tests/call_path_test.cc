#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "broken_responses.h"
#include "core/snapshot.h"
#include "net_support.h"
#include "node/call_headers.h"
#include "node/call_proxy.h"
#include "node/node.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxIdleConnections = 16;
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

// The call path of one node with its caller and peer servers. The test itself
// plays the upstream.
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
    self.peer_address = peers_->address();
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

  void AddMember(const Member& member) {
    loop.Call([&] { directory_.Put(member); });
  }

  RawConnection ConnectCaller() {
    return RawConnection::ConnectTo(client_io_, callers_->address());
  }
  RawConnection ConnectPeer() {
    return RawConnection::ConnectTo(client_io_, peers_->address());
  }

  std::uint64_t CounterValue(std::string_view counter) {
    return loop.Call([&] { return metrics_.value(metrics_.Counter(counter)); });
  }

  std::size_t ActiveCalls() {
    return loop.Call([&] { return proxy->active(); });
  }

  LoopThread loop;
  Member self;
  std::optional<CallProxy> proxy;
  int leaving_announcements = 0;

 private:
  void Open() {
    http_.emplace(loop.io, kMaxIdleConnections);
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

std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& headers = {},
                        const std::string& body = {}) {
  return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeResponse(const std::string& body,
                         const std::string& headers = {}) {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("one node proxies a call and its response", "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.AddMember(node.self);
  RawConnection caller = node.ConnectCaller();

  SECTION("headers that callers may not set are removed") {
    caller.Write(MakeRequest("POST", "/reserve?slot=4",
                             "x-verbena-attempt-id: forged\r\n"
                             "x-verbena-target: forged\r\n"
                             "x-verbena-priority: high\r\n"
                             "Connection: x-hop\r\nx-hop: 1\r\nx-own: 2\r\n",
                             "antenna"));
    RawConnection upstream_peer = upstream.Accept();
    const std::string request = upstream_peer.ReadRequest();
    CHECK(request.starts_with("POST /reserve?slot=4 HTTP/1.1"));
    CHECK(request.ends_with("antenna"));
    CHECK_FALSE(Contains(request, "forged"));
    CHECK_FALSE(Contains(request, "x-hop"));
    CHECK_FALSE(Contains(request, "x-verbena-priority"));
    CHECK(Contains(request, "x-own: 2"));
    CHECK(Contains(request, "x-verbena-deadline-ms: "));
    upstream_peer.Write(
        MakeResponse("reserved", "x-verbena-outcome: not-run\r\n"));
    const std::string answer = caller.ReadUntil("reserved");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    // Headers that only the proxy may set are removed from the response.
    CHECK_FALSE(Contains(answer, "x-verbena-outcome"));
    CHECK(Contains(answer, "x-verbena-generation: 1"));
  }
  SECTION("a chunked request is not retried when the upstream dies") {
    caller.Write(MakeRequest("POST", "/reserve"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write(MakeResponse("first"));
    caller.ReadUntil("first");
    caller.Write(
        "POST /reserve HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n");
    CHECK(upstream_peer.ReadRequest().ends_with("slot"));
    upstream_peer.Close();
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Contains(answer, "x-verbena-outcome: unknown"));
    CHECK_FALSE(upstream.TryAccept());
  }
  SECTION("a truncated response reaches the caller as truncated") {
    caller.Write(MakeRequest("GET", "/film"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    CHECK(Contains(caller.ReadUntil("half"), "Content-Length: 100"));
    upstream_peer.Close();
    CHECK(caller.AtEnd());
  }
  SECTION("a caller disconnect closes the upstream connection") {
    caller.Write(MakeRequest("GET", "/film"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    caller.Close();
    CHECK(upstream_peer.AtEnd());
    CHECK(node.ActiveCalls() == 0);
    CHECK(node.CounterValue("callers_gone_total") == 1);
  }
  SECTION("a deadline that passes during execution has an unknown outcome") {
    caller.Write(
        MakeRequest("POST", "/reserve", "x-verbena-deadline-ms: 50\r\n"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(Contains(answer, "x-verbena-outcome: unknown"));
    CHECK(upstream_peer.AtEnd());
  }
  SECTION("a call rejected by a rule is reported as not run") {
    caller.Write(MakeRequest("GET", "/shut"));
    const std::string answer = caller.ReadUntil("closed\n");
    CHECK(answer.starts_with("HTTP/1.1 403"));
    CHECK(Contains(answer, "x-verbena-outcome: not-run"));
    CHECK_FALSE(upstream.TryAccept());
  }
  SECTION("an upstream can announce that it is leaving") {
    caller.Write(MakeRequest("GET", "/film"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write(MakeResponse("film", "x-verbena-leaving: 1\r\n"));
    CHECK_FALSE(Contains(caller.ReadUntil("film"), "x-verbena-leaving"));
    CHECK(node.loop.Call([&] { return node.leaving_announcements; }) == 1);
  }
}

// Guards against work for callers that left (rule GONE).
TEST_CASE("a request that a node reads after its caller left is not passed on",
          "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.AddMember(node.self);

  SECTION("the caller's request") {
    LoopPause pause(node.loop);
    RawConnection caller = node.ConnectCaller();
    caller.Write(MakeRequest("GET", "/film"));
    caller.Close();
  }
  SECTION("another node's call") {
    LoopPause pause(node.loop);
    RawConnection peer = node.ConnectPeer();
    peer.Write(MakeRequest("GET", "/film", "x-verbena-target: one\r\n"));
    peer.Close();
  }
  while (node.CounterValue("callers_gone_unread_total") == 0) {
    REQUIRE_FALSE(upstream.TryAccept());
    std::this_thread::yield();
  }
  CHECK_FALSE(upstream.TryAccept());
}

TEST_CASE("calls wait for a slot and are refused at their deadline",
          "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.AddMember(node.self);
  RawConnection first = node.ConnectCaller();
  first.Write(MakeRequest("POST", "/reserve"));
  RawConnection upstream_peer = upstream.Accept();
  upstream_peer.ReadRequest();
  RawConnection second = node.ConnectCaller();

  SECTION("the second call runs after the first") {
    second.Write(MakeRequest("POST", "/reserve", {}, "second"));
    // The first call occupies the only slot, so the second is not sent yet.
    upstream_peer.Write(MakeResponse("done-1"));
    first.ReadUntil("done-1");
    CHECK(upstream_peer.ReadRequest().ends_with("second"));
    CHECK_FALSE(upstream.TryAccept());
    upstream_peer.Write(MakeResponse("done-2"));
    CHECK(second.ReadUntil("done-2").starts_with("HTTP/1.1 200"));
  }
  SECTION("a call that expires in the queue is reported as not run") {
    second.Write(
        MakeRequest("POST", "/reserve", "x-verbena-deadline-ms: 40\r\n"));
    const std::string answer = second.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(Contains(answer, "x-verbena-outcome: not-run"));
    CHECK_FALSE(upstream.TryAccept());
  }
}

TEST_CASE("a node forwards a call to another node", "[calls]") {
  RawListener upstream_one;
  RawListener upstream_two;
  TestNode one("one", upstream_one);
  TestNode two("two", upstream_two);
  one.AddMember(two.self);
  RawConnection caller = one.ConnectCaller();

  SECTION("the upstream of the other node responds") {
    caller.Write(MakeRequest("POST", "/reserve", {}, "slot"));
    RawConnection upstream_peer = upstream_two.Accept();
    const std::string request = upstream_peer.ReadRequest();
    CHECK(request.ends_with("slot"));
    CHECK_FALSE(Contains(request, "x-verbena-attempt-id"));
    upstream_peer.Write(MakeResponse("reserved"));
    const std::string answer = caller.ReadUntil("reserved");
    CHECK_FALSE(Contains(answer, "x-verbena-load"));
  }
  SECTION("the call is redirected when the other node is leaving") {
    two.loop.Call([&] { two.proxy->BeginLeaving(); });
    RawListener upstream_three;
    TestNode three("three", upstream_three);
    caller.Write(MakeRequest("POST", "/reserve"));
    // The third node becomes known only after the leaving node has refused the
    // call, so the first attempt always goes to the leaving node.
    while (two.CounterValue("upstream_refused_total") == 0) {
      std::this_thread::yield();
    }
    one.AddMember(three.self);
    RawConnection upstream_peer = upstream_three.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write(MakeResponse("reserved"));
    CHECK(caller.ReadUntil("reserved").ends_with("reserved"));
    CHECK_FALSE(upstream_two.TryAccept());
  }
  SECTION("a caller disconnect propagates through both nodes") {
    caller.Write(MakeRequest("POST", "/reserve"));
    RawConnection upstream_peer = upstream_two.Accept();
    upstream_peer.ReadRequest();
    caller.Close();
    CHECK(upstream_peer.AtEnd());
  }
  SECTION("a duplicate attempt is rejected") {
    const std::string copy = MakeRequest(
        "POST", "/reserve",
        "x-verbena-target: two\r\nx-verbena-deadline-ms: 10000\r\n"
        "x-verbena-attempt-id: 00000000000000010000000000000002\r\n");
    RawConnection peer = two.ConnectPeer();
    peer.Write(copy);
    RawConnection upstream_peer = upstream_two.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write(MakeResponse("reserved"));
    peer.ReadUntil("reserved");
    peer.Write(copy);
    const std::string answer = peer.ReadUntil("\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 409"));
    CHECK(Contains(answer, "x-verbena-outcome: unknown"));
    CHECK(two.CounterValue("duplicate_attempts_total") == 1);
  }
  SECTION("a call addressed to another node is refused as not run") {
    RawConnection peer = two.ConnectPeer();
    peer.Write(MakeRequest("POST", "/reserve", "x-verbena-target: three\r\n"));
    const std::string answer = peer.ReadUntil("\r\n\r\n");
    CHECK(Contains(answer, "x-verbena-outcome: not-run"));
    CHECK(Contains(answer, "x-verbena-leaving: 1"));
  }
}

TEST_CASE("only repeatable calls are retried after a failure", "[calls]") {
  RawListener upstream;
  TestNode node("one", upstream);
  node.AddMember(node.self);
  RawConnection caller = node.ConnectCaller();
  const std::string failure =
      "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";

  SECTION("a failed repeatable call is retried") {
    caller.Write(MakeRequest("GET", "/reads/1"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write(failure);
    RawConnection retry = upstream.Accept();
    retry.ReadRequest();
    retry.Write(MakeResponse("score"));
    CHECK(caller.ReadUntil("score").starts_with("HTTP/1.1 200"));
  }
  SECTION("a repeatable call without remaining attempts is not retried") {
    caller.Write(
        MakeRequest("GET", "/reads/1", "x-verbena-attempts-left: 0\r\n"));
    RawConnection upstream_peer = upstream.Accept();
    CHECK(Contains(upstream_peer.ReadRequest(), "x-verbena-attempts-left: 0"));
    upstream_peer.Write(failure);
    CHECK(caller.ReadUntil("busy").starts_with("HTTP/1.1 503"));
    CHECK_FALSE(upstream.TryAccept());
  }
  SECTION("a failed non-repeatable call is not retried") {
    caller.Write(MakeRequest("POST", "/reserve"));
    RawConnection upstream_peer = upstream.Accept();
    upstream_peer.ReadRequest();
    upstream_peer.Write(failure);
    CHECK(caller.ReadUntil("busy").starts_with("HTTP/1.1 503"));
    CHECK_FALSE(upstream.TryAccept());
  }
}

// Two nodes, one caller and one upstream: what the caller gets of a response.
std::string PassOn(const RawResponse& response, bool through_peer) {
  RawListener upstream;
  RawListener unused;
  TestNode one("one", through_peer ? unused : upstream);
  TestNode two("two", upstream);
  one.AddMember(through_peer ? two.self : one.self);
  RawConnection caller = one.ConnectCaller();
  caller.Write(MakeRequest("POST", "/reserve", "Connection: close\r\n"));
  RawConnection upstream_peer = upstream.Accept();
  upstream_peer.ReadRequest();
  upstream_peer.Write(response.bytes);
  upstream_peer.Close();
  return caller.ReadAll();
}

// Guards against a broken response that reaches a caller as one (issue 54).
TEST_CASE("a node passes on valid responses only", "[calls][broken-response]") {
  const bool through_peer = GENERATE(false, true);

  SECTION("one that is not valid") {
    const RawResponse broken = GENERATE(from_range(MakeBrokenResponses({})));
    CAPTURE(broken.name, through_peer);
    const std::string answer = PassOn(broken, through_peer);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(Contains(answer, kBrokenBody));
  }
  SECTION("one whose chunks are not valid") {
    const RawResponse broken = GENERATE(from_range(MakeInvalidChunks({})));
    CAPTURE(broken.name, through_peer);
    CHECK_FALSE(PassOn(broken, through_peer).ends_with("0\r\n\r\n"));
  }
  SECTION("one that is valid, of an unusual form") {
    const RawResponse unusual = GENERATE(from_range(MakeUnusualResponses({})));
    CAPTURE(unusual.name, through_peer);
    const std::string answer = PassOn(unusual, through_peer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(Contains(answer, kWholeBody));
  }
}

TEST_CASE("an unreachable upstream is reported as not run", "[calls]") {
  std::optional<RawListener> upstream(std::in_place);
  TestNode node("one", *upstream);
  node.AddMember(node.self);
  upstream.reset();
  RawConnection caller = node.ConnectCaller();
  caller.Write(MakeRequest("POST", "/reserve"));
  const std::string answer = caller.ReadUntil("\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Contains(answer, "x-verbena-outcome: not-run"));
}

TEST_CASE("a slow reader of a long response pauses the upstream", "[calls]") {
  constexpr std::size_t kSize = 64'000'000;  // More than sockets can buffer.
  RawListener upstream;
  TestNode node("one", upstream);
  node.AddMember(node.self);
  RawConnection caller = node.ConnectCaller();
  caller.Write(MakeRequest("GET", "/film"));
  RawConnection upstream_peer = upstream.Accept();
  upstream_peer.ReadRequest();
  upstream_peer.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(kSize) + "\r\n\r\n");
  std::atomic<std::size_t> written = 0;
  std::thread writer([&] {
    const std::string part(100'000, 'x');
    while (written < kSize) {
      upstream_peer.Write(part);
      written += part.size();
    }
  });
  caller.ReadUntil("\r\n\r\n");
  // The caller does not read, so the upstream must block before the end.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(written < kSize);
  CHECK(caller.ReadBytes(kSize).size() == kSize);
  writer.join();
}

TEST_CASE("requests that cannot be forwarded are detected", "[calls]") {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  CHECK(FindRequestFault(request).empty());
  SECTION("an absolute URL as the target") {
    request.target = "http://other/";
  }
  SECTION("a CONNECT request") {
    request.method = "CONNECT";
  }
  SECTION("two Host headers") {
    request.headers = {{"Host", "a"}, {"host", "b"}};
  }
  SECTION("two Content-Length headers") {
    request.headers = {{"Content-Length", "1"}, {"content-length", "1"}};
  }
  SECTION("a transfer encoding other than chunked") {
    request.headers = {{"Transfer-Encoding", "gzip, chunked"}};
  }
  CHECK_FALSE(FindRequestFault(request).empty());
}

}  // namespace verbenastile
