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

json ConfigurationOf() {
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

SCENARIO("the operators' configuration becomes ordered rules") {
  GIVEN("a whole one") {
    auto parsed = ParseConfiguration(ConfigurationOf().dump());
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
    THEN("the longest prefix of the host decides") {
      CHECK(decide("a.example", "/p/x")->id == "wide");
      CHECK(decide("a.example", "/p/q/x")->id == "narrow");
      CHECK(decide("a.example", "/p") == nullptr);
      CHECK(decide("b.example", "/p/x") == nullptr);
    }
    THEN("what may be repeated follows from the kind") {
      CHECK(RouteOf(decide("a.example", "/p/x")).repeatable);
      CHECK(RouteOf(decide("a.example", "/p/x")).retries == 1);
      CHECK_FALSE(RouteOf(decide("a.example", "/p/q/x")).repeatable);
      CHECK(RouteOf(decide("a.example", "/p/q/x")).retries == 0);
    }
    THEN("times, ranks and weights are kept") {
      const RouteAction& route = RouteOf(decide("a.example", "/p/q/x"));
      CHECK(route.deadline == std::chrono::milliseconds(800));
      CHECK(route.objective == std::chrono::milliseconds(400));
      CHECK(route.priority == Priority::kNormal);
      REQUIRE(route.targets.size() == 2);
      CHECK(route.targets[0].weight == 90);
    }
  }
  GIVEN("ones that cannot be read") {
    json spec = ConfigurationOf();
    WHEN("the version is no number") {
      spec["version"] = "00g0";
    }
    WHEN("a route has no kind") {
      spec["routes"]["wide"].erase("kind");
    }
    WHEN("a time is a text") {
      spec["routes"]["wide"]["timeout_ms"] = "x";
    }
    WHEN("the services are missing") {
      spec.erase("services");
    }
    WHEN("it is no object") {
      spec = json::array();
    }
    CHECK(std::holds_alternative<FormatError>(ParseConfiguration(spec.dump())));
  }
}

json HeartbeatOf() {
  return json::parse(R"({"address": "10.128.0.9:8080",
    "info": {"service": "booking", "version": "v1", "zone": "a", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "warmup_left_ms": 250}})");
}

ControlCall HeartbeatCall(const json& body) {
  return ParseControlCall("POST", "/api/Instances.Heartbeat/i-1", body.dump());
}

SCENARIO("calls to the control address are read") {
  GIVEN("a heartbeat") {
    const auto call = HeartbeatCall(HeartbeatOf());
    const auto& report = std::get<InstanceReport>(call);
    CHECK(report.id == "i-1");
    CHECK(report.service == "booking");
    CHECK(report.address == SocketAddress{"10.128.0.9", 8080});
    CHECK(report.slots == 6);
    CHECK(report.sequence == 4);
    CHECK(report.warm_up_left == std::chrono::milliseconds(250));
    CHECK(report.started_ms == 0);
    CHECK_FALSE(report.leaving);
  }
  GIVEN("one that tells its start, and that it leaves") {
    json body = HeartbeatOf();
    body["born"] = 1'700'000'000'123;
    body["status"]["state"] = "draining";
    const auto call = HeartbeatCall(body);
    CHECK(std::get<InstanceReport>(call).started_ms == 1'700'000'000'123);
    CHECK(std::get<InstanceReport>(call).leaving);
  }
  GIVEN("heartbeats of another writer") {
    json body = HeartbeatOf();
    WHEN("a field is missing") {
      body["info"].erase("slots");
    }
    WHEN("a field has another type") {
      body["status"]["sequence"] = "4";
    }
    WHEN("a number is negative") {
      body["status"]["sequence"] = -1;
    }
    WHEN("a number is a fraction") {
      body["born"] = 1.5;
    }
    WHEN("the state is unknown") {
      body["status"]["state"] = "resting";
    }
    WHEN("the address is none") {
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
    CHECK(std::holds_alternative<FormatError>(HeartbeatCall(body)));
  }
  GIVEN("bytes that are no text") {
    CHECK(std::holds_alternative<FormatError>(
        ParseControlCall("POST", "/api/Instances.Heartbeat/i-1", "\xff{")));
  }
  GIVEN("the other calls") {
    CHECK(std::holds_alternative<ReadyCall>(
        ParseControlCall("GET", "/api/ready", "")));
    const auto leave =
        ParseControlCall("POST", "/api/Instances.Deregister/i-1", "");
    CHECK(std::get<DeregisterCall>(leave).id == "i-1");
    CHECK(std::holds_alternative<UnknownCall>(
        ParseControlCall("GET", "/api/other", "")));
  }
}

SCENARIO("bounds are read by name") {
  GIVEN("known and unknown ones") {
    const auto parsed = ParseBounds({{"drain_ms", "2500"},
                                     {"grace_s", "6"},
                                     {"retry_budget_ratio", "0.2"},
                                     {"budget_slack", "162"},
                                     {"budget_window_s", "10"},
                                     {"fenced", "true"},
                                     {"unknown", "1.5"}});
    const auto& bounds = std::get<Bounds>(parsed);
    CHECK(bounds.drain == std::chrono::milliseconds(2'500));
    CHECK(bounds.grace == std::chrono::seconds(6));
    CHECK(bounds.repeat_permille == 200);
    CHECK(bounds.repeat_slack == 162);
  }
  GIVEN("one that is no number") {
    CHECK(std::holds_alternative<FormatError>(
        ParseBounds({{"drain_ms", "soon"}})));
  }
}

SCENARIO("members survive the way through the store") {
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
  const std::string text = FormatMember(record);
  CHECK(std::get<MemberRecord>(ParseMember(text)) == record);

  GIVEN("records that cannot be read") {
    json bad = json::parse(text);
    WHEN("a field is missing") {
      bad.erase("link");
    }
    WHEN("the address is none") {
      bad["link"] = "here";
    }
    WHEN("the state is unknown") {
      bad["state"] = 77;
    }
    WHEN("a field has another type") {
      bad["slots"] = "six";
    }
    CHECK(std::holds_alternative<FormatError>(ParseMember(bad.dump())));
  }
}

}  // namespace
}  // namespace verbenastile::platform
