// Token bucket that limits bytes sent to a sustained rate plus a burst.
#ifndef CORE_BYTE_BUDGET_H_
#define CORE_BYTE_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

class ByteBudget {
 public:
  ByteBudget(std::int64_t bytes_per_second, std::int64_t burst, Time now)
      : rate_(bytes_per_second), burst_(burst), tokens_(burst), last_(now) {}

  // Takes `bytes` tokens and returns true if at least `floor` remain. A
  // negative `floor` allows an overdraft.
  bool Spend(Time now, std::int64_t bytes, std::int64_t floor) {
    Refill(now);
    if (tokens_ - bytes < floor) {
      return false;
    }
    tokens_ -= bytes;
    return true;
  }

  std::int64_t Left(Time now) {
    Refill(now);
    return tokens_;
  }

 private:
  void Refill(Time now) {
    constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
    const std::int64_t passed =
        std::max<std::int64_t>((now - last_).count(), 0);
    const std::int64_t gained = passed * rate_ / kMicrosecondsPerSecond;
    if (gained > 0) {
      tokens_ = std::min(tokens_ + gained, burst_);
      last_ = now;
    }
  }

  std::int64_t rate_;
  std::int64_t burst_;
  std::int64_t tokens_;
  Time last_;
};

}  // namespace verbenastile

#endif  // CORE_BYTE_BUDGET_H_
