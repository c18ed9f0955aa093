// How long a node's watch on the store may wait for a change.
//
// A store that went silent swallows the watches that reach it, which is noticed
// only when they end. The ends are spread over all nodes that follow the store,
// so that one of them soon asks anew and the others hear of it.
#ifndef CORE_WATCH_WAIT_H_
#define CORE_WATCH_WAIT_H_

#include <cstddef>

#include "base/random.h"
#include "base/time.h"

namespace verbenastile {

// The wait of the next watch of one of `followers` nodes.
Duration WatchWait(std::size_t followers, Random& random);

}  // namespace verbenastile

#endif  // CORE_WATCH_WAIT_H_
