#include "core/shutdown_schedule.h"

#include <algorithm>

namespace verbenastile {
namespace {

// The platform routes callers here until two of its readiness checks, a second
// apart, have reported the node as not ready.
constexpr Duration kAcceptRequestsTime = std::chrono::milliseconds(2'600);
// The rest of `kAcceptRequestsTime` is for calls to complete; nearly all take
// less than that.
constexpr Duration kAcceptCallsTime = std::chrono::milliseconds(1'800);
// Reserved at the end of the grace period for the process to exit by itself.
constexpr Duration kExitReserve = std::chrono::milliseconds(500);

}  // namespace

ShutdownState ShutdownStateAt(Duration waited, bool busy, Duration grace) {
  ShutdownState state;
  state.accepts_calls = waited < kAcceptCallsTime;
  const Duration end = grace - kExitReserve;
  // The last requests accepted have at least as long to complete.
  state.accepts_requests = waited < std::min(kAcceptRequestsTime, end / 2);
  if (waited >= end) {
    state.outcome =
        busy ? ShutdownOutcome::kTimedOut : ShutdownOutcome::kCompleted;
  } else if (!state.accepts_requests && !busy) {
    state.outcome = ShutdownOutcome::kCompleted;
  }
  return state;
}

}  // namespace verbenastile
