#include "core/rule_profile.h"

#include <algorithm>

namespace verbenastile {
namespace {

// The weight of a new sample in the averages is one over this.
constexpr std::int64_t kAverageWindow = 32;
// Larger samples are capped at this multiple of the average, so that one slow
// instance does not make a rule look slow.
constexpr std::int64_t kMaxSampleToMeanRatio = 4;

std::int64_t UpdateAverage(std::int64_t average, std::int64_t sample) {
  if (average == 0) {
    return sample;
  }
  sample = std::min(sample, average * kMaxSampleToMeanRatio);
  return average + (sample - average) / kAverageWindow;
}

}  // namespace

void RuleProfiles::AddSample(std::string_view rule,
                             Duration time,
                             std::size_t bytes) {
  auto found = profiles_.find(rule);
  if (found == profiles_.end()) {
    if (profiles_.size() >= kMaxRules) {
      return;
    }
    found = profiles_.emplace(rule, RuleProfile{}).first;
  }
  RuleProfile& profile = found->second;
  profile.service_time = Duration(std::max<std::int64_t>(
      UpdateAverage(profile.service_time.count(), time.count()), 1));
  profile.response_bytes =
      UpdateAverage(profile.response_bytes, static_cast<std::int64_t>(bytes));
}

RuleProfile RuleProfiles::Find(std::string_view rule) const {
  const auto found = profiles_.find(rule);
  return found == profiles_.end() ? RuleProfile{} : found->second;
}

}  // namespace verbenastile
