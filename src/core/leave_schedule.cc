#include "core/leave_schedule.h"

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

LeaveState LeaveStateAfter(Duration waited, bool busy, Duration grace) {
  LeaveState state;
  state.takes_calls = waited < kAcceptCallsTime;
  state.takes_requests = waited < kAcceptRequestsTime;
  if (waited >= grace - kExitReserve) {
    state.end = busy ? LeaveEnd::kExpired : LeaveEnd::kFinished;
  } else if (!state.takes_requests && !busy) {
    state.end = LeaveEnd::kFinished;
  }
  return state;
}

}  // namespace verbenastile
