#include <catch2/catch.hpp>

#include "base/random.h"
#include "configuration_fleet.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr std::int64_t kSlowLink = 625'000;  // 5 Mbit/s.

constexpr Duration kApply = 2'500 * kMs;
constexpr ConfigurationLimits kLimits = {kApply, 5'000 * kMs};

ConfigurationSource MakeSource(std::int64_t link, std::uint64_t seed = 7) {
  return ConfigurationSource({link, kStart, seed, "self", kLimits});
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
        CHECK_FALSE(source.SelectPeerToQuery(kStart + 2'900 * kMs));
        CHECK(source.SelectPeerToQuery(kStart + 3'000 * kMs) == "small");
      }
    }
  }
  GIVEN("two readers") {
    const Time later = kStart + 60'000 * kMs;
    source.OnPeerConfiguration("r1", {1, 4'000 * kMs}, kStart);
    source.OnApplied(1);
    source.OnPeerConfiguration("r1", {1, 4'000 * kMs}, later);
    source.OnPeerConfiguration("r2", {1, 1'500 * kMs}, later);
    THEN("the store is not watched, and readers report its last confirmation") {
      CHECK_FALSE(source.ShouldWatchStore(later));
      CHECK(source.last_confirmed() == later - 1'500 * kMs);
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
    AND_WHEN("one reader disconnects, and the other one has stalled") {
      source.OnPeerGone("r1");
      THEN("the store is watched in time for a change to be in force") {
        const Time confirmed = later - 1'500 * kMs;
        CHECK_FALSE(source.ShouldWatchStore(later));
        CHECK_FALSE(source.ShouldWatchStore(confirmed + kApply * 3 / 5));
        CHECK(source.ShouldWatchStore(confirmed + kApply * 2 / 3));
      }
      AND_WHEN("it goes on") {
        source.OnPeerConfiguration("r2", {1, 0 * kMs}, later);
        CHECK_FALSE(source.ShouldWatchStore(later + 500 * kMs));
      }
    }
    AND_WHEN("both lose contact with the store") {
      source.OnPeerConfiguration("r1", {1, std::nullopt}, later);
      source.OnPeerConfiguration("r2", {1, std::nullopt}, later);
      CHECK(source.ShouldWatchStore(later + kApply));
      THEN("the store is watched until two readers are back") {
        const Time back = later + kApply * 4;
        source.OnPeerConfiguration("r1", {1, 0 * kMs}, back);
        CHECK(source.ShouldWatchStore(back));
        source.OnPeerConfiguration("r2", {1, 0 * kMs}, back);
        CHECK_FALSE(source.ShouldWatchStore(back));
      }
    }
  }
  GIVEN("several readers with a newer generation and many nodes") {
    THEN("requests are spread evenly over the readers") {
      std::map<std::string, int> asked;
      for (std::uint64_t seed = 0; seed < 60; ++seed) {
        ConfigurationSource node = MakeSource(kSlowLink, seed);
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
  constexpr std::size_t kReaders = 3;
  ConfigurationFleet fleet(kReaders, 68, kLimits);
  CHECK(fleet.Watching(kReaders) == 0);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.TurnAway(i);
  }
  fleet.Run(3'500 * kMs);
  // The store may answer other nodes than the readers, so that as many try.
  CHECK(fleet.Watching(kReaders) <= kReaders);
  GIVEN("a node that starts during the outage without a configuration") {
    ConfigurationSource node = MakeSource(kSlowLink);
    node.OnPeerConfiguration("r1", {1, std::nullopt}, kStart);
    CHECK(node.ShouldWatchStore(kStart + 1'500 * kMs));
  }
}

// Guards against changes that are in force too late on nodes that no fault has
// touched, while the store is in good order: those on slow links went on to
// rely on readers that were gone, stood still or were turned away by the store.
SCENARIO("a change is in force in time whatever happens to the readers") {
  constexpr std::size_t kReaders = 6;
  for (const int apply_ms : {2'000, 2'500, 3'000}) {
    const ConfigurationLimits limits = {apply_ms * kMs, 5'000 * kMs};
    const auto for_readers = [&](auto fault, ConfigurationFleet& fleet) {
      for (std::size_t i = 0; i < kReaders; ++i) {
        (fleet.*fault)(i);
      }
    };
    DYNAMIC_SECTION("a bound of " << apply_ms << " ms") {
      ConfigurationFleet fleet(kReaders, 81, limits);
      GIVEN("readers that work") {
        CHECK(fleet.Change() <= limits.apply_period);
        CHECK(fleet.Watching(kReaders) == 0);
      }
      GIVEN("readers that are killed") {
        for_readers(&ConfigurationFleet::Kill, fleet);
        CHECK(fleet.Change() <= limits.apply_period);
        THEN("so is the next one, and few nodes watch the store") {
          CHECK(fleet.Change() <= limits.apply_period);
          fleet.Run(10'000 * kMs);
          CHECK(fleet.Watching() <= 3);
          CHECK(fleet.Watching() >= 2);
        }
      }
      GIVEN("readers that stand still, with open links") {
        for_readers(&ConfigurationFleet::Freeze, fleet);
        CHECK(fleet.Change() <= limits.apply_period);
      }
      GIVEN("readers that the store does not answer") {
        for_readers(&ConfigurationFleet::TurnAway, fleet);
        CHECK(fleet.Change() <= limits.apply_period);
        THEN("the others stop when it answers them again") {
          for (std::size_t i = 0; i < kReaders; ++i) {
            fleet.nodes[i].reaches_store = true;
          }
          fleet.Run(limits.apply_period * 5);
          CHECK(fleet.Watching(kReaders) == 0);
        }
      }
      GIVEN("readers that are killed, and a second herd among the others") {
        for_readers(&ConfigurationFleet::Kill, fleet);
        for (std::size_t i = kReaders; i < fleet.nodes.size(); i += 2) {
          fleet.Kill(i);
        }
        CHECK(fleet.Change() <= limits.apply_period);
        AND_WHEN("those that took their place are killed as well") {
          for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            if (fleet.nodes[i].running && fleet.nodes[i].watches) {
              fleet.Kill(i);
            }
          }
          CHECK(fleet.Change() <= limits.apply_period);
        }
      }
      GIVEN("a store that turns away all but a few of the other nodes") {
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
          if (i % 8 != 7) {
            fleet.TurnAway(i);
          }
        }
        CHECK(fleet.Change() <= limits.apply_period + limits.max_stretch);
      }
    }
  }
}

// Guards against a change that is late on nodes that the store serves, because
// the readers and those that are the first to take their place are turned away
// (rule CONFIG, review/15). Which nodes are, when and how, is random.
SCENARIO("a change is in force in time whichever nodes are turned away") {
  struct Draw {
    std::size_t size;
    int rounds;
  };
  const auto draw =
      GENERATE(Draw{5, 300}, Draw{15, 300}, Draw{87, 120}, Draw{295, 25});
  const std::size_t size = draw.size;
  const int apply_ms = GENERATE(2'000, 2'500);
  const ConfigurationLimits limits = {apply_ms * kMs, 5'000 * kMs};
  const std::size_t readers = std::max<std::size_t>(2, size / 10);
  ConfigurationFleet calm(readers, size - readers, limits);
  Random random(1'000 * size + static_cast<std::uint64_t>(apply_ms));
  for (int round = 0; round < draw.rounds; ++round) {
    ConfigurationFleet fleet = calm;
    const std::uint64_t percent = 20 + random.Below(61);
    const bool lose_readers = random.Below(2) == 0;
    // 0 to 2 s before the change, or up to 0.3 s after it.
    const Duration before = random.UpTo(2'300 * kMs) - 300 * kMs;
    CAPTURE(size, apply_ms, round, percent, before.count());
    const auto turn_away = [&] {
      for (std::size_t i = 0; i < size; ++i) {
        if ((lose_readers && i < readers) || random.Below(100) < percent) {
          random.Below(2) == 0 ? fleet.TurnAway(i) : fleet.Refuse(i);
        }
      }
    };
    if (before > Duration::zero()) {
      turn_away();
      fleet.Run(before);
      CHECK(fleet.ChangeForServed(limits.apply_period * 2) <=
            limits.apply_period);
    } else {
      ++fleet.stored;
      fleet.Run(-before);
      turn_away();
      --fleet.stored;
      CHECK(fleet.ChangeForServed(limits.apply_period * 2) - before <=
            limits.apply_period);
    }
  }
}

SCENARIO("a store that answers nobody is asked by few nodes") {
  ConfigurationFleet fleet(20, 275, kLimits);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.TurnAway(i);
  }
  fleet.Run(2'500 * kMs);
  for (int i = 0; i < 10; ++i) {
    fleet.Run(1'000 * kMs);
    fleet.calls = 0;
    fleet.Run(1'000 * kMs);
    // The readers go on, with two calls a second each.
    CHECK(fleet.calls <= 20 * 2 + 275);
  }
  THEN("they are back in time when it answers some of them again") {
    for (std::size_t i = 100; i < 150; ++i) {
      fleet.nodes[i].reaches_store = true;
    }
    CHECK(fleet.ChangeForServed(20'000 * kMs) <=
          kLimits.SubstituteRetry() + kLimits.apply_period);
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
  source.OnStoreConfirmed(kStart);
  source.OnPeerConfiguration("r1", {2, 0 * kMs}, kStart);

  AND_WHEN("the store turns it away") {
    source.SetStoreFailed(true);
    CHECK(source.SelectPeerToQuery(kStart) == "r1");
  }
  AND_WHEN("the store has not answered it for long") {
    source.OnStoreConfirmed(kStart - kApply);
    CHECK(source.SelectPeerToQuery(kStart) == "r1");
  }
  THEN("a peer is asked if the store does not deliver a newer generation") {
    CHECK_FALSE(source.SelectPeerToQuery(kStart + 900 * kMs).has_value());
    CHECK(source.SelectPeerToQuery(kStart + 1'000 * kMs) == "r1");
    AND_THEN("there is time for a second request") {
      CHECK_FALSE(source.SelectPeerToQuery(kStart + 1'400 * kMs).has_value());
      CHECK(source.SelectPeerToQuery(kStart + 1'500 * kMs) == "r1");
    }
  }
}

}  // namespace
}  // namespace verbenastile
