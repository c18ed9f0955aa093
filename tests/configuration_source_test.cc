#include <catch2/catch.hpp>

#include "core/configuration_source.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr std::int64_t kSlowLink = 625'000;  // 5 Mbit/s.

ConfigurationSource MakeSource(std::int64_t link) {
  return ConfigurationSource({link, kStart, 7});
}

SCENARIO("a node on a slow link does not watch the store while readers do") {
  ConfigurationSource source = MakeSource(kSlowLink);
  CHECK_FALSE(source.is_reader());

  GIVEN("no readers") {
    THEN("it waits for links to readers, then watches the store") {
      source.OnPeerConfiguration("small", {0, std::nullopt}, kStart);
      CHECK_FALSE(source.ShouldWatchStore(kStart + 1'000 * kMs));
      CHECK(source.ShouldWatchStore(kStart + 1'500 * kMs));
      CHECK_FALSE(source.last_confirmed().has_value());
    }
    THEN("it waits longer while it has no links at all") {
      CHECK_FALSE(source.ShouldWatchStore(kStart + 3'400 * kMs));
      CHECK(source.ShouldWatchStore(kStart + 3'500 * kMs));
    }
    AND_WHEN("a peer that is not a reader has a newer generation") {
      source.OnPeerConfiguration("small", {3, std::nullopt},
                                 kStart + 2'000 * kMs);
      THEN("it is asked if the store does not deliver the generation in time") {
        CHECK_FALSE(source.SelectPeerToQuery(kStart + 3'000 * kMs));
        CHECK(source.SelectPeerToQuery(kStart + 3'500 * kMs) == "small");
      }
    }
  }
  GIVEN("two readers") {
    source.OnPeerConfiguration("r1", {1, 4'000 * kMs}, kStart);
    source.OnPeerConfiguration("r2", {1, 2'000 * kMs}, kStart);
    source.OnApplied(1);
    const Time later = kStart + 60'000 * kMs;
    THEN("the store is not watched, and readers report its last confirmation") {
      CHECK_FALSE(source.ShouldWatchStore(later));
      CHECK(source.last_confirmed() == kStart - 2'000 * kMs);
      CHECK_FALSE(source.SelectPeerToQuery(later).has_value());
    }
    AND_WHEN("one reader and a peer on a slow link have a newer generation") {
      source.OnPeerConfiguration("r2", {2, 0 * kMs}, later);
      source.OnPeerConfiguration("small", {2, std::nullopt}, later);
      THEN("the reader is asked at once, and again after the timeout") {
        CHECK(source.SelectPeerToQuery(later) == "r2");
        CHECK_FALSE(source.SelectPeerToQuery(later + 100 * kMs).has_value());
        source.OnPeerConfiguration("r1", {2, 0 * kMs}, later + 100 * kMs);
        CHECK(source.SelectPeerToQuery(later + 500 * kMs) != "small");
        source.OnApplied(2);
        CHECK_FALSE(source.SelectPeerToQuery(later + 5'000 * kMs).has_value());
      }
    }
    AND_WHEN("one reader disconnects") {
      source.OnPeerGone("r1", later);
      THEN("the store is watched after a delay: the other may be stalled") {
        CHECK_FALSE(source.ShouldWatchStore(later + 3'900 * kMs));
        CHECK(source.ShouldWatchStore(later + 4'000 * kMs));
      }
    }
    AND_WHEN("one reader loses contact with the store") {
      source.OnPeerConfiguration("r1", {1, std::nullopt}, later);
      THEN("the store is watched after a delay") {
        CHECK_FALSE(source.ShouldWatchStore(later + 3'900 * kMs));
        CHECK(source.ShouldWatchStore(later + 4'000 * kMs));
      }
      AND_WHEN("it regains contact before the delay has passed") {
        source.OnPeerConfiguration("r1", {1, 0 * kMs}, later + 3'000 * kMs);
        CHECK_FALSE(source.ShouldWatchStore(later + 60'000 * kMs));
      }
    }
  }
  GIVEN("several readers with a newer generation and many nodes") {
    THEN("requests are spread evenly over the readers") {
      std::map<std::string, int> asked;
      for (std::uint64_t seed = 0; seed < 60; ++seed) {
        ConfigurationSource node({kSlowLink, kStart, seed});
        for (const char* name : {"r1", "r2", "r3"}) {
          node.OnPeerConfiguration(name, {1, 0 * kMs}, kStart);
        }
        ++asked[node.SelectPeerToQuery(kStart).value()];
      }
      CHECK(asked["r1"] == 20);
      CHECK(asked["r2"] == 20);
      CHECK(asked["r3"] == 20);
    }
  }
}

// Guards against a load spike when the store is down for a few seconds: all
// nodes on slow links polled the store as often as the readers did, and each
// fetched the full configuration when it came back.
SCENARIO("a short store outage does not make all nodes watch the store") {
  int watching = 0;
  for (std::uint64_t seed = 0; seed < 68; ++seed) {
    ConfigurationSource node({kSlowLink, kStart, seed});
    for (const char* name : {"r1", "r2", "r3"}) {
      node.OnPeerConfiguration(name, {1, 0 * kMs}, kStart);
    }
    node.OnApplied(1);
    const Time outage_start = kStart + 20'000 * kMs;
    for (const char* name : {"r1", "r2", "r3"}) {
      node.OnPeerConfiguration(name, {1, std::nullopt}, outage_start);
    }
    watching += node.ShouldWatchStore(outage_start + 3'500 * kMs) ? 1 : 0;
  }
  CHECK(watching == 0);
  GIVEN("a node that starts during the outage without a configuration") {
    ConfigurationSource node = MakeSource(kSlowLink);
    node.OnPeerConfiguration("r1", {1, std::nullopt}, kStart);
    CHECK(node.ShouldWatchStore(kStart + 1'500 * kMs));
  }
}

SCENARIO("a node that restarts while the store rejects it asks a peer") {
  ConfigurationSource source = MakeSource(125'000'000);
  source.OnPeerConfiguration("r1", {18, 0 * kMs}, kStart);
  CHECK_FALSE(source.SelectPeerToQuery(kStart + 99 * kMs).has_value());
  CHECK(source.SelectPeerToQuery(kStart + 100 * kMs) == "r1");
  THEN("another request follows if it is not answered") {
    CHECK_FALSE(source.SelectPeerToQuery(kStart + 599 * kMs).has_value());
    CHECK(source.SelectPeerToQuery(kStart + 600 * kMs) == "r1");
  }
}

SCENARIO("a node on a fast link watches the store") {
  ConfigurationSource source = MakeSource(125'000'000);
  CHECK(source.is_reader());
  CHECK(source.ShouldWatchStore(kStart));
  source.OnApplied(1);
  source.OnPeerConfiguration("r1", {2, 0 * kMs}, kStart);

  THEN("a peer is asked if the store does not deliver a newer generation") {
    CHECK_FALSE(source.SelectPeerToQuery(kStart + 1'300 * kMs).has_value());
    CHECK(source.SelectPeerToQuery(kStart + 1'400 * kMs) == "r1");
  }
}

}  // namespace
}  // namespace verbenastile
