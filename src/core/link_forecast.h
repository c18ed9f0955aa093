// Predicts how long a large response will wait for the network link of the
// machine: behind the bytes that are queued, and behind the responses to calls
// that the instance is still executing. A slow link is saturated long before
// the slots of the instance are.
#ifndef CORE_LINK_FORECAST_H_
#define CORE_LINK_FORECAST_H_

#include <cstdint>
#include <unordered_map>

#include "base/time.h"
#include "core/admission.h"
#include "core/rule_profile.h"

namespace verbenastile {

// Responses of rules that exceed this on average queue for the link; smaller
// ones are sent ahead of the queue.
constexpr std::int64_t kLargeResponseBytes = 16'384;

// The current state of the link.
struct LinkState {
  std::int64_t bytes_per_second = 125'000'000;  // Available to large responses.
  std::int64_t queued_bytes = 0;
};

class LinkForecast {
 public:
  // A call was accepted; counted if the responses of its rule are large.
  void OnCallAccepted(CallId id, const RuleProfile& profile);
  // The response has entered the queue of the link, or there will be none.
  void OnCallCompleted(CallId id);

  // The queueing delay of a response that is ready now.
  Duration QueueingDelay(const LinkState& link) const;

  // The time until the response to a call that is accepted now has been sent.
  Duration ResponseTime(const RuleProfile& profile,
                        const LinkState& link) const;

  // By how much that exceeds `objective` because of the queueing delay; zero if
  // the instance takes longer than the queue.
  Duration ExcessDelay(const RuleProfile& profile,
                       const LinkState& link,
                       Duration objective) const;

 private:
  std::unordered_map<CallId, std::int64_t> pending_;  // Response sizes.
  std::int64_t pending_bytes_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_LINK_FORECAST_H_
