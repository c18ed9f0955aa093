#include "core/rule_profile.h"

#include <algorithm>

namespace verbenastile {
namespace {

// A new sample's part of the averages is one in this many.
constexpr std::int64_t kAverageOver = 32;
// A sample counts as at most so many times the average, so that one slow
// instance does not make a rule look slow.
constexpr std::int64_t kMaxSampleOfAverage = 4;

std::int64_t Average(std::int64_t average, std::int64_t sample) {
  if (average == 0) {
    return sample;
  }
  sample = std::min(sample, average * kMaxSampleOfAverage);
  return average + (sample - average) / kAverageOver;
}

}  // namespace

void RuleProfiles::Learn(std::string_view rule,
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
      Average(profile.service_time.count(), time.count()), 1));
  profile.answer_bytes =
      Average(profile.answer_bytes, static_cast<std::int64_t>(bytes));
}

RuleProfile RuleProfiles::Find(std::string_view rule) const {
  const auto found = profiles_.find(rule);
  return found == profiles_.end() ? RuleProfile{} : found->second;
}

}  // namespace verbenastile
