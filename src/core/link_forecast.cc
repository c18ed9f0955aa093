#include "core/link_forecast.h"

#include <algorithm>

#include "core/transfer_time.h"

namespace verbenastile {

void LinkForecast::OnCallAccepted(CallId id, const RuleProfile& profile) {
  if (profile.response_bytes > kLargeResponseBytes &&
      pending_.emplace(id, profile.response_bytes).second) {
    pending_bytes_ += profile.response_bytes;
  }
}

void LinkForecast::OnCallCompleted(CallId id) {
  const auto found = pending_.find(id);
  if (found != pending_.end()) {
    pending_bytes_ -= found->second;
    pending_.erase(found);
  }
}

Duration LinkForecast::QueueingDelay(const LinkState& link) const {
  return TransferTime(link.queued_bytes + pending_bytes_,
                      link.bytes_per_second);
}

// The link sends the queued bytes while the instance executes the call.
Duration LinkForecast::ResponseTime(const RuleProfile& profile,
                                    const LinkState& link) const {
  return std::max(profile.service_time, QueueingDelay(link)) +
         TransferTime(profile.response_bytes, link.bytes_per_second);
}

Duration LinkForecast::ExcessDelay(const RuleProfile& profile,
                                   const LinkState& link,
                                   Duration objective) const {
  if (QueueingDelay(link) <= profile.service_time) {
    return Duration::zero();
  }
  return std::max(ResponseTime(profile, link) - objective, Duration::zero());
}

}  // namespace verbenastile
