#include "core/link_pacer.h"

#include <algorithm>
#include <cmath>

#include "core/transfer_time.h"

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1'000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
// The overdraft by small frames is limited to this many bursts.
constexpr std::int64_t kMaxOverdraftBursts = 8;
constexpr std::int64_t kMinBytesPerSecond = 1'000;
// Time constant of the average bandwidth of small frames.
constexpr double kAverageSeconds = 1;
// Predictions assume at least this fraction (1/n) of the bandwidth for large
// responses.
constexpr std::int64_t kMinAvailableDivisor = 4;

}  // namespace

LinkPacer::LinkPacer(const LinkPacerOptions& init, Time now)
    : bytes_per_second_(std::max(
          init.link_bytes_per_second * init.utilization_permille / kPermille,
          kMinBytesPerSecond)),
      burst_(std::max(init.burst_bytes, bytes_per_second_ * 2 / kPermille)),
      tokens_(burst_),
      last_refill_(now) {}

void LinkPacer::Refill(Time now) {
  const std::int64_t micros = std::clamp<std::int64_t>(
      (now - last_refill_).count(), 0, kMicrosPerSecond);
  const std::int64_t refill = bytes_per_second_ * micros / kMicrosPerSecond;
  if (refill > 0) {
    tokens_ = std::min(tokens_ + refill, burst_);
    last_refill_ = now;
  }
}

std::size_t LinkPacer::Acquire(std::size_t wanted, Time now) {
  Refill(now);
  const std::int64_t taken =
      std::clamp<std::int64_t>(tokens_, 0, static_cast<std::int64_t>(wanted));
  tokens_ -= taken;
  return static_cast<std::size_t>(taken);
}

void LinkPacer::OnUnpacedSent(std::size_t bytes, Time now) {
  Refill(now);
  tokens_ = std::max(tokens_ - static_cast<std::int64_t>(bytes),
                     -kMaxOverdraftBursts * burst_);
  small_frame_bytes_per_second_ = SmallFrameBytesPerSecond(now) +
                                  static_cast<double>(bytes) / kAverageSeconds;
  last_small_frame_ = now;
}

double LinkPacer::SmallFrameBytesPerSecond(Time now) const {
  const double passed =
      std::chrono::duration<double>(now - last_small_frame_).count();
  return small_frame_bytes_per_second_ * std::exp(-passed / kAverageSeconds);
}

std::int64_t LinkPacer::AvailableBytesPerSecond(Time now) const {
  const auto small = static_cast<std::int64_t>(SmallFrameBytesPerSecond(now));
  return std::max(bytes_per_second_ - small,
                  bytes_per_second_ / kMinAvailableDivisor);
}

Duration LinkPacer::TimeUntilBurst(Time now) {
  Refill(now);
  return TransferTime(std::max<std::int64_t>(burst_ - tokens_, 0),
                      bytes_per_second_);
}

}  // namespace verbenastile
