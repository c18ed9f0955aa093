// What a node that was told to stop still does, and when it ends. Its instance
// is well: calls for it are taken while callers are still sent here, so that
// nodes that are restarted in turn take no more of a service away than they
// must.
#ifndef CORE_LEAVE_SCHEDULE_H_
#define CORE_LEAVE_SCHEDULE_H_

#include <cstdint>

#include "base/time.h"

namespace verbenastile {

enum class LeaveEnd : std::uint8_t {
  kNotYet,
  kFinished,  // Nothing is under way.
  kExpired,   // Calls are, and the grace period is over.
};

struct LeaveState {
  bool takes_calls = true;     // Of other nodes, for the instance.
  bool takes_requests = true;  // Of callers on this machine.
  LeaveEnd end = LeaveEnd::kNotYet;
};

// The state `waited` after the node was told to stop, which is killed after
// `grace`. `busy`: a request or a call is under way.
LeaveState LeaveStateAfter(Duration waited, bool busy, Duration grace);

}  // namespace verbenastile

#endif  // CORE_LEAVE_SCHEDULE_H_
