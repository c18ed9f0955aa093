#include <catch2/catch.hpp>
#include <random>

#include "core/configuration_archive.h"
#include "core/text_delta.h"

namespace verbenastile {
namespace {

// What a change may take on a link of 5 Mbit/s: 10 ms.
constexpr std::size_t kSmallDeltaBytes = 6'250;
constexpr int kRoutes = 1'600;

// A configuration as operators write them, `routes` routes with names and
// prefixes that do not compress.
std::string TextOf(int generation, int routes) {
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

std::string Applied(const ConfigurationArchive& archive,
                    const ConfigurationDelta& delta) {
  const auto result = archive.Apply(delta);
  REQUIRE(std::holds_alternative<std::string>(result));
  return std::get<std::string>(result);
}

SCENARIO("a change of a large configuration fits a small link") {
  ConfigurationArchive reader;
  ConfigurationArchive node;
  const std::string first = TextOf(1, kRoutes);
  REQUIRE(first.size() > 200'000);
  reader.Add(1, first);

  GIVEN("a node that holds nothing") {
    const ConfigurationDelta& whole = reader.DeltaFrom(node.newest());
    THEN("it is sent the text, compressed") {
      CHECK(whole.base.generation == 0);
      CHECK(whole.bytes.size() < first.size() / 3);
      CHECK(Applied(node, whole) == first);
    }
  }
  GIVEN("a node that holds the generation before") {
    node.Add(1, first);
    const std::string second = TextOf(2, kRoutes + 1);
    reader.Add(2, second);
    THEN("it is sent what has changed") {
      const ConfigurationDelta& delta = reader.DeltaFrom(node.newest());
      CHECK(delta.base.generation == 1);
      CHECK(delta.bytes.size() < kSmallDeltaBytes);
      CHECK(Applied(node, delta) == second);
    }
    AND_WHEN("more generations pass than are kept") {
      for (int i = 3; i < 8; ++i) {
        reader.Add(static_cast<std::uint64_t>(i), TextOf(i, kRoutes));
      }
      THEN("it is sent the whole text") {
        const ConfigurationDelta& delta = reader.DeltaFrom(node.newest());
        CHECK(delta.base.generation == 0);
        CHECK(Applied(node, delta) == reader.text());
      }
    }
  }
  GIVEN("a node whose text of the same generation is another") {
    node.Add(1, first + " ");
    THEN("no delta is made from it") {
      CHECK(reader.DeltaFrom(node.newest()).base.generation == 0);
    }
  }
}

SCENARIO("deltas that do not fit are refused") {
  ConfigurationArchive reader;
  ConfigurationArchive node;
  reader.Add(1, TextOf(1, 10));
  reader.Add(2, TextOf(2, 12));
  ConfigurationDelta delta = reader.DeltaFrom({1, DigestOf(TextOf(1, 10))});
  REQUIRE(delta.base.generation == 1);

  CHECK(std::holds_alternative<ArchiveError>(node.Apply(delta)));
  node.Add(1, TextOf(1, 10));
  CHECK(Applied(node, delta) == TextOf(2, 12));

  GIVEN("bytes that are damaged, cut or too much") {
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
