#include "core/retry_after.h"

#include <algorithm>
#include <cmath>

namespace verbenastile {
namespace {

constexpr Duration kMinWait = std::chrono::milliseconds(50);
constexpr Duration kMaxWait = std::chrono::seconds(3);
// Used when no instance gave an estimate.
constexpr Duration kDefaultWait = std::chrono::milliseconds(300);
// Decay time of the request counts. On the largest sites of the platform a node
// sees one or two requests a second of the least used rule.
constexpr double kDecaySeconds = 4;
// If more than this part of the requests is refused, there is not enough
// capacity for all of them. Smaller parts occur by chance, when several nodes
// choose the same instance at the same time.
constexpr double kOverloadedRefusedShare = 0.1;
// With fewer requests the part that is refused is not significant.
constexpr double kMinRequests = 3;
// Callers honor a requested wait of up to this fraction (1/n) of their
// remaining time.
constexpr int kMaxWaitDivisor = 3;

}  // namespace

double RetryAfterEstimator::DecayFactor(const Load& load, Time now) {
  const std::chrono::duration<double> passed = now - load.updated;
  return std::exp(-passed.count() / kDecaySeconds);
}

void RetryAfterEstimator::OnOutcome(std::string_view rule,
                                    bool refused,
                                    Time now) {
  auto found = rules_.find(rule);
  if (found == rules_.end()) {
    if (rules_.size() >= kMaxRules) {
      return;
    }
    found = rules_.emplace(rule, Load{0, 0, now}).first;
  }
  Load& load = found->second;
  const double decay = DecayFactor(load, now);
  load.requests = load.requests * decay + 1;
  load.refused = load.refused * decay + (refused ? 1 : 0);
  load.updated = now;
}

bool RetryAfterEstimator::IsOverloaded(std::string_view rule, Time now) const {
  const auto found = rules_.find(rule);
  if (found == rules_.end()) {
    return false;
  }
  const Load& load = found->second;
  return load.requests * DecayFactor(load, now) >= kMinRequests &&
         load.refused > load.requests * kOverloadedRefusedShare;
}

Duration RetryAfterEstimator::Estimate(const RefusedRequest& request,
                                       Time now,
                                       Random& random) const {
  const Duration longest =
      std::clamp(request.remaining_time / kMaxWaitDivisor, kMinWait, kMaxWait);
  if (IsOverloaded(request.rule, now)) {
    return longest / 2 + random.UpTo(longest / 2);
  }
  const Duration hint =
      std::clamp(request.hint == Duration::zero() ? kDefaultWait : request.hint,
                 kMinWait, longest);
  return std::min(hint + random.UpTo(hint), longest);
}

}  // namespace verbenastile
