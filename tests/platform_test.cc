#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/route_table.h"
#include "platform/bounds.h"
#include "platform/configuration.h"
#include "platform/control_call.h"
#include "platform/member_object.h"
#include "support.h"

namespace verbenastile::platform {
namespace {

using nlohmann::json;

json ConfigurationSpec() {
  return json::parse(R"({
    "version": "0000001f",
    "routes": {
      "wide": {"host": "A.example", "path_prefix": "/p/", "kind": "safe",
               "timeout_ms": 1200, "target_latency_ms": 300, "priority": 2,
               "service": "booking", "max_attempts": 2},
      "narrow": {"host": "a.example", "path_prefix": "/p/q/", "kind": "unsafe",
                 "timeout_ms": 800, "target_latency_ms": 400, "priority": 1,
                 "weighted_services": [{"service": "booking", "weight": 90},
                                       {"service": "library", "weight": 10}],
                 "max_attempts": 1}},
    "services": {"booking": {"health_path": "/health"}, "library": {}},
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");
}

const RouteAction& RouteOf(const Rule* rule) {
  return std::get<RouteAction>(rule->action);
}

SCENARIO("the platform's configuration is converted to ordered rules") {
  GIVEN("a valid configuration") {
    auto parsed = ParseConfiguration(ConfigurationSpec().dump());
    auto& configuration = std::get<Configuration>(parsed);
    CHECK(configuration.generation == 31);
    CHECK(configuration.limits.message.max_body_bytes == 1'000);
    CHECK(configuration.limits.idle_timeout == std::chrono::seconds(15));
    const RouteTable table = MustSucceed([&] {
      return RouteTable::Compile(configuration.generation,
                                 configuration.document);
    });
    const auto decide = [&](const char* host, const char* path) {
      RequestView view;
      view.host = host;
      view.path = path;
      view.method = "GET";
      return table.FindRule(view);
    };
    THEN("a quota below one request a second is a quota") {
      auto spec = ConfigurationSpec();
      spec["tenants"] = {{"small", {{"rate_per_s", 0.8}, {"burst", 1.5}}}};
      const auto quotas = ParseConfiguration(spec.dump());
      const auto& groups = std::get<Configuration>(quotas).document.groups;
      REQUIRE(groups.size() == 1);
      CHECK(groups[0].requests == RequestQuota{0.8, 1.5});
    }
    THEN("the rule with the longest matching prefix of the host applies") {
      CHECK(decide("a.example", "/p/x")->id == "wide");
      CHECK(decide("a.example", "/p/q/x")->id == "narrow");
      CHECK(decide("a.example", "/p") == nullptr);
      CHECK(decide("b.example", "/p/x") == nullptr);
    }
    THEN("routes may be executed more than once unless they are unsafe") {
      CHECK(RouteOf(decide("a.example", "/p/x")).repeatable);
      CHECK(RouteOf(decide("a.example", "/p/x")).retries == 1);
      CHECK_FALSE(RouteOf(decide("a.example", "/p/q/x")).repeatable);
      CHECK(RouteOf(decide("a.example", "/p/q/x")).retries == 0);
    }
    THEN("timeouts, priorities and weights are converted") {
      const RouteAction& route = RouteOf(decide("a.example", "/p/q/x"));
      CHECK(route.deadline == std::chrono::milliseconds(800));
      CHECK(route.objective == std::chrono::milliseconds(400));
      CHECK(route.priority == Priority::kNormal);
      REQUIRE(route.targets.size() == 2);
      CHECK(route.targets[0].weight == 90);
    }
  }
  GIVEN("malformed configurations") {
    json spec = ConfigurationSpec();
    WHEN("the version is not a number") {
      spec["version"] = "00g0";
    }
    WHEN("a route has no kind") {
      spec["routes"]["wide"].erase("kind");
    }
    WHEN("a timeout is a string") {
      spec["routes"]["wide"]["timeout_ms"] = "x";
    }
    WHEN("the services are missing") {
      spec.erase("services");
    }
    WHEN("it is not an object") {
      spec = json::array();
    }
    CHECK(std::holds_alternative<FormatError>(ParseConfiguration(spec.dump())));
  }
}

// Guards against a configuration that ends each node that reads it.
SCENARIO("a configuration that is cut off or damaged ends no process") {
  json spec = ConfigurationSpec();
  spec["tenants"] = {{"a", {{"api_keys", {"k"}}, {"rate_per_s", 1.5}}}};
  const std::string text = spec.dump();
  REQUIRE(std::holds_alternative<Configuration>(ParseConfiguration(text)));

  GIVEN("one that ends early") {
    for (std::size_t size = 0; size < text.size(); ++size) {
      CAPTURE(text.substr(0, size));
      CHECK(std::holds_alternative<FormatError>(
          ParseConfiguration(text.substr(0, size))));
    }
  }
  GIVEN("one with a wrong byte") {
    // Whatever is read from it.
    std::size_t refused = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
      for (const char byte : std::string_view("{}[]:,\"\\0n \x01")) {
        std::string damaged = text;
        damaged[at] = byte;
        refused +=
            std::holds_alternative<FormatError>(ParseConfiguration(damaged))
                ? 1
                : 0;
      }
    }
    CHECK(refused > 0);
  }
  GIVEN("one with bytes behind it") {
    CHECK(std::holds_alternative<FormatError>(ParseConfiguration(text + "}")));
    CHECK(std::holds_alternative<FormatError>(ParseConfiguration(text + "1")));
  }
}

json HeartbeatBody() {
  return json::parse(R"({"address": "10.128.0.9:8080",
    "info": {"service": "booking", "version": "v1", "zone": "a", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "warmup_left_ms": 250}})");
}

ControlCall ParseHeartbeat(const json& body) {
  return ParseControlCall("POST", "/api/Instances.Heartbeat/i-1", body.dump());
}

SCENARIO("calls to the control address are parsed") {
  GIVEN("a heartbeat") {
    const auto call = ParseHeartbeat(HeartbeatBody());
    const auto& report = std::get<InstanceReport>(call);
    CHECK(report.id == "i-1");
    CHECK(report.service == "booking");
    CHECK(report.address == SocketAddress{"10.128.0.9", 8080});
    CHECK(report.slots == 6);
    CHECK(report.sequence == 4);
    CHECK(report.remaining_warm_up == std::chrono::milliseconds(250));
    CHECK(report.started_ms == 0);
    CHECK_FALSE(report.leaving);
  }
  GIVEN("a heartbeat with the start time, of a draining instance") {
    json body = HeartbeatBody();
    body["born"] = 1'700'000'000'123;
    body["status"]["state"] = "draining";
    const auto call = ParseHeartbeat(body);
    CHECK(std::get<InstanceReport>(call).started_ms == 1'700'000'000'123);
    CHECK(std::get<InstanceReport>(call).leaving);
  }
  GIVEN("malformed heartbeats") {
    json body = HeartbeatBody();
    WHEN("a field is missing") {
      body["info"].erase("slots");
    }
    WHEN("a field has another type") {
      body["status"]["sequence"] = "4";
    }
    WHEN("a number is negative") {
      body["status"]["sequence"] = -1;
    }
    WHEN("a number has a fractional part") {
      body["born"] = 1.5;
    }
    WHEN("the state is unknown") {
      body["status"]["state"] = "resting";
    }
    WHEN("the address is invalid") {
      body["address"] = "nowhere";
    }
    WHEN("there are no slots") {
      body["info"]["slots"] = 0;
    }
    WHEN("there is no status") {
      body.erase("status");
    }
    WHEN("it is a list") {
      body = json::array({1});
    }
    CHECK(std::holds_alternative<FormatError>(ParseHeartbeat(body)));
  }
  GIVEN("a body that is not UTF-8") {
    CHECK(std::holds_alternative<FormatError>(
        ParseControlCall("POST", "/api/Instances.Heartbeat/i-1", "\xff{")));
  }
  GIVEN("ids with bytes that headers and JSON cannot carry") {
    const auto* id = GENERATE("\xff\xfe", "i 1", "");
    const std::string body = HeartbeatBody().dump();
    CHECK(std::holds_alternative<FormatError>(ParseControlCall(
        "POST", std::string("/api/Instances.Heartbeat/") + id, body)));
    CHECK(std::holds_alternative<FormatError>(ParseControlCall(
        "POST", std::string("/api/Instances.Deregister/") + id, "")));
  }
  GIVEN("calls other than heartbeats") {
    CHECK(std::holds_alternative<ReadinessProbe>(
        ParseControlCall("GET", "/api/ready", "")));
    const auto leave =
        ParseControlCall("POST", "/api/Instances.Deregister/i-1", "");
    CHECK(std::get<DeregisterCall>(leave).run == InstanceRun{"i-1", 0});
    CHECK(std::holds_alternative<UnknownCall>(
        ParseControlCall("GET", "/api/other", "")));
  }
}

SCENARIO("limits are parsed by name") {
  GIVEN("known and unknown limits") {
    const auto parsed = ParseBounds({{"drain_ms", "2500"},
                                     {"grace_s", "6"},
                                     {"retry_budget_ratio", "0.2"},
                                     {"budget_slack", "162"},
                                     {"budget_window_s", "10"},
                                     {"quota_window_s", "5"},
                                     {"quota_over", "0.1"},
                                     {"quota_slack", "20"},
                                     {"fenced", "true"},
                                     {"unknown", "1.5"}});
    const auto& bounds = std::get<Bounds>(parsed);
    CHECK(bounds.drain_period == std::chrono::milliseconds(2'500));
    CHECK(bounds.termination_grace == std::chrono::seconds(6));
    CHECK(bounds.retry_budget_permille == 200);
    CHECK(bounds.retry_budget_slack == 162);
    CHECK(bounds.quota_window == std::chrono::seconds(5));
    CHECK(bounds.quota_over_permille == 100);
    CHECK(bounds.quota_slack == 20);
  }
  GIVEN("a limit that is not a number") {
    CHECK(std::holds_alternative<FormatError>(
        ParseBounds({{"drain_ms", "soon"}})));
  }
}

SCENARIO("member records are serialized and parsed") {
  MemberRecord record;
  record.member.name = "node-1";
  record.member.incarnation = 1'700'000'000'123;
  record.member.state = MemberState::kLeaving;
  record.member.failure_domain = "a";
  record.member.region = "north";
  record.member.service = "booking";
  record.member.peer_address = {"10.1.0.9", 7'660};
  record.member.slots = 6;
  record.member.serving = false;
  record.sequence = 9;
  record.instance = "i-1";
  record.instance_leaving = true;
  record.instance_sequence = 12;
  record.instance_started_ms = 1'000;
  record.owns_quota_parts = true;
  record.instance_left_by_response = true;
  record.crash_evidence = {{{1, 2}, 3, true, {{"node-1", 4}, {"node-1", 5}}}};
  const std::string text = FormatMember(record);
  CHECK(std::get<MemberRecord>(ParseMember(text)) == record);

  GIVEN("a record of a node that did not read responses") {
    json older = json::parse(text);
    older.erase("instance_left_by_response");
    older.erase("crash_evidence");
    record.instance_left_by_response = false;
    record.crash_evidence.clear();
    CHECK(std::get<MemberRecord>(ParseMember(older.dump())) == record);
  }
  GIVEN("malformed records") {
    json malformed = json::parse(text);
    WHEN("a field is missing") {
      malformed.erase("link");
    }
    WHEN("the address is invalid") {
      malformed["link"] = "here";
    }
    WHEN("the state is unknown") {
      malformed["state"] = 77;
    }
    WHEN("a field has another type") {
      malformed["slots"] = "six";
    }
    WHEN("a digest is malformed") {
      malformed["crash_evidence"][0]["request"] = "12";
    }
    CHECK(std::holds_alternative<FormatError>(ParseMember(malformed.dump())));
  }
}

// Guards against one object or report that ends each node that reads it.
SCENARIO("deeply nested bytes end no reader") {
  constexpr std::size_t kDepth = 500'000;
  std::string objects;
  for (std::size_t i = 0; i < kDepth; ++i) {
    objects += "{\"a\":";
  }
  const std::string text = GENERATE_COPY(
      std::string(kDepth, '['), objects,
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      "{\"name\":" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}");
  CHECK(std::holds_alternative<FormatError>(ParseMember(text)));
  CHECK(std::holds_alternative<FormatError>(ParseConfiguration(text)));
  CHECK(std::holds_alternative<FormatError>(
      ParseControlCall("POST", "/api/Instances.Heartbeat/i-1", text)));
}

}  // namespace
}  // namespace verbenastile::platform
