// This node's part of the fleet's budget of repeated sends.
//
// In any window, sends beyond the first of each request stay under a share of
// the requests plus a fixed part, summed over all nodes. Nodes do not ask each
// other: each spends a share of the requests that it took itself, and an equal
// part of the fixed sum, which it has only after it ran for a whole window. So
// joins, restarts and partitions never make the sum larger.
#ifndef CORE_RETRY_ALLOWANCE_H_
#define CORE_RETRY_ALLOWANCE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

struct RetryAllowanceLimits {
  // Of the platform's bounds: repeats of a service as a share of its requests.
  std::uint32_t ratio_permille = 200;
  // Repeats that all nodes together may make besides, in a window.
  std::uint32_t slack = 56;
  Duration window = std::chrono::seconds(10);
  // The part of both that is spent. The rest covers calls that repeated
  // requests make: they are repeats at the service that is called.
  std::uint32_t spent_permille = 400;
};

class RetryAllowance {
 public:
  RetryAllowance(const RetryAllowanceLimits& limits, Time start);

  // A request for `service` arrived from a client.
  void OnRequest(std::string_view service, Time now);
  // Whether a request may be sent to `service` once more; `nodes` is how many
  // share the fixed part, rather too high than too low.
  bool Take(std::string_view service, std::size_t nodes, Time now);

  void SetLimits(const RetryAllowanceLimits& limits) { limits_ = limits; }

 private:
  static constexpr std::size_t kParts = 10;  // Of a window.

  struct Part {
    std::int64_t number = -1;  // Counts parts since the clock's start.
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
  };
  // One part more than a window, so that the sum never covers less than one.
  using Parts = std::array<Part, kParts + 1>;

  Part& PartAt(std::string_view service, Time now);

  RetryAllowanceLimits limits_;
  Time start_;
  std::map<std::string, Parts, std::less<>> services_;
};

}  // namespace verbenastile

#endif  // CORE_RETRY_ALLOWANCE_H_
