// Tests of how retries are recognized and when refused callers are asked to
// retry.
#include <catch2/catch.hpp>
#include <map>

#include "core/retry_after.h"
#include "core/retry_tracker.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Time kStart = Time(std::chrono::seconds(100));

SCENARIO("a retry of a refused request is recognized") {
  RetryTracker callers;
  const RequestKey key = MakeRequestKey("10.0.0.9", "GET", "/films/7");
  CHECK(callers.TakeFirstAttemptTime(key, kStart) == kStart);
  GIVEN("a refused request") {
    callers.OnRequestFailed(key, kStart, kStart + 40 * kMs);
    THEN("the retry has the time of the first attempt") {
      const Time second = kStart + 400 * kMs;
      CHECK(callers.TakeFirstAttemptTime(key, second) == kStart);
      AND_THEN("a later equal request does not") {
        CHECK(callers.TakeFirstAttemptTime(key, second) == second);
      }
      AND_WHEN("the retry is refused too") {
        callers.OnRequestFailed(key, kStart, second);
        CHECK(callers.TakeFirstAttemptTime(key, second + 900 * kMs) == kStart);
      }
    }
    THEN("requests of other callers, methods and paths are not retries") {
      const Time later = kStart + 400 * kMs;
      for (const RequestKey other :
           {MakeRequestKey("10.0.0.8", "GET", "/films/7"),
            MakeRequestKey("10.0.0.9", "POST", "/films/7"),
            MakeRequestKey("10.0.0.9", "GET", "/films/8")}) {
        CHECK(callers.TakeFirstAttemptTime(other, later) == later);
      }
    }
    THEN("the entry expires if no retry arrives") {
      const Time later = kStart + 10'000 * kMs;
      CHECK(callers.TakeFirstAttemptTime(key, later) == later);
      CHECK(callers.size() == 0);
    }
  }
}

SCENARIO("the number of tracked requests is bounded") {
  RetryTracker callers;
  for (std::size_t i = 0; i < 3 * RetryTracker::kMaxRequests; ++i) {
    callers.OnRequestFailed(i, kStart, kStart);
  }
  CHECK(callers.size() <= RetryTracker::kMaxRequests);
}

SCENARIO("a caller refused by chance is asked to retry soon") {
  RetryAfterEstimator times;
  Random random(1);
  for (int i = 0; i < 100; ++i) {
    times.OnOutcome("films", i % 20 == 0, kStart + i * 10 * kMs);
  }
  const Time now = kStart + 1'000 * kMs;
  for (int i = 0; i < 50; ++i) {
    const Duration wait =
        times.Estimate({"films", 80 * kMs, 8'000 * kMs}, now, random);
    CHECK(wait >= 80 * kMs);
    CHECK(wait <= 160 * kMs);
  }
  THEN("without an estimate the wait is short and within the time left") {
    CHECK(times.Estimate({"other", 0 * kMs, 8'000 * kMs}, now, random) <=
          600 * kMs);
    CHECK(times.Estimate({"other", 0 * kMs, 300 * kMs}, now, random) <=
          100 * kMs);
  }
}

// Guards against refused callers using up their attempts during an overload.
// Twice as many callers arrive as there is capacity for, for three seconds;
// each makes three attempts within 8 s. If all were asked to retry after 100 to
// 200 ms, their attempts would be used up while the overload still lasts.
SCENARIO("an overload of seconds does not use up the callers' attempts") {
  RetryAfterEstimator times;
  Random random(2);
  for (int i = 0; i < 20; ++i) {
    times.OnOutcome("films", i % 2 == 0, kStart + i * 50 * kMs);
  }
  constexpr Duration kOverloadEnd = 3'000 * kMs;
  int after_overload = 0;
  for (int caller = 0; caller < 100; ++caller) {
    Duration at{0};
    for (int attempt = 1; attempt < 3; ++attempt) {
      at += times.Estimate({"films", 100 * kMs, 8'000 * kMs - at},
                           kStart + 1'000 * kMs, random);
    }
    after_overload += at >= kOverloadEnd ? 1 : 0;
  }
  CHECK(after_overload > 80);
  THEN("the retries are spread out") {
    std::map<std::int64_t, int> tenths;
    for (int caller = 0; caller < 1'000; ++caller) {
      ++tenths[times.Estimate({"films", 100 * kMs, 8'000 * kMs},
                              kStart + 1'000 * kMs, random) /
               (100 * kMs)];
    }
    for (const auto& [tenth, count] : tenths) {
      CHECK(count < 150);
    }
  }
  THEN("waits are short again after the overload") {
    const Time later = kStart + 20'000 * kMs;
    CHECK(times.Estimate({"films", 100 * kMs, 8'000 * kMs}, later, random) <=
          200 * kMs);
  }
}

}  // namespace
}  // namespace verbenastile
