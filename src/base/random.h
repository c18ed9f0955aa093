// Random numbers for decisions: seeded from outside, and the same on any
// machine for the same seed.
#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>
#include <random>

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

  // Evenly from 0 to `longest`: full jitter.
  Duration UpTo(Duration longest) {
    return Duration(static_cast<Duration::rep>(
        Below(static_cast<std::uint64_t>(longest.count()) + 1)));
  }

  // Evenly from half of `interval` to one and a half.
  Duration Around(Duration interval) { return interval / 2 + UpTo(interval); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace verbenastile

#endif  // BASE_RANDOM_H_
