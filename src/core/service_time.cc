#include "core/service_time.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kAverageWindow = 8;
// Larger samples are capped at this multiple of the average, so that one long
// stream does not make every other call look hopeless.
constexpr std::int64_t kMaxSampleToMeanRatio = 4;
constexpr Duration kMinSampleCap = std::chrono::milliseconds(1);

}  // namespace

void ServiceTime::Add(Duration sample, Duration max_sample) {
  sample = std::min(sample, max_sample);
  if (mean == Duration::zero()) {
    mean = std::max(sample, Duration(1));
    return;
  }
  const Duration difference = sample - mean;
  const Duration magnitude =
      std::min(difference < Duration::zero() ? -difference : difference,
               mean * kMaxSampleToMeanRatio);
  deviation += (magnitude - deviation) / kAverageWindow;
  sample =
      std::min(sample, std::max(mean * kMaxSampleToMeanRatio, kMinSampleCap));
  mean += (sample - mean) / kAverageWindow;
  mean = std::max(mean, Duration(1));
}

Duration RequiredTime(Duration mean, Duration deviation, Duration whole) {
  const Duration upper_bound = mean + 2 * deviation;
  return std::min(upper_bound, std::max(mean, whole * 3 / 4));
}

}  // namespace verbenastile
