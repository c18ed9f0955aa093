// Exponential decay of what a node has observed or was told.
#ifndef CORE_DECAYED_VALUE_H_
#define CORE_DECAYED_VALUE_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

// The weight of observations and load reports halves in this time.
constexpr Duration kObservationHalfLife = std::chrono::seconds(2);

// The value of an observation made at `observed_at`, after exponential decay.
inline std::int64_t Decayed(std::int64_t value, Time observed_at, Time now) {
  constexpr std::int64_t kMaxHalvings = 20;
  const std::int64_t halvings = (now - observed_at) / kObservationHalfLife;
  return value >> std::clamp<std::int64_t>(halvings, 0, kMaxHalvings);
}

}  // namespace verbenastile

#endif  // CORE_DECAYED_VALUE_H_
