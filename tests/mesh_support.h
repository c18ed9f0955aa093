// Two nodes with a link between them, whose instances are raw sockets, for
// tests that follow a request from its caller to an instance.
#ifndef TESTS_MESH_SUPPORT_H_
#define TESTS_MESH_SUPPORT_H_

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <thread>

#include "core/node_charts.h"
#include "mesh/outbound_proxy.h"
#include "net_support.h"
#include "platform/wire_names.h"
#include "support.h"

namespace verbenastile {

constexpr std::uint32_t kMeshSlots = 4;

// "/safe/" may be repeated, "/unsafe/" may not.
inline RuleDocument MakeMeshDocument() {
  RuleDocument document;
  document.services = {{"wallet", {}, {}}};
  for (const char* name : {"safe", "unsafe"}) {
    Rule rule;
    rule.id = name;
    rule.match.path_prefix = fmt::format("/{}/", name);
    RouteAction action;
    action.targets = {{"wallet", 1}};
    action.repeatable = rule.id == "safe";
    action.retries = 1;
    action.objective = std::chrono::milliseconds(100);
    rule.action = std::move(action);
    document.rules.push_back(std::move(rule));
  }
  return document;
}

// A node with its instance; callers use the outbound proxy of one of them.
struct MeshNode {
  // `links_at`: where other nodes reach it; port 0: nowhere. `serves`: its
  // instance takes calls.
  MeshNode(asio::io_context& io,
           std::string name,
           const SocketAddress& links_at,
           bool serves)
      : charts(MustSucceed([] { return LoadNodeCharts(); })),
        applier(&charts.config_apply, 7),
        tracker(listener.address(), "wallet"),
        registry(name),
        sender(io, {}) {
    InboundProxy::Init gate;
    gate.io = &io;
    gate.tracker = &tracker;
    gate.metrics = &metrics;
    gate.headers = platform::kCallHeaders;
    gate.configuration = [] { return PeerConfiguration{1, std::nullopt}; };
    gate.leaving_start_period = [] { return std::chrono::milliseconds(800); };
    gate.on_unreachable = [] {};
    gate.on_leaving = [] {};
    gate.link = [] { return LinkState{}; };
    gate.node_name = name;
    gate.suspects = &suspects;
    gate.may_try = [](std::string_view, const Digest&) { return true; };
    gate.on_crash_evidence = [](const std::vector<CrashEvidence>&) {};
    inbound = std::make_unique<InboundProxy>(gate);
    LinkHub::Init hub;
    hub.io = &io;
    hub.address = links_at;
    hub.member_registry = &registry;
    hub.gate = inbound.get();
    hub.sender = &sender;
    hub.self = [this] { return record; };
    hub.configuration = gate.configuration;
    hub.on_response = [this](std::string_view member, LinkFrame frame) {
      outbound->OnLinkFrame(member, std::move(frame));
    };
    hub.on_link_down = [this](std::string_view member,
                              const std::vector<CallId>& unsent) {
      outbound->OnLinkDown(member, unsent);
    };
    hub.on_link_silent = [this](std::string_view member) {
      outbound->OnLinkSilent(member);
    };
    hub.on_load = [this](std::string_view member, const GateLoad& load) {
      outbound->OnLoad(member, load);
    };
    hub.on_member_record = [](const MemberRecord&) {};
    hub.instance_notice = [this](std::string_view) { return instance_notice; };
    hub.crash_evidence = [] { return std::vector<CrashEvidence>(); };
    links = std::make_unique<LinkHub>(hub);
    OutboundProxy::Init init;
    init.io = &io;
    init.node_name = name;
    init.failure_domain = "a";
    init.region = "r";
    init.applier = &applier;
    init.member_registry = &registry;
    init.health_chart = &charts.upstream_health;
    init.inbound_proxy = inbound.get();
    init.links = links.get();
    init.suspects = &suspects;
    init.on_crash_evidence = gate.on_crash_evidence;
    init.metrics = &metrics;
    init.headers = platform::kCallHeaders;
    init.allowance.ratio_permille = 100'000;
    init.caller_service = [] { return std::string("plaza"); };
    outbound = std::make_unique<OutboundProxy>(init);
    applier.Offer(1, MakeMeshDocument());
    record.member.peer_address = links_at;
    Describe(std::move(name));
    if (serves) {
      ReportInstance();
    }
    if (links_at.port != 0) {
      REQUIRE(links->Open().empty());
    }
  }

  void Describe(std::string name) {
    record.instance = "i-" + name;
    record.member.name = std::move(name);
    record.member.incarnation = 1;
    record.member.failure_domain = "a";
    record.member.region = "r";
    record.member.service = "wallet";
    record.member.slots = kMeshSlots;
  }

  void ReportInstance() {
    InstanceReport report;
    report.id = record.instance;
    report.service = record.member.service;
    report.address = listener.address();
    report.slots = record.member.slots;
    report.sequence = 1;
    tracker.OnReport(report, SteadyNow());
    inbound->OnInstanceChanged();
    registry.Merge(record, SteadyNow());
  }

  RawListener listener;
  Metrics metrics;
  NodeCharts charts;
  ConfigApplier applier;
  InstanceTracker tracker;
  CrashSuspects suspects;
  MemberRegistry registry;
  PacedSender sender;
  MemberRecord record;
  // What is told to nodes that link to this one.
  std::optional<InstanceNotice> instance_notice;
  std::unique_ptr<InboundProxy> inbound;
  std::unique_ptr<LinkHub> links;
  std::unique_ptr<OutboundProxy> outbound;
};

// A request that an instance has received.
struct Received {
  RawConnection connection;
  bool near = false;
};

// Two nodes, each on its own event loop; the callers are beside "near".
struct Mesh {
  // `near_serves`: calls may also run at the instance of "near".
  explicit Mesh(bool near_serves = true) {
    RawListener reserved;
    const SocketAddress address = reserved.address();
    reserved.Close();
    far_loop.Call([&] {
      far = std::make_unique<MeshNode>(far_loop.io, "far", address, true);
      return 0;
    });
    loop.Call([&] {
      near = std::make_unique<MeshNode>(loop.io, "near", SocketAddress(),
                                        near_serves);
      near->registry.Merge(far->record, SteadyNow());
      near->links->UpdateLinks();
      callers = std::make_unique<Http1Server>(
          loop.io, [this](ExchangePointer exchange) {
            near->outbound->OnRequest(std::move(exchange));
          });
      return 0;
    });
    REQUIRE(loop.Call([&] { return callers->Open({kTestIp, 0}); }).empty());
    while (loop.Call([&] { return near->links->open_links(); }) == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  ~Mesh() {
    loop.Call([this] {
      callers.reset();
      near.reset();
      return 0;
    });
    far_loop.Call([this] {
      far.reset();
      return 0;
    });
  }

  RawConnection Ask(std::string_view path) {
    auto caller = RawConnection::ConnectTo(client_io, callers->address());
    caller.Write(
        fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Attempt-Id: r1\r\nConnection: close\r\n\r\n",
                    path));
    return caller;
  }
  // The next request that either instance gets within `wait`.
  std::optional<Received> Receive(Duration wait = std::chrono::seconds(20)) {
    for (const Time end = SteadyNow() + wait; SteadyNow() < end;) {
      for (MeshNode* node : {near.get(), far.get()}) {
        if (auto connection = node->listener.TryAccept()) {
          connection->ReadRequest();
          return Received{std::move(*connection), node == near.get()};
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return std::nullopt;
  }
  static void Answer(Received& request) {
    request.connection.Write(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: r1\r\n"
        "Connection: close\r\nContent-Length: 2\r\n\r\nok");
  }
  // Four of 62 requests are late. The instances are warm at the end of it.
  void LearnTimes(std::string_view path) {
    for (int i = 0; i < 62; ++i) {
      RawConnection caller = Ask(path);
      auto request = Receive();
      REQUIRE(request);
      std::this_thread::sleep_for(std::chrono::milliseconds(i < 4 ? 300 : 0));
      Answer(*request);
      REQUIRE(caller.ReadAll().find("200 OK") != std::string::npos);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  std::uint64_t Count(std::string_view counter) {
    return loop.Call(
        [&] { return near->metrics.value(near->metrics.Counter(counter)); });
  }

  asio::io_context client_io;
  LoopThread loop;  // Of "near" and the callers' connections.
  LoopThread far_loop;
  std::unique_ptr<MeshNode> near;
  std::unique_ptr<MeshNode> far;
  std::unique_ptr<Http1Server> callers;
};

// A call to the instance of a mesh's node.
inline LinkFrame MakeGateCall(CallId id, bool idempotent) {
  GateCall call;
  call.service = "wallet";
  call.caller_service = "plaza";
  call.request_id = fmt::format("r{}", id);
  call.rule = idempotent ? "safe" : "unsafe";
  call.method = idempotent ? "GET" : "POST";
  call.target = "/safe/a";
  call.headers = {{"Host", "a.example"}, {"X-Attempt-Id", call.request_id}};
  call.remaining = std::chrono::seconds(10);
  call.objective = std::chrono::seconds(5);
  call.idempotent = idempotent;
  return {id, std::move(call)};
}

// A node that the test plays, with a link to the node at `address`.
struct PlayedNode {
  PlayedNode(asio::io_context& io, const SocketAddress& address)
      : connection(RawConnection::ConnectTo(io, address)) {
    SendHello();
  }
  explicit PlayedNode(RawConnection connected)
      : connection(std::move(connected)) {}

  void SendHello() {
    MemberRecord record;
    record.member.name = "played";
    record.member.incarnation = 1;
    Send({0, LinkHello{record, {}}});
  }
  void Send(const LinkFrame& frame) {
    std::string bytes;
    writer.Append(frame, bytes);
    connection.Write(bytes);
  }
  // Reads the next frame. Returns nothing if the link ends first, or if none
  // comes in time.
  std::optional<LinkFrame> TryRead() {
    while (true) {
      auto next = reader.Next();
      auto& frame = std::get<std::optional<LinkFrame>>(next);
      if (frame) {
        return std::move(frame);
      }
      const std::string byte = connection.ReadBytes(1);
      if (byte.empty()) {
        return std::nullopt;
      }
      reader.Append(byte.data(), 1);
    }
  }
  // Reads frames until the response to a call.
  GateResponse ReadResponse() {
    while (true) {
      auto frame = TryRead();
      REQUIRE(frame);
      if (std::holds_alternative<GateResponse>(frame->body)) {
        return std::get<GateResponse>(std::move(frame->body));
      }
    }
  }

  RawConnection connection;
  SmallTextDeltas deltas;
  LinkReader reader{&deltas};
  LinkWriter writer{&deltas};
};

}  // namespace verbenastile

#endif  // TESTS_MESH_SUPPORT_H_
