// Moving averages of the time for which calls hold a slot.
#ifndef CORE_SERVICE_TIME_H_
#define CORE_SERVICE_TIME_H_

#include <cstdint>

#include "base/time.h"

namespace verbenastile {

struct ServiceTime {
  Duration mean{0};       // 0: no sample yet.
  Duration deviation{0};  // Mean absolute deviation.

  // Adds a sample; longer ones count as `max_sample`.
  void Add(Duration sample, Duration max_sample);
};

// The time that a call should have left when it starts: the mean service time
// plus two deviations, similar to the retransmission timeout of TCP (Jacobson
// 1988). A call that arrives with less than that, `whole`, must still have
// three quarters of it left, and at least the mean.
Duration RequiredTime(Duration mean, Duration deviation, Duration whole);

}  // namespace verbenastile

#endif  // CORE_SERVICE_TIME_H_
