// Transfer time of a number of bytes at a given bandwidth.
#ifndef CORE_TRANSFER_TIME_H_
#define CORE_TRANSFER_TIME_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

inline Duration TransferTime(std::int64_t bytes,
                             std::int64_t bytes_per_second) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  return Duration(bytes * kMicrosPerSecond /
                  std::max<std::int64_t>(bytes_per_second, 1));
}

}  // namespace verbenastile

#endif  // CORE_TRANSFER_TIME_H_
