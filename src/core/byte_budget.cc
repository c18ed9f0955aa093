#include "core/byte_budget.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

ByteBudget::ByteBudget(const ByteRate& rate)
    : rate_(rate), level_(static_cast<double>(rate.burst_bytes)) {}

bool ByteBudget::Open(Time now) {
  Refill(now);
  return level_ > 0;
}

bool ByteBudget::Take(Time now, std::uint64_t bytes) {
  if (!Open(now)) {
    return false;
  }
  level_ -= static_cast<double>(bytes);
  return true;
}

void ByteBudget::Refill(Time now) {
  if (!started_) {
    started_ = true;
    refilled_ = now;
  }
  const double seconds =
      static_cast<double>((now - refilled_).count()) / kMicrosecondsPerSecond;
  refilled_ = now;
  const double gained = seconds * static_cast<double>(rate_.bytes_per_second);
  level_ = std::min(level_ + gained, static_cast<double>(rate_.burst_bytes));
}

}  // namespace verbenastile
