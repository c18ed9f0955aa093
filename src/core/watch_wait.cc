#include "core/watch_wait.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr Duration kShortestWait = std::chrono::seconds(1);
// Of all followers' watches about four end in a second, of the 2,000 reads that
// the platform allows; in 99 of 100 cases one ends 2.5 s after all were sent.
constexpr Duration kWaitOfFollower = std::chrono::milliseconds(300);
constexpr Duration kLongestWait = std::chrono::seconds(20);

}  // namespace

Duration WatchWait(std::size_t followers, Random& random) {
  const Duration spread =
      kWaitOfFollower * static_cast<std::int64_t>(followers);
  return kShortestWait + random.UpTo(std::min(spread, kLongestWait));
}

}  // namespace verbenastile
