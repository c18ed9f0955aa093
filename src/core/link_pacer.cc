#include "core/link_pacer.h"

#include <algorithm>
#include <cmath>

#include "core/transfer_time.h"

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1'000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
// Debts of small frames are forgotten beyond so many bursts.
constexpr std::int64_t kMaxDebtBursts = 8;
constexpr std::int64_t kLeastRate = 1'000;
// What small frames take is averaged over this.
constexpr double kAverageSeconds = 1;
// Large answers get this part of the link at least, in forecasts.
constexpr std::int64_t kLeastLeftDivisor = 4;

}  // namespace

LinkPacer::LinkPacer(const LinkPacerInit& init, Time now)
    : bytes_per_second_(
          std::max(init.link_bytes_per_second * init.used_permille / kPermille,
                   kLeastRate)),
      burst_(std::max(init.burst_bytes, bytes_per_second_ * 2 / kPermille)),
      tokens_(burst_),
      refilled_(now) {}

void LinkPacer::Refill(Time now) {
  const std::int64_t micros =
      std::clamp<std::int64_t>((now - refilled_).count(), 0, kMicrosPerSecond);
  const std::int64_t earned = bytes_per_second_ * micros / kMicrosPerSecond;
  if (earned > 0) {
    tokens_ = std::min(tokens_ + earned, burst_);
    refilled_ = now;
  }
}

std::size_t LinkPacer::Take(std::size_t wanted, Time now) {
  Refill(now);
  const std::int64_t taken =
      std::clamp<std::int64_t>(tokens_, 0, static_cast<std::int64_t>(wanted));
  tokens_ -= taken;
  return static_cast<std::size_t>(taken);
}

void LinkPacer::OnSent(std::size_t bytes, Time now) {
  Refill(now);
  tokens_ = std::max(tokens_ - static_cast<std::int64_t>(bytes),
                     -kMaxDebtBursts * burst_);
  small_bytes_per_second_ =
      SmallBytesPerSecond(now) + static_cast<double>(bytes) / kAverageSeconds;
  small_sent_ = now;
}

double LinkPacer::SmallBytesPerSecond(Time now) const {
  const double passed =
      std::chrono::duration<double>(now - small_sent_).count();
  return small_bytes_per_second_ * std::exp(-passed / kAverageSeconds);
}

std::int64_t LinkPacer::BytesPerSecondLeft(Time now) const {
  const auto small = static_cast<std::int64_t>(SmallBytesPerSecond(now));
  return std::max(bytes_per_second_ - small,
                  bytes_per_second_ / kLeastLeftDivisor);
}

Duration LinkPacer::UntilNext(Time now) {
  Refill(now);
  return TransferTime(std::max<std::int64_t>(burst_ - tokens_, 0),
                      bytes_per_second_);
}

}  // namespace verbenastile
