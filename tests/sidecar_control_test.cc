#include "config/yaml_reader.h"
#include "mesh_support.h"
#include "sidecar_support.h"

namespace verbenastile {
namespace {

// Guards against control calls that are acknowledged and have no effect
// (review/13).
SCENARIO("a control call is acknowledged if it has an effect") {
  RunningSidecar node;
  REQUIRE(IsAcknowledged(node.Heartbeat("ready", 5)));
  GIVEN("a heartbeat with a service that nobody names") {
    CHECK_FALSE(IsAcknowledged(node.Heartbeat("ready", 1, "i-forged", "x")));
    CHECK_FALSE(IsAcknowledged(node.Heartbeat("draining", 2, "i-forged", "x")));
    THEN("the instance goes on") {
      CHECK(IsAcknowledged(node.Heartbeat("ready", 6)));
      CHECK(IsAcknowledged(node.Heartbeat("ready", 7)));
    }
  }
  GIVEN("a heartbeat that a later one has overtaken") {
    CHECK(IsAcknowledged(node.Heartbeat("ready", 4)));
    CHECK_FALSE(IsAcknowledged(node.Heartbeat("draining", 4)));
  }
  GIVEN("another instance that takes the slot") {
    REQUIRE(IsAcknowledged(node.Heartbeat("ready", 1, "i-2")));
    THEN("what the first one says then has no effect") {
      CHECK_FALSE(IsAcknowledged(node.Heartbeat("ready", 6)));
      CHECK_FALSE(IsAcknowledged(node.Heartbeat("draining", 7)));
    }
    THEN("the first one may say that it has left") {
      CHECK(IsAcknowledged(node.Deregister()));
      CHECK(IsAcknowledged(node.Heartbeat("ready", 2, "i-2")));
    }
  }
}

// Guards against a change of the settings that is not read, so that requests
// bear the service of the instance before (rule UNASKED, review/14).
SCENARIO("the service of the slot follows the settings and the instance") {
  constexpr Duration kNoticed = std::chrono::milliseconds(1'000);
  RunningSidecar node;
  REQUIRE(IsAcknowledged(node.Heartbeat("ready", 1)));
  PlayedNode peer(node.io, node.links);
  const std::string settings_text =
      MustSucceed([&] { return ReadConfigFile(node.settings.path()); });
  // Waits for a record that names the service. Returns how long.
  const auto time_until = [&](std::string_view service) {
    const Time begin = SteadyNow();
    while (auto frame = peer.TryRead()) {
      const auto* member = std::get_if<LinkMember>(&frame->body);
      if (member != nullptr && member->record.member.service == service) {
        return SteadyNow() - begin;
      }
    }
    return Duration::max();
  };
  // After the start.
  const int delay_ms = GENERATE(0, 150, 1'200, 2'300);
  CAPTURE(delay_ms);
  std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  GIVEN("settings that change without a signal") {
    node.ChangeService("t");
    THEN("they are noticed before an instance reports") {
      CHECK(time_until("t") < kNoticed);
      AND_THEN("so is the next change") {
        node.ChangeService("u");
        CHECK(time_until("u") < kNoticed);
      }
    }
    THEN("its instance is served from its first report on") {
      CHECK(IsAcknowledged(node.Heartbeat("ready", 1, "i-2", "t")));
    }
  }
  GIVEN("settings that are written in two parts") {
    node.ReplaceSettings("node: {name: self, ");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    CHECK(IsAcknowledged(node.Heartbeat("ready", 2)));
    node.ReplaceSettings(settings_text);
    node.ChangeService("t");
    CHECK(time_until("t") < kNoticed);
  }
  GIVEN("settings that are gone for a moment") {
    std::filesystem::remove(node.settings.path());
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    CHECK(IsAcknowledged(node.Heartbeat("ready", 2)));
    node.ReplaceSettings(settings_text);
    node.ChangeService("t");
    CHECK(time_until("t") < kNoticed);
  }
}

}  // namespace
}  // namespace verbenastile
