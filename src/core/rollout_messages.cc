#include "core/rollout_messages.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace verbenastile {
namespace {

constexpr std::int64_t kMaxServiceTimeUs = 60'000'000;
// The width of the square of one millisecond in microseconds.
constexpr int kFirstBucketWidth = 20;

}  // namespace

bool Replaces(const RolloutOrder& a, const RolloutOrder& b) {
  return a.id != b.id &&
         std::pair(a.era, a.revision) > std::pair(b.era, b.revision);
}

std::string_view ToString(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::size_t TimeBucketOf(Duration time) {
  const auto us = static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(time.count(), 0, kMaxServiceTimeUs));
  const int width = std::bit_width(us * us);
  return static_cast<std::size_t>(std::clamp(
      width - kFirstBucketWidth, 0, static_cast<int>(kTimeBuckets) - 1));
}

}  // namespace verbenastile
