// Time types. Decision logic never reads a clock: it is passed a monotonic time
// with each event, so that tests and simulations control it.
#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <ctime>

namespace verbenastile {

using Duration = std::chrono::microseconds;

// A clock type without now(): decision code gets the current time as an
// argument with each event.
struct DecisionClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by std::chrono.
  static constexpr bool is_steady = true;
};

// Microseconds since an arbitrary epoch. Comparable only within one process.
using Time = DecisionClock::time_point;

// The time since the machine booted. Unlike the steady clock it includes time
// in suspend, so that timeouts that passed during a suspend are overdue
// afterwards. For I/O code only, not for decision logic.
inline Time SteadyNow() {
  timespec since_start = {};
  clock_gettime(CLOCK_BOOTTIME, &since_start);
  const auto elapsed = std::chrono::seconds(since_start.tv_sec) +
                       std::chrono::nanoseconds(since_start.tv_nsec);
  return Time(std::chrono::duration_cast<Duration>(elapsed));
}

// The wall clock in milliseconds since the Unix epoch. It may differ between
// machines.
inline std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Converts to whole milliseconds, rounded toward zero.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace verbenastile

#endif  // BASE_TIME_H_
