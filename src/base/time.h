// Time as the decision logic sees it: handed in, monotonic, never read here.
#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <ctime>

namespace verbenastile {

using Duration = std::chrono::microseconds;

// A clock without now(): its time points come in with each event.
struct DecisionClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name.
  static constexpr bool is_steady = true;
};

// Microseconds since an arbitrary start; comparable within one process only.
using Time = DecisionClock::time_point;

// The machine's clock since its start as a `Time`. It counts the time that a
// suspended machine slept, which the steady clock does not: what was due
// meanwhile is overdue. For adapters, not for decisions.
inline Time SteadyNow() {
  timespec since_start = {};
  clock_gettime(CLOCK_BOOTTIME, &since_start);
  const auto elapsed = std::chrono::seconds(since_start.tv_sec) +
                       std::chrono::nanoseconds(since_start.tv_nsec);
  return Time(std::chrono::duration_cast<Duration>(elapsed));
}

// The wall clock, in milliseconds since 1970. Clocks of machines differ.
inline std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Whole milliseconds in `duration`, rounded down.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace verbenastile

#endif  // BASE_TIME_H_
