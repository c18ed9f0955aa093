// How slow an instance is, compared with the usual time of its calls.
#ifndef CORE_SLOWNESS_H_
#define CORE_SLOWNESS_H_

#include <cstdint>

#include "base/time.h"

namespace verbenastile {

// A moving average of ratios, in thousandths. Calls that still run count by
// their age, so that an instance that has stopped to answer shows too.
class Slowness {
 public:
  // A call of the kind that usually takes `usual` ended after `taken`.
  void OnEnded(Duration taken, Duration usual);
  // What the calls that run now have taken, and what their like usually take
  // together.
  void OnRunning(Duration taken, Duration usual);

  // 0 before anything is known.
  std::uint32_t permille() const;

 private:
  std::int64_t ended_permille_ = 0;
  std::int64_t running_permille_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_SLOWNESS_H_
