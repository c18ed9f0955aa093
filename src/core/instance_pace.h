// How long an instance takes for its calls, relative to what calls of their
// kind take at all instances. The node beside the instance measures it over the
// calls of all nodes and reports it, because each other node sends the instance
// too few to learn it.
#ifndef CORE_INSTANCE_PACE_H_
#define CORE_INSTANCE_PACE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

class InstancePace {
 public:
  // The instance took `ran` for a call of a kind that takes `usual`; 0: not
  // known.
  void OnRan(Duration ran, Duration usual);
  // The instance `id` runs now. What is known of another one is dropped.
  void OnInstance(std::string_view id);

  // 1,000: as long as usual; 0: not known yet.
  std::uint32_t slowness_permille() const;

 private:
  std::string instance_;
  std::int64_t mean_ppm_ = 0;
  std::int64_t samples_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_INSTANCE_PACE_H_
