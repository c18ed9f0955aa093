#include "core/leave_schedule.h"

namespace verbenastile {
namespace {

// Callers are sent here until the platform has asked twice, a second apart,
// and was told twice that the node is not ready.
constexpr Duration kNoticeTime = std::chrono::milliseconds(2'600);
// The rest of the notice is for calls to end in: longer than nearly all take.
constexpr Duration kTakesCallsTime = std::chrono::milliseconds(1'800);
// What is left of the grace period for the process to end by itself.
constexpr Duration kExitTime = std::chrono::milliseconds(500);

}  // namespace

LeaveState LeaveStateAfter(Duration waited, bool busy, Duration grace) {
  LeaveState state;
  state.takes_calls = waited < kTakesCallsTime;
  state.takes_requests = waited < kNoticeTime;
  if (waited >= grace - kExitTime) {
    state.end = busy ? LeaveEnd::kExpired : LeaveEnd::kFinished;
  } else if (!state.takes_requests && !busy) {
    state.end = LeaveEnd::kFinished;
  }
  return state;
}

}  // namespace verbenastile
