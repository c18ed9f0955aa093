#include "core/link_forecast.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

Duration TimeOf(std::int64_t bytes, const LinkState& link) {
  return Duration(bytes * kMicrosPerSecond /
                  std::max<std::int64_t>(link.bytes_per_second, 1));
}

}  // namespace

void LinkForecast::OnTaken(CallId id, const RuleProfile& profile) {
  if (profile.answer_bytes > kLargeAnswerBytes &&
      expected_.emplace(id, profile.answer_bytes).second) {
    expected_bytes_ += profile.answer_bytes;
  }
}

void LinkForecast::OnAnswered(CallId id) {
  const auto found = expected_.find(id);
  if (found != expected_.end()) {
    expected_bytes_ -= found->second;
    expected_.erase(found);
  }
}

Duration LinkForecast::Wait(const LinkState& link) const {
  return TimeOf(link.queued_bytes + expected_bytes_, link);
}

// The link sends what is before it while the instance works on it.
Duration LinkForecast::Until(const RuleProfile& profile,
                             const LinkState& link) const {
  return std::max(profile.service_time, Wait(link)) +
         TimeOf(profile.answer_bytes, link);
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
