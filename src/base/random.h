// Random numbers for decisions: seeded from outside, and the same on any
// machine for the same seed.
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

  // Evenly from 0 to `count` - 1; `count` is above 0.
  std::uint64_t Below(std::uint64_t count) {
    return boost::random::uniform_int_distribution<std::uint64_t>(
        0, count - 1)(engine_);
  }

  // True once in `count` on average.
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }

  // Evenly from 0 to `longest`: full jitter.
  Duration UpTo(Duration longest) {
    const auto limit = std::max<std::int64_t>(longest.count(), 0);
    return Duration(Below(static_cast<std::uint64_t>(limit) + 1));
  }

  // Evenly from half of `interval` to one and a half.
  Duration Around(Duration interval) { return interval / 2 + UpTo(interval); }

  // Evenly from nine tenths of `mean` to eleven tenths.
  Duration Near(Duration mean) { return mean * 9 / 10 + UpTo(mean / 5); }

  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (std::size_t left = values.size(); left > 1; --left) {
      std::swap(values[left - 1], values[Below(left)]);
    }
  }

 private:
  std::mt19937_64 engine_;
};

// A seed that differs from run to run. For adapters, not for decisions.
inline std::uint64_t FreshSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace verbenastile

#endif  // BASE_RANDOM_H_
