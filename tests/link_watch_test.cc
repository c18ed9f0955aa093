#include <catch2/catch.hpp>

#include "core/link_watch.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);

SCENARIO("the probe rate of idle links is bounded") {
  CHECK(IdleSilence(9) == 1'000 * kMs);
  CHECK(IdleSilence(80) == 4'000 * kMs);
  // 694 machines: 20 probes per second.
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
    THEN("no new probe is due for a while") {
      CHECK(watch.Check(query, kStart + 8'000 * kMs) == LinkVerdict::kFine);
    }
  }
  WHEN("the probe is not answered") {
    THEN("the link is broken") {
      CHECK(watch.Check(query, kStart + 5'201 * kMs) == LinkVerdict::kFine);
      CHECK(watch.Check(query, kStart + 5'202 * kMs) == LinkVerdict::kBroken);
    }
    THEN("the time for which this process was paused does not count") {
      watch.OnStoodStill(kStart + 9'000 * kMs);
      CHECK(watch.Check(query, kStart + 9'100 * kMs) == LinkVerdict::kFine);
      CHECK(watch.Check(query, kStart + 10'300 * kMs) == LinkVerdict::kBroken);
    }
  }
}

SCENARIO("busy and suspected links are probed after a short silence") {
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

SCENARIO("a frame of the peer clears a suspicion") {
  LinkWatch watch;
  watch.OnSuspected();
  watch.OnFrame();
  CHECK(watch.Check({kStart, false, 80}, kStart + 3'000 * kMs) ==
        LinkVerdict::kFine);
}

SCENARIO("a new link is broken without a first frame") {
  LinkWatch watch;
  watch.OnOpened(kStart);
  CHECK(watch.Check({kStart, false, 9}, kStart + 1'200 * kMs) ==
        LinkVerdict::kFine);
  CHECK(watch.Check({kStart, false, 9}, kStart + 1'201 * kMs) ==
        LinkVerdict::kBroken);
}

}  // namespace
}  // namespace verbenastile
