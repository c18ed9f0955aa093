// Determines what a node that is shutting down still accepts, and when it
// exits. Its instance is healthy. The node therefore accepts calls for it while
// callers are still routed to this node, so that a rolling restart reduces the
// capacity of a service as little as possible.
#ifndef CORE_SHUTDOWN_SCHEDULE_H_
#define CORE_SHUTDOWN_SCHEDULE_H_

#include <cstdint>

#include "base/time.h"

namespace verbenastile {

enum class ShutdownOutcome : std::uint8_t {
  kInProgress,
  kCompleted,  // No request or call is in progress.
  kTimedOut,   // Some are in progress, and the grace period is over.
};

struct ShutdownState {
  bool accepts_calls = true;     // From other nodes, for the instance.
  bool accepts_requests = true;  // From callers on this machine.
  ShutdownOutcome outcome = ShutdownOutcome::kInProgress;
};

// The state at `waited` after the node was told to stop. The platform kills the
// node after `grace`. `busy`: a request or a call is in progress.
ShutdownState ShutdownStateAt(Duration waited, bool busy, Duration grace);

}  // namespace verbenastile

#endif  // CORE_SHUTDOWN_SCHEDULE_H_
