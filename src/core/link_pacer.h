// Spreads the bytes of large answers over time, at a little less than what the
// machine's link carries: queues form here, where small frames pass them, and
// not in the network, where they cannot.
#ifndef CORE_LINK_PACER_H_
#define CORE_LINK_PACER_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

struct LinkPacerInit {
  std::int64_t link_bytes_per_second = 125'000'000;
  // The part of the link that is used; the rest is for what is not seen here,
  // such as acknowledgements and lost packets.
  std::uint32_t used_permille = 900;
  // What may leave at once after a pause, and the most that a small frame
  // finds before it: a few milliseconds at 10 Mbit/s.
  std::int64_t burst_bytes = 8'192;
};

// A token bucket that small frames overdraw.
class LinkPacer {
 public:
  LinkPacer(const LinkPacerInit& init, Time now);

  // How many of `wanted` bytes may leave now.
  std::size_t Take(std::size_t wanted, Time now);
  // Bytes that left without asking.
  void OnSent(std::size_t bytes, Time now);
  // How long until a piece of the burst's size may leave.
  Duration UntilNext(Time now);
  // What small frames have left of the link lately.
  std::int64_t BytesPerSecondLeft(Time now) const;

 private:
  void Refill(Time now);
  double SmallBytesPerSecond(Time now) const;

  std::int64_t bytes_per_second_;
  std::int64_t burst_;
  std::int64_t tokens_;
  Time refilled_;
  double small_bytes_per_second_ = 0;  // A moving average.
  Time small_sent_;
};

}  // namespace verbenastile

#endif  // CORE_LINK_PACER_H_
