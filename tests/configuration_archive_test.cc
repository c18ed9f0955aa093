#include <catch2/catch.hpp>
#include <random>

#include "core/configuration_archive.h"
#include "core/text_delta.h"

namespace verbenastile {
namespace {

// The size limit of a small change: 10 ms of transfer on a link of 5 Mbit/s.
constexpr std::size_t kSmallDeltaBytes = 6'250;
constexpr int kRoutes = 1'600;

// Returns a configuration text that resembles real ones. The names and path
// prefixes of its `routes` routes are random, so they compress poorly.
std::string MakeText(int generation, int routes) {
  std::mt19937_64 random(1);
  std::string text =
      R"({"version":")" + std::to_string(generation) + R"(","routes":{)";
  for (int i = 0; i < routes; ++i) {
    const std::string name = std::to_string(random());
    text += "\"r" + name + R"(":{"host":"h)" + std::to_string(random() % 9) +
            R"(.example","path_prefix":"/)" + std::to_string(random()) +
            R"(/","service":"s","kind":"safe","timeout_ms":2500,)" +
            R"("priority":1,"max_attempts":2,"target_latency_ms":800},)";
  }
  text.back() = '}';
  return text + "}";
}

std::string MustApply(const ConfigurationArchive& archive,
                      const ConfigurationDelta& delta) {
  const auto result = archive.Apply(delta);
  REQUIRE(std::holds_alternative<std::string>(result));
  return std::get<std::string>(result);
}

SCENARIO("a change to a large configuration is sent as a small delta") {
  ConfigurationArchive reader;
  ConfigurationArchive node;
  const std::string first = MakeText(1, kRoutes);
  REQUIRE(first.size() > 200'000);
  reader.Add(1, first);

  GIVEN("a node that holds no configuration") {
    const ConfigurationDelta& whole = reader.DeltaFrom(node.newest());
    THEN("it is sent the full text, compressed") {
      CHECK(whole.base.generation == 0);
      CHECK(whole.bytes.size() < first.size() / 3);
      CHECK(MustApply(node, whole) == first);
    }
  }
  GIVEN("a node that holds the previous generation") {
    node.Add(1, first);
    const std::string second = MakeText(2, kRoutes + 1);
    reader.Add(2, second);
    THEN("it is sent a delta") {
      const ConfigurationDelta& delta = reader.DeltaFrom(node.newest());
      CHECK(delta.base.generation == 1);
      CHECK(delta.bytes.size() < kSmallDeltaBytes);
      CHECK(MustApply(node, delta) == second);
    }
    AND_WHEN("the node falls behind by more generations than are kept") {
      for (int i = 3; i < 8; ++i) {
        reader.Add(static_cast<std::uint64_t>(i), MakeText(i, kRoutes));
      }
      THEN("it is sent the full text") {
        const ConfigurationDelta& delta = reader.DeltaFrom(node.newest());
        CHECK(delta.base.generation == 0);
        CHECK(MustApply(node, delta) == reader.text());
      }
    }
  }
  GIVEN("a node that holds a different text of the same generation") {
    node.Add(1, first + " ");
    THEN("its text is not used as the base of a delta") {
      CHECK(reader.DeltaFrom(node.newest()).base.generation == 0);
    }
  }
}

SCENARIO("invalid deltas are rejected") {
  ConfigurationArchive reader;
  ConfigurationArchive node;
  reader.Add(1, MakeText(1, 10));
  reader.Add(2, MakeText(2, 12));
  ConfigurationDelta delta = reader.DeltaFrom({1, DigestOf(MakeText(1, 10))});
  REQUIRE(delta.base.generation == 1);

  CHECK(std::holds_alternative<ArchiveError>(node.Apply(delta)));
  node.Add(1, MakeText(1, 10));
  CHECK(MustApply(node, delta) == MakeText(2, 12));

  GIVEN("deltas that are corrupt, truncated or too large") {
    ConfigurationDelta damaged = delta;
    damaged.to.digest.low ^= 1U;
    CHECK(std::holds_alternative<ArchiveError>(node.Apply(damaged)));
    damaged = delta;
    damaged.bytes.resize(damaged.bytes.size() / 2);
    CHECK(std::holds_alternative<ArchiveError>(node.Apply(damaged)));
    damaged.bytes = "no delta";
    CHECK(std::holds_alternative<ArchiveError>(node.Apply(damaged)));
    const std::string large(kMaxDeltaTextBytes + 1, 'a');
    CHECK_FALSE(ApplyTextDelta("", MakeTextDelta("", large)).has_value());
  }
}

}  // namespace
}  // namespace verbenastile
