#include "core/instance_pace.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kPpmOfPermille = 1'000;
constexpr std::int64_t kPpm = 1'000'000;
// The mean is known after this many calls; later the weight of a new one is one
// divided by this.
constexpr std::int64_t kWindow = 64;
// Longer times count as this multiple of the usual one, so that a single call
// does not make an instance look slow.
constexpr std::int64_t kMaxRatio = 4;

}  // namespace

void InstancePace::OnInstance(std::string_view id) {
  if (instance_ != id) {
    *this = {};
    instance_ = id;
  }
}

void InstancePace::OnRan(Duration ran, Duration usual) {
  if (usual <= Duration::zero()) {
    return;
  }
  const std::int64_t sample =
      std::min(ran, usual * kMaxRatio).count() * kPpm / usual.count();
  samples_ = std::min(samples_ + 1, kWindow);
  mean_ppm_ += (sample - mean_ppm_) / samples_;
}

std::uint32_t InstancePace::slowness_permille() const {
  return samples_ < kWindow ? 0
                            : static_cast<std::uint32_t>(std::max<std::int64_t>(
                                  mean_ppm_ / kPpmOfPermille, 1));
}

}  // namespace verbenastile
