// This node's part of the fleet's budget of repeated sends.
//
// In any window, sends beyond the first of each request stay under a share of
// the requests plus a fixed part, summed over all nodes. Nodes do not ask each
// other: each spends a share of the requests that it took itself, and an equal
// part of the fixed sum, which it has only after it ran for a whole window. So
// joins, restarts and partitions never make the sum larger.
//
// The rules that want to repeat at a service have equal claims on the budget:
// the failures of many small calls leave the rare ones theirs. What a rule
// leaves is spent over the window, not at once.
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
  // Whether a request that `rule` decided may be sent to `service` once more;
  // `nodes` is how many share the fixed part, rather too high than too low.
  bool Take(std::string_view service,
            std::string_view rule,
            std::size_t nodes,
            Time now);

  void SetLimits(const RetryAllowanceLimits& limits) { limits_ = limits; }

 private:
  static constexpr std::size_t kParts = 10;  // Of a window.

  struct Part {
    std::int64_t number = -1;  // Counts parts since the clock's start.
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
    std::uint64_t wanted = 0;
    std::uint64_t beyond = 0;  // Of the repeats, those beyond a rule's claim.
  };
  // One part more than a window, so that the sum never covers less than one.
  using Parts = std::array<Part, kParts + 1>;

  struct Sums {
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
    std::uint64_t beyond = 0;
    std::uint64_t wanted = 0;
  };

  // What a repeat is taken from.
  enum class Share : std::uint8_t { kNone, kClaim, kBeyond };

  struct Budget {
    Parts all;
    std::map<std::string, Parts, std::less<>> rules;  // That want to repeat.
  };

  Budget& BudgetOf(std::string_view service);
  std::int64_t NumberAt(Time now) const;
  static Part& PartAt(Parts& parts, std::int64_t number);
  static Sums SumsOf(const Parts& parts, std::int64_t number);
  std::uint64_t Allowed(const Sums& all, std::size_t nodes, Time now) const;
  static Share ShareFor(Budget& budget,
                        std::string_view rule,
                        std::uint64_t allowed,
                        std::int64_t number);

  RetryAllowanceLimits limits_;
  Time start_;
  std::map<std::string, Budget, std::less<>> services_;
};

}  // namespace verbenastile

#endif  // CORE_RETRY_ALLOWANCE_H_
