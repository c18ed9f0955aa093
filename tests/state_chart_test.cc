#include <catch2/catch.hpp>

#include "core/embedded_charts.h"
#include "core/state_chart.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr const char* kDoor = R"(
name: door
initial: closed
events: [open, close]
actions: [ring]
states:
  closed: {on: {open: {to: opened, do: [ring]}}, ignore: [close]}
  opened: {on: {close: {to: closed}}, ignore: [open]}
)";

std::string FaultsWith(const std::string& from, const std::string& to) {
  std::string text = kDoor;
  text.replace(text.find(from), from.size(), to);
  return ErrorTextOf([&] { return ParseStateChart(text, "door.yaml"); });
}

SCENARIO("state charts are parsed, validated and run") {
  GIVEN("a valid chart") {
    const StateChart chart =
        MustSucceed([] { return ParseStateChart(kDoor, "door.yaml"); });
    ChartMachine machine(&chart);
    WHEN("an event is fired") {
      const FireResult result = machine.Fire("open");
      THEN("the machine changes state and returns the actions") {
        CHECK(machine.state() == "opened");
        REQUIRE(result.actions.size() == 1);
        CHECK(result.actions[0] == "ring");
      }
    }
    WHEN("an ignored or unknown event is fired") {
      CHECK_FALSE(machine.Fire("close").moved);
      CHECK_FALSE(machine.Fire("explode").known);
      CHECK(machine.state() == "closed");
    }
  }
  GIVEN("invalid charts") {
    CHECK(FaultsWith("to: opened", "to: gone").find("unknown state gone") !=
          std::string::npos);
    CHECK(FaultsWith("to: opened", "to: closed").find("opened cannot be") !=
          std::string::npos);
    CHECK(FaultsWith("ignore: [open]", "ignore: []").find("must either") !=
          std::string::npos);
    CHECK(FaultsWith("do: [ring]", "do: [sing]").find("unknown action sing") !=
          std::string::npos);
    CHECK(FaultsWith("ignore: [close]", "ignore: [close, x]")
              .find("unknown event x") != std::string::npos);
    CHECK(FaultsWith("closed: {on", "[closed]: {on")
              .find("a key must be a scalar") != std::string::npos);
    CHECK(FaultsWith("{open: {to", "{[open]: {to")
              .find("a key must be a scalar") != std::string::npos);
  }
  GIVEN("the embedded charts") {
    CHECK(EmbeddedCharts().size() >= 4);
    for (const EmbeddedChart& chart : EmbeddedCharts()) {
      CHECK(ErrorTextOf([&] { return LoadEmbeddedChart(chart.name); }) == "");
    }
  }
}

}  // namespace
}  // namespace verbenastile
