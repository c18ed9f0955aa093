#include <catch2/catch.hpp>

#include "core/leave_schedule.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kGrace = 6'000 * kMs;
constexpr Duration kStep = 10 * kMs;

// How long after it was told to stop a node takes calls, and is there at all.
struct Times {
  Duration takes_calls{0};
  Duration takes_requests{0};
  Duration ended{0};
  LeaveEnd end = LeaveEnd::kNotYet;
};

Times Play(Duration busy_until) {
  Times times;
  for (Duration at{0}; at <= kGrace; at += kStep) {
    const LeaveState state = LeaveStateAfter(at, at < busy_until, kGrace);
    times.takes_calls = state.takes_calls ? at : times.takes_calls;
    times.takes_requests = state.takes_requests ? at : times.takes_requests;
    if (state.end != LeaveEnd::kNotYet) {
      times.ended = at;
      times.end = state.end;
      break;
    }
  }
  return times;
}

SCENARIO("a node that was told to stop") {
  GIVEN("nothing under way") {
    const Times times = Play(0 * kMs);
    THEN("it is there until the platform has asked twice") {
      CHECK(times.takes_requests >= 2'000 * kMs);
      CHECK(times.end == LeaveEnd::kFinished);
      CHECK(times.ended <= 3'000 * kMs);
    }
  }
  GIVEN("a long call") {
    CHECK(Play(4'000 * kMs).ended == 4'000 * kMs);
    CHECK(Play(4'000 * kMs).end == LeaveEnd::kFinished);
  }
  GIVEN("a call that does not end") {
    const Times times = Play(kGrace * 2);
    THEN("it gives up in time to end by itself") {
      CHECK(times.end == LeaveEnd::kExpired);
      CHECK(times.ended < kGrace);
    }
  }
}

// Pattern: the nodes of ten machines are stopped and started in turn, one each
// two seconds. With none of a stopping node's slots, a fifth of the service was
// missing all the while.
SCENARIO("nodes restarted in turn leave their instances in use") {
  constexpr Duration kGap = 2'000 * kMs;
  constexpr Duration kRestart = 1'000 * kMs;  // Until the instance reports.
  const Times times = Play(0 * kMs);
  const Duration away = times.ended - times.takes_calls + kRestart;
  CHECK(away <= kGap);
  // The calls that were taken last have time to end: a second is more than
  // the work of nearly all of them.
  CHECK(times.ended - times.takes_calls >= 800 * kMs);
}

}  // namespace
}  // namespace verbenastile
