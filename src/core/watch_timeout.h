// The timeout of a node's watch on the store.
//
// When the store stops answering without closing its connections, a node
// notices that its watch is lost only at the timeout. The timeouts of all nodes
// that follow the store are therefore spread over time: one of them soon sends
// a new watch, and the others learn of the changes from that node.
#ifndef CORE_WATCH_TIMEOUT_H_
#define CORE_WATCH_TIMEOUT_H_

#include <cstddef>

#include "base/random.h"
#include "base/time.h"

namespace verbenastile {

// Returns a random timeout for the next watch of a node, when `followers` nodes
// follow the store.
Duration WatchTimeout(std::size_t followers, Random& random);

}  // namespace verbenastile

#endif  // CORE_WATCH_TIMEOUT_H_
