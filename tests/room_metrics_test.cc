#include "mesh/room_metrics.h"

#include <catch2/catch.hpp>
#include <string>

namespace verbenastile {

SCENARIO("counts by group are bounded, and their labels are valid") {
  Metrics metrics;
  RoomMetrics room(&metrics);
  GateCall call;
  call.rule = "rule";
  const auto count = [&](const char* name) {
    return metrics.value(metrics.Counter(name));
  };
  for (int i = 0; i < 1'000; ++i) {
    call.group = "group" + std::to_string(i);
    room.OnStarted(call);
  }
  CHECK(count("group_started_total{group=\"(others)\",priority=\"normal\"}") ==
        1'000 - 128);
  call.group = "a\"b";
  call.group_priority = Priority::kHigh;
  room.OnRefused(call);
  CHECK(
      count("group_refused_for_room_total{group=\"a_b\",priority=\"high\"}") ==
      1);
  CHECK(count("room_refused_total{rule=\"rule\",priority=\"high\"}") == 1);
}

}  // namespace verbenastile
