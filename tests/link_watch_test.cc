#include <catch2/catch.hpp>

#include "core/link_watch.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);

SCENARIO("idle links cost a bounded number of probes") {
  CHECK(IdleSilence(9) == 1'000 * kMs);
  CHECK(IdleSilence(80) == 4'000 * kMs);
  // 694 machines: 20 probes a second.
  CHECK(IdleSilence(693) >= std::chrono::seconds(693) / 20);
  CHECK(LongestSilence(80) > IdleSilence(80));

  LinkWatch watch;
  LinkWatch::Query query{kStart, false, 80};
  CHECK(watch.Check(query, kStart + 4'000 * kMs) == LinkVerdict::kFine);
  CHECK(watch.Check(query, kStart + 4'001 * kMs) == LinkVerdict::kProbe);
  CHECK(watch.Check(query, kStart + 4'100 * kMs) == LinkVerdict::kFine);
  WHEN("the probe is answered") {
    watch.OnFrame();
    query.last_heard = kStart + 4'200 * kMs;
    THEN("nothing is due for a while") {
      CHECK(watch.Check(query, kStart + 8'000 * kMs) == LinkVerdict::kFine);
    }
  }
  WHEN("it is not") {
    THEN("the link is broken") {
      CHECK(watch.Check(query, kStart + 5'201 * kMs) == LinkVerdict::kFine);
      CHECK(watch.Check(query, kStart + 5'202 * kMs) == LinkVerdict::kBroken);
    }
    THEN("but not while this process stood still") {
      watch.OnStoodStill(kStart + 9'000 * kMs);
      CHECK(watch.Check(query, kStart + 9'100 * kMs) == LinkVerdict::kFine);
      CHECK(watch.Check(query, kStart + 10'300 * kMs) == LinkVerdict::kBroken);
    }
  }
}

SCENARIO("links with answers due, and suspected ones, are watched closely") {
  LinkWatch watch;
  LinkWatch::Query query{kStart, true, 80};
  const bool busy = GENERATE(true, false);
  query.busy = busy;
  if (!busy) {
    watch.OnSuspected();
  }
  CHECK(watch.Check(query, kStart + 300 * kMs) == LinkVerdict::kFine);
  CHECK(watch.Check(query, kStart + 301 * kMs) == LinkVerdict::kProbe);
  CHECK(watch.Check(query, kStart + 1'502 * kMs) == LinkVerdict::kBroken);
}

SCENARIO("a peer that another node lost answers this one") {
  LinkWatch watch;
  watch.OnSuspected();
  watch.OnFrame();
  CHECK(watch.Check({kStart, false, 80}, kStart + 3'000 * kMs) ==
        LinkVerdict::kFine);
}

SCENARIO("a new link owes its first frame") {
  LinkWatch watch;
  watch.OnOpened(kStart);
  CHECK(watch.Check({kStart, false, 9}, kStart + 1'200 * kMs) ==
        LinkVerdict::kFine);
  CHECK(watch.Check({kStart, false, 9}, kStart + 1'201 * kMs) ==
        LinkVerdict::kBroken);
}

}  // namespace
}  // namespace verbenastile
