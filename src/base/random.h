// A deterministic source of random numbers for decision logic: the same seed
// gives the same numbers on every machine.
#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "base/time.h"

namespace verbenastile {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, `count`); `count` must not be 0.
  std::uint64_t Below(std::uint64_t count) {
    return boost::random::uniform_int_distribution<std::uint64_t>(
        0, count - 1)(engine_);
  }

  // True with probability 1 / `count`.
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }

  // Uniform in [0, `longest`]: full jitter.
  Duration UpTo(Duration longest) {
    const auto limit = std::max<std::int64_t>(longest.count(), 0);
    return Duration(Below(static_cast<std::uint64_t>(limit) + 1));
  }

  // Uniform in [0.5, 1.5] times `interval`.
  Duration Jitter50Percent(Duration interval) {
    return interval / 2 + UpTo(interval);
  }

  // Uniform in [0.9, 1.1] times `mean`.
  Duration Jitter10Percent(Duration mean) {
    return mean * 9 / 10 + UpTo(mean / 5);
  }

  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (std::size_t left = values.size(); left > 1; --left) {
      std::swap(values[left - 1], values[Below(left)]);
    }
  }

 private:
  std::mt19937_64 engine_;
};

// A non-deterministic seed. For I/O code only: decision logic is given its
// seed, so that runs can be replayed.
inline std::uint64_t NondeterministicSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace verbenastile

#endif  // BASE_RANDOM_H_
