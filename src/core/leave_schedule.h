// Determines what a node that is shutting down still accepts, and when it
// exits. Its instance is healthy. The node therefore accepts calls for it while
// callers are still routed to this node, so that a rolling restart reduces the
// capacity of a service as little as possible.
#ifndef CORE_LEAVE_SCHEDULE_H_
#define CORE_LEAVE_SCHEDULE_H_

#include <cstdint>

#include "base/time.h"

namespace verbenastile {

enum class LeaveEnd : std::uint8_t {
  kNotYet,
  kFinished,  // No request or call is in progress.
  kExpired,   // Some are in progress, and the grace period is over.
};

struct LeaveState {
  bool takes_calls = true;     // From other nodes, for the instance.
  bool takes_requests = true;  // From callers on this machine.
  LeaveEnd end = LeaveEnd::kNotYet;
};

// The state at `waited` after the node was told to stop. The platform kills the
// node after `grace`. `busy`: a request or a call is in progress.
LeaveState LeaveStateAfter(Duration waited, bool busy, Duration grace);

}  // namespace verbenastile

#endif  // CORE_LEAVE_SCHEDULE_H_
