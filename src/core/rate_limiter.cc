#include "core/rate_limiter.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr double kMaxCallsPerSecond = 1'000'000;

}  // namespace

void RateLimiter::SetRate(std::optional<double> calls_per_second, Time now) {
  if (!calls_per_second) {
    interval_ = Duration::zero();
    return;
  }
  const double rate =
      std::clamp(*calls_per_second, kMinCallsPerSecond, kMaxCallsPerSecond);
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / rate));
  const bool was_limited = interval_ > Duration::zero();
  interval_ = interval;
  // A change of the rate keeps the calls that were counted, so that an upstream
  // that changes it with each response is not sent a call for each change.
  const Time latest = now + kBurstTime + interval_;
  next_ = was_limited ? std::min(next_, latest) : latest;
}

void RateLimiter::OnStarted(Time now) {
  if (interval_ > Duration::zero()) {
    next_ = std::max(next_, now) + interval_;
  }
}

Duration RateLimiter::Wait(Time now) const {
  return interval_ > Duration::zero()
             ? std::max(next_ - kBurstTime - now, Duration::zero())
             : Duration::zero();
}

}  // namespace verbenastile
