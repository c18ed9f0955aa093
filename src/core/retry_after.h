// Computes how long refused callers are asked to wait before a retry. While few
// requests are refused, capacity is available as soon as the instance says, and
// a caller that retries soon is still in time. In a sustained overload, callers
// that retry soon meet the same overload and use up their attempts; their
// retries are spread over the time that they have left.
#ifndef CORE_RETRY_AFTER_H_
#define CORE_RETRY_AFTER_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/time.h"

namespace verbenastile {

struct RefusedRequest {
  // The rule that the request matched.
  std::string_view rule;
  // When an instance expects to have capacity; 0: no instance gave an estimate.
  Duration hint{0};
  // How long the caller will wait in total from now on, retries included.
  Duration remaining_time{0};
};

class RetryAfterEstimator {
 public:
  // Records that a request that matched `rule` was refused or ended in another
  // way.
  void OnOutcome(std::string_view rule, bool refused, Time now);

  // How long the refused caller should wait: at most a third of its remaining
  // time, since callers disregard longer waits.
  Duration Estimate(const RefusedRequest& request,
                    Time now,
                    Random& random) const;

 private:
  struct Load {
    // Exponentially decaying counts of recent requests.
    double requests = 0;
    double refused = 0;
    Time updated;
  };

  static double DecayFactor(const Load& load, Time now);
  bool IsOverloaded(std::string_view rule, Time now) const;

  // Number of rules that are tracked; requests of others count as not
  // overloaded.
  static constexpr std::size_t kMaxRules = 20'000;

  std::map<std::string, Load, std::less<>> rules_;
};

}  // namespace verbenastile

#endif  // CORE_RETRY_AFTER_H_
