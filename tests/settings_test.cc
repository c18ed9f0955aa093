#include <catch2/catch.hpp>

#include "config/settings.h"
#include "config/sidecar_settings.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr const char* kValidSettings = R"(
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

std::string ParseErrors(const std::string& text) {
  return ErrorTextOf([&] { return ParseSettings(text, "node.yaml"); });
}

SCENARIO("settings of a node are parsed and validated") {
  GIVEN("valid settings") {
    const Settings settings =
        MustSucceed([] { return ParseSettings(kValidSettings, "node.yaml"); });
    THEN("they override the defaults") {
      CHECK(settings.name == "a");
      CHECK(settings.listen.admin.port == 8083);
      CHECK(settings.upstream.slots == 6);
      CHECK(settings.drain_timeout == std::chrono::seconds(5));
      CHECK(settings.policy == DistributionPolicy::kDeltaTree);
    }
  }

  GIVEN("settings with several errors") {
    std::string text = kValidSettings;
    text += "colour: red\nlog_level: loud\n";
    text.replace(text.find("slots: 6"), 8, "slots: 0");
    WHEN("they are parsed") {
      const std::string errors = ParseErrors(text);
      THEN("each error is reported with its line and column") {
        CHECK(errors.find("node.yaml:8:64: slots: 0 is outside") !=
              std::string::npos);
        CHECK(errors.find("node.yaml:11:1: colour: unknown key") !=
              std::string::npos);
        CHECK(errors.find("node.yaml:12:12: log_level: one of") !=
              std::string::npos);
      }
    }
  }

  GIVEN("files that are empty, malformed, not UTF-8 or missing") {
    CHECK(ParseErrors("") == "node.yaml:1:1: the file is empty\n");
    CHECK(ParseErrors("- a\n- b\n").find("a mapping is expected") !=
          std::string::npos);
    CHECK(ParseErrors(std::string("a: \x01\xff", 5)).find("node.yaml:1:4: ") ==
          0);
    CHECK(ParseErrors("a: b\nb: \"\xc3\xa4\xa4\"\n").find("node.yaml:2:6: ") ==
          0);
    CHECK(ParseErrors("a: [1, 2").find("node.yaml:") == 0);
    CHECK(ErrorTextOf([] {
            return LoadSettings("/no/such/file");
          }).find("no such regular file") != std::string::npos);
  }
}

SCENARIO("socket addresses are a numeric IP address and a port") {
  CHECK(ParseSocketAddress("127.0.0.1:80")->port == 80);
  CHECK(ToString(*ParseSocketAddress("[::1]:80")) == "[::1]:80");
  for (const char* invalid : {"", "127.0.0.1", "localhost:80", "127.0.0.1:0",
                              "127.0.0.1:65536", "1.2.3:80", "127.0.0.1:8x"}) {
    CHECK_FALSE(ParseSocketAddress(invalid).has_value());
  }
}

SCENARIO("operators clear and block requests in a sidecar's settings") {
  const std::string settings = R"(
node: {name: a, failure_domain: w1, region: windhoek}
listen:
  callers: 127.0.0.1:8080
  links: 127.0.0.1:8081
  control: 127.0.0.1:8082
  ready: 127.0.0.1:8083
  metrics: 127.0.0.1:8084
upstream: {service: booking, address: "127.0.0.1:9000"}
platform: {address: "127.0.0.1:7000"}
requests:
)";
  const auto parse = [&](const std::string& requests) {
    return ParseSidecarSettings(settings + requests, "node.yaml");
  };
  const Digest digest{1, 2};
  const std::string key = "  " + ToString(digest);
  CHECK(MustSucceed([&] { return parse(key + ": blocked\n"); }).requests ==
        std::map<Digest, RequestOverride>{{digest, RequestOverride::kBlocked}});
  CHECK(MustSucceed([&] { return parse(key + ": cleared\n"); }).requests ==
        std::map<Digest, RequestOverride>{{digest, RequestOverride::kCleared}});
  CHECK(ErrorTextOf([&] {
          return parse(key + ": gone\n");
        }).find("cleared or blocked is expected") != std::string::npos);
  CHECK(ErrorTextOf([&] {
          return parse("  12: blocked\n");
        }).find("12 is not a digest") != std::string::npos);
}

}  // namespace
}  // namespace verbenastile
