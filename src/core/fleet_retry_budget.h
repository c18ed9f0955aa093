// This node's part of the retry budget that all nodes share.
//
// In any window, the retries of a service, summed over all nodes, stay below a
// ratio of its requests plus a fixed allowance. Nodes do not coordinate: each
// spends the ratio of the requests that it received itself and an equal part of
// the fixed allowance. It gets the fixed part only after it has run for a whole
// window, so that joins, restarts and partitions never exceed the sum.
//
// All rules that want to retry at a service have equal shares of its budget, so
// that the failures of a rule with many calls do not use up the retries of one
// with few. The budget that rules leave unused is spent evenly over the window,
// not at once.
#ifndef CORE_FLEET_RETRY_BUDGET_H_
#define CORE_FLEET_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

struct FleetRetryBudgetLimits {
  // Retries of a service as a share of its requests. This is the bound that the
  // platform sets.
  std::uint32_t ratio_permille = 200;
  // The fixed allowance: further retries per window, for all nodes together.
  // This is a bound of the platform too.
  std::uint32_t fixed_allowance = 56;
  Duration window = std::chrono::seconds(10);
  // The part of both bounds that is spent. The rest is a reserve for the calls
  // that retried requests make in turn: the platform counts them as retries at
  // the called service.
  std::uint32_t usable_permille = 400;
};

class FleetRetryBudget {
 public:
  FleetRetryBudget(const FleetRetryBudgetLimits& limits, Time start);

  // Records a request for `service` from a client.
  void OnRequest(std::string_view service, Time now);
  // Takes one retry from the budget of `service` for a request that `rule`
  // matched; false if the budget does not allow it. `nodes` is the number of
  // nodes that share the fixed allowance; an estimate must not be too low.
  bool TryTake(std::string_view service,
               std::string_view rule,
               std::size_t nodes,
               Time now);

  // Takes a retry that no rule is expected to need, and leaves
  // `reserve_permille` of the budget for such as may.
  bool TryTakeSpare(std::string_view service,
                    std::uint32_t reserve_permille,
                    std::size_t nodes,
                    Time now);

  // A retry that was taken as spare reached no instance.
  void GiveBackSpare(std::string_view service, Time now);

  void SetLimits(const FleetRetryBudgetLimits& limits) { limits_ = limits; }

 private:
  static constexpr std::size_t kBucketsPerWindow = 10;

  // The counts of one tenth of a window.
  struct Bucket {
    std::int64_t index = -1;  // Since the clock's epoch.
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    std::uint64_t demand = 0;   // Retries that were asked for.
    std::uint64_t surplus = 0;  // Retries beyond the fair share of their rule.
  };
  // One bucket more than a window has, so that the sum of all buckets never
  // covers less than a window.
  using Buckets = std::array<Bucket, kBucketsPerWindow + 1>;

  struct WindowTotals {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    std::uint64_t surplus = 0;
    std::uint64_t demand = 0;
  };

  // The part of the budget that a retry is taken from.
  enum class Grant : std::uint8_t { kDenied, kFairShare, kSurplus };

  struct ServiceBudget {
    Buckets all;
    // The rules that asked for a retry within the window.
    std::map<std::string, Buckets, std::less<>> rules;
  };

  ServiceBudget& BudgetFor(std::string_view service);
  std::int64_t BucketIndexAt(Time now) const;
  static Bucket& BucketAt(Buckets& buckets, std::int64_t index);
  static WindowTotals SumWindow(const Buckets& buckets, std::int64_t index);
  // The retries of a service that this node may make in the current window.
  std::uint64_t Allowed(const WindowTotals& all,
                        std::size_t nodes,
                        Time now) const;
  // Retries that `rule` may still take from its fair share.
  static std::uint64_t ReservedFor(const Buckets& rule,
                                   std::uint64_t fair_share,
                                   std::int64_t index);
  static Grant GrantFor(ServiceBudget& budget,
                        std::string_view rule,
                        std::uint64_t allowed,
                        std::int64_t index);

  FleetRetryBudgetLimits limits_;
  Time start_;
  std::map<std::string, ServiceBudget, std::less<>> services_;
};

}  // namespace verbenastile

#endif  // CORE_FLEET_RETRY_BUDGET_H_
