#include "core/link_forecast.h"

#include <algorithm>

#include "core/transfer_time.h"

namespace verbenastile {

void LinkForecast::OnTaken(CallId id, const RuleProfile& profile) {
  if (profile.answer_bytes > kLargeAnswerBytes &&
      pending_.emplace(id, profile.answer_bytes).second) {
    pending_bytes_ += profile.answer_bytes;
  }
}

void LinkForecast::OnAnswered(CallId id) {
  const auto found = pending_.find(id);
  if (found != pending_.end()) {
    pending_bytes_ -= found->second;
    pending_.erase(found);
  }
}

Duration LinkForecast::Wait(const LinkState& link) const {
  return TransferTime(link.queued_bytes + pending_bytes_,
                      link.bytes_per_second);
}

// The link sends the queued bytes while the instance executes the call.
Duration LinkForecast::Until(const RuleProfile& profile,
                             const LinkState& link) const {
  return std::max(profile.service_time, Wait(link)) +
         TransferTime(profile.answer_bytes, link.bytes_per_second);
}

Duration LinkForecast::LateBy(const RuleProfile& profile,
                              const LinkState& link,
                              Duration objective) const {
  if (Wait(link) <= profile.service_time) {
    return Duration::zero();
  }
  return std::max(Until(profile, link) - objective, Duration::zero());
}

}  // namespace verbenastile
