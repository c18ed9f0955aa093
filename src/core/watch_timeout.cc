#include "core/watch_timeout.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr Duration kMinTimeout = std::chrono::milliseconds(200);
// With this spread per follower, five to seven of all watches time out per
// second, a small part of the 2,000 reads that the platform allows. In 99 of
// 100 cases the first one times out within 1.6 s after all were sent.
constexpr Duration kSpreadPerFollower = std::chrono::milliseconds(300);
constexpr Duration kMaxSpread = std::chrono::seconds(20);

}  // namespace

Duration WatchTimeout(std::size_t followers, Random& random) {
  const Duration spread =
      kSpreadPerFollower * static_cast<std::int64_t>(followers);
  return kMinTimeout + random.UpTo(std::min(spread, kMaxSpread));
}

}  // namespace verbenastile
