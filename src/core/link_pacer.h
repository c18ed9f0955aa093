// Paces the bytes of large responses slightly below the bandwidth of the link.
// Queues then form in this process, where small frames can overtake them, and
// not in the network, where they cannot.
#ifndef CORE_LINK_PACER_H_
#define CORE_LINK_PACER_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

struct LinkPacerOptions {
  std::int64_t link_bytes_per_second = 125'000'000;
  // The used part of the bandwidth; the rest is for traffic that is not seen
  // here, such as acknowledgements and retransmissions.
  std::uint32_t utilization_permille = 900;
  // The bytes that may be sent at once after a pause, which is also the most
  // that a small frame queues behind: a few milliseconds at 10 Mbit/s.
  std::int64_t burst_bytes = 8'192;
};

// A token bucket. Small frames are sent without asking and may overdraw it.
class LinkPacer {
 public:
  LinkPacer(const LinkPacerOptions& init, Time now);

  // Returns how many of `wanted` bytes may be sent now, and takes their tokens.
  std::size_t Acquire(std::size_t wanted, Time now);
  // Accounts for small frames that were sent without `Acquire`.
  void OnUnpacedSent(std::size_t bytes, Time now);
  // The time until a full burst may be sent.
  Duration TimeUntilBurst(Time now);
  // The bandwidth that remains for large responses next to the recent traffic
  // of small frames.
  std::int64_t AvailableBytesPerSecond(Time now) const;

 private:
  void Refill(Time now);
  double SmallFrameBytesPerSecond(Time now) const;

  std::int64_t bytes_per_second_;
  std::int64_t burst_;
  std::int64_t tokens_;
  Time last_refill_;
  double small_frame_bytes_per_second_ = 0;  // Decaying average.
  Time last_small_frame_;
};

}  // namespace verbenastile

#endif  // CORE_LINK_PACER_H_
