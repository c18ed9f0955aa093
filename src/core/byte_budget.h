// A token bucket of bytes.
#ifndef CORE_BYTE_BUDGET_H_
#define CORE_BYTE_BUDGET_H_

#include <cstdint>

#include "base/time.h"

namespace verbenastile {

struct ByteRate {
  std::uint64_t bytes_per_second = 0;
  std::uint64_t burst_bytes = 0;
};

// Lets a message through while the bucket is not empty; a message larger than
// what is left puts the bucket into debt. So in any time T at most
// burst + rate * T + one message is let through.
class ByteBudget {
 public:
  explicit ByteBudget(const ByteRate& rate);

  // Takes `bytes` unless the bucket is empty. Returns whether it did.
  bool Take(Time now, std::uint64_t bytes);

  // Whether anything may be sent now.
  bool Open(Time now);

 private:
  void Refill(Time now);

  ByteRate rate_;
  double level_;
  Time refilled_;
  bool started_ = false;
};

}  // namespace verbenastile

#endif  // CORE_BYTE_BUDGET_H_
