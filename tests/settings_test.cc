#include <catch2/catch.hpp>

#include "config/settings.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr const char* kGood = R"(
node: {name: a, failure_domain: w1, region: windhoek}
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  control: 127.0.0.1:8082
  admin: 127.0.0.1:8083
upstream: {service: booking, address: "127.0.0.1:9000", slots: 6}
platform: {url: "http://127.0.0.1:7000"}
drain_timeout: 5s
)";

std::string Faults(const std::string& text) {
  return ErrorTextOf([&] { return ParseSettings(text, "node.yaml"); });
}

SCENARIO("an operator writes a node's settings") {
  GIVEN("settings that are whole") {
    const Settings settings =
        MustSucceed([] { return ParseSettings(kGood, "node.yaml"); });
    THEN("the aggregate is filled and the rest has defaults") {
      CHECK(settings.name == "a");
      CHECK(settings.listen.admin.port == 8083);
      CHECK(settings.upstream.slots == 6);
      CHECK(settings.drain_timeout == std::chrono::seconds(5));
      CHECK(settings.policy == DistributionPolicy::kDeltaTree);
    }
  }

  GIVEN("settings with several faults") {
    std::string text = kGood;
    text += "colour: red\nlog_level: loud\n";
    text.replace(text.find("slots: 6"), 8, "slots: 0");
    WHEN("they are read") {
      const std::string faults = Faults(text);
      THEN("each fault is named with its place") {
        CHECK(faults.find("node.yaml:8:64: slots: 0 is outside") !=
              std::string::npos);
        CHECK(faults.find("node.yaml:11:1: colour: unknown key") !=
              std::string::npos);
        CHECK(faults.find("node.yaml:12:12: log_level: one of") !=
              std::string::npos);
      }
    }
  }

  GIVEN("texts that are no settings at all") {
    CHECK(Faults("") == "node.yaml:1:1: the file is empty\n");
    CHECK(Faults("- a\n- b\n").find("a mapping is expected") !=
          std::string::npos);
    CHECK(Faults(std::string("a: \x01\xff", 5)).find("node.yaml:1:4: ") == 0);
    CHECK(Faults("a: b\nb: \"\xc3\xa4\xa4\"\n").find("node.yaml:2:6: ") == 0);
    CHECK(Faults("a: [1, 2").find("node.yaml:") == 0);
    CHECK(ErrorTextOf([] {
            return LoadSettings("/no/such/file");
          }).find("there is no such file") != std::string::npos);
  }
}

SCENARIO("addresses are IP numbers with a port") {
  CHECK(ParseSocketAddress("127.0.0.1:80")->port == 80);
  CHECK(ToString(*ParseSocketAddress("[::1]:80")) == "[::1]:80");
  for (const char* bad : {"", "127.0.0.1", "localhost:80", "127.0.0.1:0",
                          "127.0.0.1:65536", "1.2.3:80", "127.0.0.1:8x"}) {
    CHECK_FALSE(ParseSocketAddress(bad).has_value());
  }
}

}  // namespace
}  // namespace verbenastile
