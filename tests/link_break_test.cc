// Tests what callers are told when the link to an instance's node breaks.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "core/node_charts.h"
#include "mesh/outbound_proxy.h"
#include "net_support.h"
#include "platform/wire_names.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;

MemberRecord Record(const char* name, const SocketAddress& peer_address) {
  MemberRecord record;
  record.member.name = name;
  record.member.incarnation = 1;
  record.member.failure_domain = "a";
  record.member.region = "r";
  record.member.service = "wallet";
  record.member.slots = 1;
  record.member.peer_address = peer_address;
  record.instance = "i-1";
  return record;
}

// The node of an instance, which the test plays.
struct FarNode {
  explicit FarNode(const char* node_name) : name(node_name) {}

  MemberRecord record() const { return Record(name, listener.address()); }
  void Accept() {
    connection.emplace(listener.Accept());
    Send({0, LinkHello{record(), {}}});
  }
  void Send(const LinkFrame& frame) {
    std::string bytes;
    writer.Append(frame, bytes);
    connection->Write(bytes);
  }
  // Reads frames until one of the type, and returns its call.
  template <typename Body = GateCall>
  CallId ReadCall() {
    while (true) {
      const auto next = reader.Next();
      const auto& frame = std::get<std::optional<LinkFrame>>(next);
      if (frame && std::holds_alternative<Body>(frame->body)) {
        return frame->call;
      }
      if (!frame) {
        const std::string byte = connection->ReadBytes(1);
        REQUIRE(byte.size() == 1);
        reader.Append(byte.data(), 1);
      }
    }
  }

  const char* name;
  RawListener listener;
  SmallTextDeltas deltas;
  LinkReader reader{&deltas};
  LinkWriter writer{&deltas};
  std::optional<RawConnection> connection;
};

// The node of the callers, and one with an instance.
struct BreakFixture {
  BreakFixture()
      : charts(MustSucceed([] { return LoadNodeCharts(); })),
        applier(&charts.config_apply, 7),
        registry("near"),
        sender(loop.io, {}) {
    loop.Call([this] { Open(); });
    Add(far);
  }
  ~BreakFixture() {
    loop.Call([this] {
      callers.reset();
      outbound.reset();
      links.reset();
      inbound.reset();
    });
  }

  void Open() {
    RuleDocument document;
    document.services = {{"wallet", {}, {}}};
    Rule rule;
    rule.id = "pay";
    rule.match.path_prefix = "/";
    RouteAction action;
    action.targets = {{"wallet", 1}};
    rule.action = action;
    document.rules.push_back(rule);
    applier.Offer(1, std::move(document));
    OpenInbound();
    OpenLinks();
    OpenOutbound();
  }

  void Add(FarNode& node) {
    const std::size_t known = loop.Call([&] {
      registry.Merge(node.record(), SteadyNow());
      links->UpdateLinks();
      return links->open_links();
    });
    node.Accept();
    while (loop.Call([&] { return links->open_links(); }) == known) {
      std::this_thread::yield();
    }
  }

  void OpenInbound() {
    InboundProxy::Init init;
    init.io = &loop.io;
    init.tracker = &tracker;
    init.metrics = &metrics;
    init.headers = platform::kCallHeaders;
    init.configuration = [] { return PeerConfiguration(); };
    init.link = [] { return LinkState{}; };
    init.node_name = "near";
    init.suspects = &suspects;
    inbound = std::make_unique<InboundProxy>(init);
  }

  void OpenLinks() {
    LinkHub::Init init;
    init.io = &loop.io;
    init.member_registry = &registry;
    init.gate = inbound.get();
    init.seed = 1;
    init.sender = &sender;
    init.self = [] { return Record("near", {}); };
    init.configuration = [] { return PeerConfiguration(); };
    init.on_response = [this](std::string_view member, LinkFrame frame) {
      outbound->OnLinkFrame(member, std::move(frame));
    };
    init.on_link_down = [this](std::string_view member,
                               const std::vector<CallId>& unsent) {
      outbound->OnLinkDown(member, unsent);
    };
    init.on_load = [](std::string_view, const GateLoad&) {};
    init.on_member_record = [](const MemberRecord&) {};
    init.crash_evidence = [] { return std::vector<CrashEvidence>(); };
    links = std::make_unique<LinkHub>(std::move(init));
  }

  void OpenOutbound() {
    OutboundProxy::Init init;
    init.io = &loop.io;
    init.node_name = "near";
    init.failure_domain = "a";
    init.region = "r";
    init.applier = &applier;
    init.member_registry = &registry;
    init.health_chart = &charts.upstream_health;
    init.inbound_proxy = inbound.get();
    init.links = links.get();
    init.suspects = &suspects;
    init.metrics = &metrics;
    init.headers = platform::kCallHeaders;
    init.caller_service = [] { return std::string("plaza"); };
    outbound = std::make_unique<OutboundProxy>(init);
    callers = std::make_unique<Http1Server>(
        loop.io, [this](ExchangePointer exchange) {
          outbound->OnRequest(std::move(exchange));
        });
    REQUIRE(callers->Open({kTestIp, 0}).empty());
  }

  // Sends a request that may not be repeated, and waits until it is passed to
  // the link.
  RawConnection Post(const std::string& body) {
    const std::size_t before = loop.Call([&] { return outbound->active(); });
    RawConnection caller =
        RawConnection::ConnectTo(client_io, callers->address());
    caller.Write(fmt::format("POST /x HTTP/1.1\r\nHost: a.example\r\n"
                             "X-Attempt-Id: r1\r\nConnection: close\r\n"
                             "Content-Length: {}\r\n\r\n",
                             body.size()) +
                 body);
    while (loop.Call([&] { return outbound->active(); }) == before) {
      std::this_thread::yield();
    }
    return caller;
  }

  asio::io_context client_io;
  FarNode far{"far"};
  LoopThread loop;
  Metrics metrics;
  NodeCharts charts;
  ConfigApplier applier;
  InstanceTracker tracker{SocketAddress(), "wallet"};
  CrashSuspects suspects;
  MemberRegistry registry;
  PacedSender sender;
  std::unique_ptr<InboundProxy> inbound;
  std::unique_ptr<LinkHub> links;
  std::unique_ptr<OutboundProxy> outbound;
  std::unique_ptr<Http1Server> callers;
};

SCENARIO("the link breaks under a request that may not be repeated") {
  BreakFixture fixture;

  GIVEN("a request that the other node has not received whole") {
    RawConnection caller = fixture.Post(std::string(20 * kMegabyte, 'x'));
    fixture.far.connection->Close();
    THEN("the caller is told that it has not run, and when to come back") {
      const std::string answer = caller.ReadAll();
      CHECK(answer.starts_with("HTTP/1.1 503"));
      CHECK(answer.find("Retry-After: ") != std::string::npos);
    }
  }
  GIVEN("a request that the other node has received") {
    RawConnection caller = fixture.Post("one ticket");
    fixture.far.ReadCall();
    fixture.far.connection->Close();
    THEN("the caller is not told that it has not run") {
      CHECK(caller.ReadAll().starts_with("HTTP/1.1 502"));
    }
  }
}

SCENARIO("calls avoid a member that may have vanished") {
  BreakFixture fixture;
  const auto suspect = [&](const char* name) {
    fixture.loop.Call([&] { fixture.links->SuspectSilence(name); });
  };
  suspect("far");
  GIVEN("another one") {
    FarNode other("other");
    fixture.Add(other);
    THEN("it gets all calls, also those that wait for its slot") {
      std::vector<RawConnection> callers;
      for (int i = 0; i < 4; ++i) {
        callers.push_back(fixture.Post("one ticket"));
        other.ReadCall();
      }
    }
  }
  GIVEN("no other one") {
    RawConnection caller = fixture.Post("one ticket");
    THEN("it gets the call") {
      fixture.far.ReadCall();
    }
  }
}

struct PeerResponse {
  const char* name = "";
  int status = 200;
  HttpHeaders headers;
};

// Guards against a head that a peer did not check, and callers get (rule MIXED;
// issue 54).
SCENARIO("a peer's response that is not valid reaches no caller") {
  const PeerResponse broken = GENERATE(values<PeerResponse>({
      {"status 0", 0, {}},
      {"an interim status", 103, {}},
      {"status 101", 101, {}},
      {"status 600", 600, {}},
      {"a blank in a name", 200, {{"X Name", "a"}}},
      {"an empty name", 200, {{"", "a"}}},
      {"a line end in a name", 200, {{"X-Name: a\r\nX-Other", "a"}}},
      {"a line end in a value", 200, {{"X-Name", "a\r\nX-Other: b"}}},
      {"a NUL in a value", 200, {{"X-Name", std::string(1, '\0')}}},
  }));
  const bool last = GENERATE(false, true);
  CAPTURE(broken.name, last);
  BreakFixture fixture;
  RawConnection caller = fixture.Post("one ticket");
  GateResponse response;
  const CallId id = fixture.far.ReadCall();
  response.status = broken.status;
  response.headers = broken.headers;
  response.body = "a part";
  response.last = last;
  fixture.far.Send({id, response});
  const std::string answer = caller.ReadAll();
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.find("a part") == std::string::npos);
  if (!last) {
    CHECK(fixture.far.ReadCall<LinkCancel>() == id);
  }
  THEN("the link goes on") {
    RawConnection next = fixture.Post("one ticket");
    GateResponse whole;
    whole.status = 200;
    whole.body = "whole";
    whole.last = true;
    fixture.far.Send({fixture.far.ReadCall(), whole});
    CHECK(next.ReadAll().ends_with("whole"));
  }
}

SCENARIO("a peer's response that is longer than its length is cut") {
  BreakFixture fixture;
  RawConnection caller = fixture.Post("one ticket");
  const CallId id = fixture.far.ReadCall();
  GateResponse response;
  response.status = 200;
  response.length = 2 * kMegabyte;
  response.body = std::string(2 * kMegabyte, 'x');
  fixture.far.Send({id, response});
  const std::string head = caller.ReadUntil("\r\n\r\n");
  CHECK(head.find("Content-Length: 2000000\r\n") != std::string::npos);
  REQUIRE(caller.ReadBytes(2 * kMegabyte).size() == 2 * kMegabyte);
  fixture.far.Send({id, GateResponseChunk{"HTTP/1.1 200 OK\r\n\r\n", false}});
  CHECK(caller.AtEnd());
  CHECK(fixture.far.ReadCall<LinkCancel>() == id);
}

}  // namespace
}  // namespace verbenastile
