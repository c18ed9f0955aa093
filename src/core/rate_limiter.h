// Limits the rate at which calls start with the generic cell rate algorithm
// (ITU-T I.371), a leaky bucket that needs a single timestamp. Calls that are
// allowed and did not start are not saved up beyond `kBurstTime`, and none are
// saved up when a limit begins.
#ifndef CORE_RATE_LIMITER_H_
#define CORE_RATE_LIMITER_H_

#include <optional>

#include "base/time.h"

namespace verbenastile {

class RateLimiter {
 public:
  // In any window, calls may exceed the rate by those of this time plus one.
  static constexpr Duration kBurstTime = std::chrono::milliseconds(250);
  // Lower rates are raised to this one: the response to a call is what ends a
  // limit, so that an upstream that takes no calls still gets one now and then.
  static constexpr double kMinCallsPerSecond = 0.2;

  // Changes the limit; an empty one lifts it.
  void SetRate(std::optional<double> calls_per_second, Time now);
  // A call starts now. The limit counts calls that exceed it too.
  void OnStarted(Time now);

  // The time until a call may start; zero if it may start now.
  Duration Wait(Time now) const;
  // The time between two calls at the limit; zero without a limit.
  Duration interval() const { return interval_; }

 private:
  Duration interval_{0};
  // When the next call would start if calls were evenly spaced.
  Time next_;
};

}  // namespace verbenastile

#endif  // CORE_RATE_LIMITER_H_
