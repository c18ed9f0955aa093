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

}  // namespace
}  // namespace verbenastile
