// Callers that come back: how they are recognised, and when they are asked to.
#include <catch2/catch.hpp>
#include <map>

#include "core/return_time.h"
#include "core/returning_callers.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Time kStart = Time(std::chrono::seconds(100));

SCENARIO("a caller that comes back is recognised") {
  ReturningCallers callers;
  const RequestKey key = KeyOfRequest("10.0.0.9", "GET", "/films/7");
  CHECK(callers.FirstAsked(key, kStart) == kStart);
  GIVEN("its request was refused") {
    callers.OnNotServed(key, kStart, kStart + 40 * kMs);
    THEN("its next try counts from the first") {
      const Time second = kStart + 400 * kMs;
      CHECK(callers.FirstAsked(key, second) == kStart);
      AND_THEN("an equal request of another time does not") {
        CHECK(callers.FirstAsked(key, second) == second);
      }
      AND_WHEN("it is refused again") {
        callers.OnNotServed(key, kStart, second);
        CHECK(callers.FirstAsked(key, second + 900 * kMs) == kStart);
      }
    }
    THEN("others are not taken for it") {
      const Time later = kStart + 400 * kMs;
      for (const RequestKey other :
           {KeyOfRequest("10.0.0.8", "GET", "/films/7"),
            KeyOfRequest("10.0.0.9", "POST", "/films/7"),
            KeyOfRequest("10.0.0.9", "GET", "/films/8")}) {
        CHECK(callers.FirstAsked(other, later) == later);
      }
    }
    THEN("it is forgotten when it does not come") {
      const Time later = kStart + 10'000 * kMs;
      CHECK(callers.FirstAsked(key, later) == later);
      CHECK(callers.size() == 0);
    }
  }
}

SCENARIO("callers that are remembered are bounded") {
  ReturningCallers callers;
  for (std::size_t i = 0; i < 3 * ReturningCallers::kMaxKept; ++i) {
    callers.OnNotServed(i, kStart, kStart);
  }
  CHECK(callers.size() <= ReturningCallers::kMaxKept);
}

SCENARIO("a refusal by chance asks the caller back soon") {
  ReturnTimes times;
  Random random(1);
  for (int i = 0; i < 100; ++i) {
    times.OnOutcome("films", i % 20 == 0, kStart + i * 10 * kMs);
  }
  const Time now = kStart + 1'000 * kMs;
  for (int i = 0; i < 50; ++i) {
    const Duration wait =
        times.For({"films", 80 * kMs, 8'000 * kMs}, now, random);
    CHECK(wait >= 80 * kMs);
    CHECK(wait <= 160 * kMs);
  }
  THEN("with nothing known the wait is short too, and within its time") {
    CHECK(times.For({"other", 0 * kMs, 8'000 * kMs}, now, random) <= 600 * kMs);
    CHECK(times.For({"other", 0 * kMs, 300 * kMs}, now, random) <= 100 * kMs);
  }
}

// Pattern: twice as many callers as there is room for, for three seconds. Each
// has three tries and 8 s. Asked back after 100 to 200 ms, all of them have
// used up their tries while the crowd is still there.
SCENARIO("an overload of seconds does not use up the callers' tries") {
  ReturnTimes times;
  Random random(2);
  for (int i = 0; i < 20; ++i) {
    times.OnOutcome("films", i % 2 == 0, kStart + i * 50 * kMs);
  }
  constexpr Duration kCrowdIsGone = 3'000 * kMs;
  int outlived = 0;
  for (int caller = 0; caller < 100; ++caller) {
    Duration at{0};
    for (int tries = 1; tries < 3; ++tries) {
      at += times.For({"films", 100 * kMs, 8'000 * kMs - at},
                      kStart + 1'000 * kMs, random);
    }
    outlived += at >= kCrowdIsGone ? 1 : 0;
  }
  CHECK(outlived > 80);
  THEN("they do not all come back at once") {
    std::map<std::int64_t, int> tenths;
    for (int caller = 0; caller < 1'000; ++caller) {
      ++tenths[times.For({"films", 100 * kMs, 8'000 * kMs},
                         kStart + 1'000 * kMs, random) /
               (100 * kMs)];
    }
    for (const auto& [tenth, count] : tenths) {
      CHECK(count < 150);
    }
  }
  THEN("the crowd is forgotten when it is gone") {
    const Time later = kStart + 20'000 * kMs;
    CHECK(times.For({"films", 100 * kMs, 8'000 * kMs}, later, random) <=
          200 * kMs);
  }
}

}  // namespace
}  // namespace verbenastile
