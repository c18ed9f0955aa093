// Tests what the outbound proxy does with the keys of callers, against an
// instance that is simulated on a raw socket.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "base/text.h"
#include "core/node_charts.h"
#include "mesh/outbound_proxy.h"
#include "net_support.h"
#include "platform/wire_names.h"
#include "support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kKey = "5mgjy5rcpihhacrudded";

// "/open/" needs no key. `groups` have keys if there are any.
RuleDocument MakeDocument(std::vector<Group> groups) {
  RuleDocument document;
  document.services = {{"wallet", {}, {}}};
  document.callers_need_keys = !groups.empty();
  document.groups = std::move(groups);
  for (const char* name : {"open", "shut"}) {
    Rule rule;
    rule.id = name;
    rule.match.path_prefix = fmt::format("/{}/", name);
    RouteAction action;
    action.targets = {{"wallet", 1}};
    action.repeatable = true;
    action.retries = 1;
    action.needs_key = rule.id == "shut";
    rule.action = std::move(action);
    document.rules.push_back(std::move(rule));
  }
  return document;
}

Group MakeGroup(std::string name, std::vector<std::string> keys) {
  Group group;
  group.name = std::move(name);
  group.keys = std::move(keys);
  return group;
}

std::vector<Group> Lorries(std::string_view key = kKey) {
  return {MakeGroup("lorries", {std::string(key)})};
}

// One node with its instance.
struct NodeFixture {
  explicit NodeFixture(std::vector<Group> groups)
      : charts(MustSucceed([] { return LoadNodeCharts(); })),
        applier(&charts.config_apply, 7),
        tracker(listener.address(), "wallet"),
        registry("node") {
    Apply(std::move(groups));
    loop.Call([this] {
      Open();
      return 0;
    });
  }
  ~NodeFixture() {
    loop.Call([this] {
      callers.reset();
      outbound.reset();
      inbound.reset();
      return 0;
    });
  }

  void Apply(std::vector<Group> groups) {
    loop.Call([&] {
      applier.Offer(++generation, MakeDocument(std::move(groups)));
      return 0;
    });
  }

  void Open() {
    InboundProxy::Init gate;
    gate.io = &loop.io;
    gate.tracker = &tracker;
    gate.metrics = &metrics;
    gate.headers = platform::kCallHeaders;
    gate.configuration = [] { return PeerConfiguration{1, std::nullopt}; };
    gate.leaving_start_period = [] { return milliseconds(800); };
    gate.on_unreachable = [] {};
    gate.on_leaving = [] {};
    gate.link = [] { return LinkState{}; };
    gate.node_name = "node";
    gate.suspects = &suspects;
    gate.may_try = [](std::string_view, const Digest&) { return true; };
    gate.on_crash_evidence = [](const std::vector<CrashEvidence>&) {};
    inbound = std::make_unique<InboundProxy>(gate);
    OutboundProxy::Init init;
    init.io = &loop.io;
    init.node_name = "node";
    init.failure_domain = "a";
    init.region = "r";
    init.applier = &applier;
    init.member_registry = &registry;
    init.health_chart = &charts.upstream_health;
    init.inbound_proxy = inbound.get();
    init.suspects = &suspects;
    init.on_crash_evidence = [](const std::vector<CrashEvidence>&) {};
    init.metrics = &metrics;
    init.headers = platform::kCallHeaders;
    init.allowance.ratio_permille = 100'000;
    init.caller_service = [] { return std::string("plaza"); };
    init.configuration_belief = [this] { return belief; };
    init.key_limits = [this] { return limits; };
    outbound = std::make_unique<OutboundProxy>(init);
    callers = std::make_unique<Http1Server>(
        loop.io, [this](ExchangePointer exchange) {
          outbound->OnRequest(std::move(exchange));
        });
    REQUIRE(callers->Open({kTestIp, 0}).empty());
    ReportInstance();
  }

  void ReportInstance() {
    InstanceReport report;
    report.id = "i-1";
    report.service = "wallet";
    report.address = listener.address();
    report.slots = 1;
    report.sequence = 1;
    tracker.OnReport(report, SteadyNow());
    inbound->OnInstanceChanged();
    MemberRecord record;
    record.member.name = "node";
    record.member.incarnation = 1;
    record.member.failure_domain = "a";
    record.member.region = "r";
    record.member.service = "wallet";
    record.member.slots = 1;
    record.instance = "i-1";
    registry.Merge(record, SteadyNow());
  }

  RawConnection Connect() {
    return RawConnection::ConnectTo(client_io, callers->address());
  }
  // The answer to a request with `headers`, which no instance gets.
  std::string Refused(std::string_view path, std::string_view headers) {
    RawConnection caller = Connect();
    Ask(caller, path, headers);
    std::string answer = caller.ReadAll();
    CHECK_FALSE(listener.TryAccept().has_value());
    return answer;
  }
  static void Ask(RawConnection& caller,
                  std::string_view path,
                  std::string_view headers) {
    caller.Write(
        fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Attempt-Id: r1\r\n{}Connection: close\r\n\r\n",
                    path, headers));
  }
  // The request as the instance gets it.
  std::string Sent(std::string_view path, std::string_view headers) {
    RawConnection caller = Connect();
    Ask(caller, path, headers);
    RawConnection instance = listener.Accept();
    std::string request = instance.ReadRequest();
    instance.Write(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: r1\r\n"
        "Connection: close\r\nContent-Length: 2\r\n\r\nok");
    CHECK(caller.ReadAll().find("200 OK") != std::string::npos);
    return request;
  }

  asio::io_context client_io;
  RawListener listener;
  LoopThread loop;
  Metrics metrics;
  NodeCharts charts;
  Generation generation = 0;
  ConfigApplier applier;
  InstanceTracker tracker;
  CrashSuspects suspects;
  MemberRegistry registry;
  ConfigurationBelief belief;
  KeyLimits limits;
  std::unique_ptr<InboundProxy> inbound;
  std::unique_ptr<OutboundProxy> outbound;
  std::unique_ptr<Http1Server> callers;
};

std::string Credentials(std::string_view key = kKey) {
  return fmt::format("Authorization: Token {}\r\n", key);
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

bool HasStatus(std::string_view answer, int status) {
  return answer.starts_with(fmt::format("HTTP/1.1 {} ", status));
}

SCENARIO("the key ends at the first node, which names the group") {
  NodeFixture node(Lorries());

  GIVEN("requests with the group's key, however it is written") {
    for (const std::string& headers :
         {Credentials(), fmt::format("authorization: tOKEN  {} \r\n", kKey),
          Credentials() + "X-Tenant: cars\r\nx-tenant: \r\n",
          "Connection: X-Tenant, Authorization\r\n" + Credentials()}) {
      const std::string request = node.Sent("/shut/x", headers);
      CHECK(Contains(request, "X-Tenant: lorries\r\n"));
      CHECK_FALSE(Contains(request, kKey));
      CHECK_FALSE(Contains(ToLower(request), "authorization"));
      CHECK_FALSE(Contains(request, "cars"));
      CHECK(ToLower(request).find("x-tenant") ==
            ToLower(request).rfind("x-tenant"));
    }
  }
  GIVEN("a request without a key on a rule that needs none") {
    THEN("it names no group, whatever the caller said") {
      const std::string request =
          node.Sent("/open/x", "X-Tenant: lorries\r\nX-Other: 1\r\n");
      CHECK_FALSE(Contains(ToLower(request), "x-tenant"));
      CHECK(Contains(request, "X-Other: 1\r\n"));
    }
    THEN("an unknown key, or another scheme, does not reach the instance") {
      const std::string request = node.Sent("/open/x", Credentials("stolen"));
      CHECK_FALSE(Contains(request, "stolen"));
      CHECK_FALSE(
          Contains(node.Sent("/open/x",
                             fmt::format("Authorization: Bearer {}\r\n", kKey)),
                   kKey));
    }
  }
  GIVEN("requests without a key that is known") {
    const std::string twice = Credentials() + Credentials();
    const std::string huge = Credentials(std::string(10'000, 'k'));
    const std::string refused[] = {
        "",
        "Authorization:\r\n",
        "Authorization: Token\r\n",
        "Authorization: Bearer " + std::string(kKey) + "\r\n",
        Credentials("stolen"),
        twice,
        huge};
    for (const std::string& headers : refused) {
      const std::string answer = node.Refused("/shut/x", headers);
      CHECK(HasStatus(answer, 401));
      CHECK(Contains(answer, "WWW-Authenticate: Token\r\n"));
      CHECK_FALSE(Contains(answer, kKey));
    }
    THEN("each outcome is counted") {
      const auto count = [&](std::string_view outcome) {
        return node.loop.Call([&] {
          return node.metrics.value(node.metrics.Counter(
              fmt::format("group_requests_total{{key=\"{}\"}}", outcome)));
        });
      };
      CHECK(count("no_key") == 5);
      CHECK(count("unknown_key") == 2);
    }
  }
}

SCENARIO("headers for keys are the application's own where groups have none") {
  NodeFixture node({});
  const std::string request =
      node.Sent("/shut/x", Credentials("own") + "X-Tenant: own\r\n");
  CHECK(Contains(request, "Authorization: Token own\r\n"));
  CHECK(Contains(request, "X-Tenant: own\r\n"));
}

SCENARIO("keys are added and withdrawn while a connection is kept") {
  NodeFixture node(Lorries());
  RawConnection caller = node.Connect();
  const auto ask = [&](std::string_view key) {
    caller.Write(
        fmt::format("GET /shut/x HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Attempt-Id: r1\r\n{}\r\n",
                    Credentials(key)));
  };
  ask("next");
  REQUIRE(Contains(caller.ReadRequest(), "401"));

  GIVEN("a peer that has a newer configuration") {
    node.loop.Call([&] {
      node.belief.behind = milliseconds(10);
      return 0;
    });
    ask("next");
    THEN("the caller is told when to come back") {
      const std::string answer = caller.ReadRequest();
      CHECK(HasStatus(answer, 503));
      CHECK(Contains(answer, "Retry-After: 0.500\r\n"));
    }
  }
  GIVEN("a configuration with another key in place of the first") {
    node.Apply(Lorries("next"));
    ask("next");
    RawConnection instance = node.listener.Accept();
    CHECK(Contains(instance.ReadRequest(), "X-Tenant: lorries\r\n"));
    instance.Write(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: r1\r\n"
        "Content-Length: 2\r\n\r\nok");
    CHECK(HasStatus(caller.ReadRequest(), 200));
    ask(kKey);
    CHECK(HasStatus(caller.ReadRequest(), 401));
  }
  GIVEN("a node that has been cut off from the store for too long") {
    node.loop.Call([&] {
      node.limits.fail_closed = true;
      node.belief.age = node.limits.revoke_period;
      return 0;
    });
    ask(kKey);
    THEN("the request is refused as not run") {
      CHECK(HasStatus(caller.ReadRequest(), 503));
    }
  }
}

// Guards against 404 and 401 by an older configuration: a node that knew of a
// newer one answered 404 by the one it had, and one without a confirmation of
// the store went on to do so for 12 s, whatever the deployment's bound.
SCENARIO("a request is not rejected by a configuration that may be outdated") {
  NodeFixture node(Lorries());
  node.limits.apply_period = milliseconds(2'500);
  const auto believe = [&](const ConfigurationBelief& belief) {
    node.loop.Call([&] {
      node.belief = belief;
      return 0;
    });
  };
  const std::string unknown_key = Credentials("next");

  GIVEN("a configuration that was confirmed within the bound") {
    believe({milliseconds(2'400), std::nullopt});
    CHECK(HasStatus(node.Refused("/none/x", ""), 404));
    CHECK(HasStatus(node.Refused("/shut/x", unknown_key), 401));
  }
  GIVEN("a configuration that was last confirmed before the bound") {
    believe({milliseconds(2'500), std::nullopt});
    for (const char* path : {"/none/x", "/shut/x"}) {
      const std::string answer = node.Refused(path, unknown_key);
      CHECK(HasStatus(answer, 503));
      CHECK(Contains(answer, "Retry-After: 0.500\r\n"));
    }
    THEN("what it allows is sent") {
      node.Sent("/shut/x", Credentials());
    }
  }
  GIVEN("a peer that has a newer configuration") {
    believe({milliseconds(10), milliseconds(10)});
    for (const char* path : {"/none/x", "/shut/x"}) {
      const std::string answer = node.Refused(path, unknown_key);
      CHECK(HasStatus(answer, 503));
      CHECK(Contains(answer, "Retry-After: 0.500\r\n"));
    }
  }
}

SCENARIO("a key is withdrawn while its request is at an instance") {
  NodeFixture node(Lorries());
  RawConnection caller = node.Connect();
  NodeFixture::Ask(caller, "/shut/x", Credentials());
  RawConnection instance = node.listener.Accept();
  instance.ReadRequest();
  node.Apply(Lorries("next"));

  WHEN("the instance has not run it") {
    instance.Write(
        "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: r1\r\n"
        "Content-Length: 0\r\n\r\n");
    THEN("it is not sent once more") {
      const std::string answer = caller.ReadAll();
      CHECK(HasStatus(answer, 401));
      CHECK(Contains(answer, "the key is unknown"));
    }
  }
  WHEN("the instance may have run it") {
    instance.Close();
    THEN("the caller is not told that it has not run") {
      CHECK(HasStatus(caller.ReadAll(), 502));
    }
  }
  WHEN("the instance answers") {
    instance.Write(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: r1\r\n"
        "Content-Length: 2\r\n\r\nok");
    THEN("the caller gets the answer") {
      CHECK(HasStatus(caller.ReadAll(), 200));
    }
  }
}

}  // namespace
}  // namespace verbenastile
