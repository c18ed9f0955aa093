#include "core/slowness.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1'000;
// A new sample's part of the average is one in this many.
constexpr std::int64_t kAverageOver = 12;
constexpr std::int64_t kMost = 50'000;

std::int64_t Ratio(Duration taken, Duration usual) {
  return std::clamp<std::int64_t>(taken.count() * kPermille / usual.count(), 0,
                                  kMost);
}

}  // namespace

void Slowness::OnEnded(Duration taken, Duration usual) {
  if (usual <= Duration::zero()) {
    return;
  }
  const std::int64_t sample = Ratio(taken, usual);
  if (ended_permille_ == 0) {
    ended_permille_ = kPermille;
  }
  ended_permille_ += (sample - ended_permille_) / kAverageOver;
}

void Slowness::OnRunning(Duration taken, Duration usual) {
  running_permille_ = usual > Duration::zero() ? Ratio(taken, usual) : 0;
}

std::uint32_t Slowness::permille() const {
  return static_cast<std::uint32_t>(
      std::max(ended_permille_, running_permille_));
}

}  // namespace verbenastile
