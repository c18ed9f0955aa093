#include <catch2/catch.hpp>

#include "core/shutdown_schedule.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kGrace = 6'000 * kMs;
constexpr Duration kStep = 10 * kMs;

// How long after the stop request a node accepts calls and requests, and when
// it exits.
struct ShutdownTimes {
  Duration accepts_calls{0};
  Duration accepts_requests{0};
  Duration exited{0};
  ShutdownOutcome outcome = ShutdownOutcome::kInProgress;
};

ShutdownTimes RunShutdown(Duration busy_until, Duration grace = kGrace) {
  ShutdownTimes times;
  for (Duration at{0}; at <= grace; at += kStep) {
    const ShutdownState state = ShutdownStateAt(at, at < busy_until, grace);
    times.accepts_calls = state.accepts_calls ? at : times.accepts_calls;
    times.accepts_requests =
        state.accepts_requests ? at : times.accepts_requests;
    if (state.outcome != ShutdownOutcome::kInProgress) {
      times.exited = at;
      times.outcome = state.outcome;
      break;
    }
  }
  return times;
}

SCENARIO("the shutdown of a node") {
  GIVEN("no requests or calls in progress") {
    const ShutdownTimes times = RunShutdown(0 * kMs);
    THEN("it accepts requests until two readiness checks have failed") {
      CHECK(times.accepts_requests >= 2'000 * kMs);
      CHECK(times.outcome == ShutdownOutcome::kCompleted);
      CHECK(times.exited <= 3'000 * kMs);
    }
  }
  GIVEN("a call that completes within the grace period") {
    CHECK(RunShutdown(4'000 * kMs).exited == 4'000 * kMs);
    CHECK(RunShutdown(4'000 * kMs).outcome == ShutdownOutcome::kCompleted);
  }
  GIVEN("a call that does not complete") {
    const ShutdownTimes times = RunShutdown(kGrace * 2);
    THEN("the node gives up in time to exit by itself") {
      CHECK(times.outcome == ShutdownOutcome::kTimedOut);
      CHECK(times.exited < kGrace);
    }
  }
}

// Guards against requests that are cut off (LOST): with a short grace period, a
// node accepted requests until it exited.
SCENARIO("the last requests accepted have half of the grace period") {
  for (const int grace_ms : {2'000, 3'000, 6'000, 10'000}) {
    const Duration grace = grace_ms * kMs;
    const ShutdownTimes times = RunShutdown(grace * 2, grace);
    CHECK(times.exited - times.accepts_requests >= times.exited / 2);
  }
}

// Guards against lost capacity during a rolling restart: the nodes of ten
// machines are restarted in turn, one every two seconds. When a stopping node
// accepted no calls for its instance, a fifth of the service was missing
// throughout.
SCENARIO("instances stay in use during a rolling restart") {
  constexpr Duration kRestartInterval = 2'000 * kMs;
  constexpr Duration kStartTime =
      1'000 * kMs;  // Until the first report of the instance.
  const ShutdownTimes times = RunShutdown(0 * kMs);
  const Duration unavailable = times.exited - times.accepts_calls + kStartTime;
  CHECK(unavailable <= kRestartInterval);
  // The calls accepted last have time to complete: nearly all of them take less
  // than a second.
  CHECK(times.exited - times.accepts_calls >= 800 * kMs);
}

}  // namespace
}  // namespace verbenastile
