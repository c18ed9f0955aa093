#include "core/copy_policy.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kMilliPerCopy = 1'000;
constexpr std::int64_t kPermille = 1'000;
constexpr std::size_t kMedianPercent = 50;
constexpr std::size_t kThirdQuartilePercent = 75;
constexpr std::size_t kLatePercent = 95;
constexpr std::size_t kPercent = 100;
// The percentiles are computed anew after this many times.
constexpr std::size_t kUpdateInterval = 8;
// An attempt is late if it takes at least this multiple of the median.
constexpr int kLateToMedian = 2;
// Copies of a rule's share that are kept for requests that have failed once:
// their callers have little time left to repeat them again.
constexpr std::int64_t kKeptForReturning = 2;
// A copy does not leave before this part of the objective.
constexpr int kObjectiveDivisor = 2;

}  // namespace

std::string_view ToString(CopyVerdict verdict) {
  switch (verdict) {
    case CopyVerdict::kSend:
      return "send";
    case CopyVerdict::kNotRepeatable:
      return "not_repeatable";
    case CopyVerdict::kAnswerBegun:
      return "answer_begun";
    case CopyVerdict::kLarge:
      return "large";
    case CopyVerdict::kSuspect:
      return "suspect";
    case CopyVerdict::kRateLimited:
      return "rate_limited";
    case CopyVerdict::kRollout:
      return "rollout";
    case CopyVerdict::kNoAttemptsLeft:
      return "no_attempts_left";
    case CopyVerdict::kShortOfRoom:
      return "short_of_room";
    case CopyVerdict::kShareUsed:
      return "share_used";
    case CopyVerdict::kNoInstance:
      return "no_instance";
    case CopyVerdict::kBudgetSpent:
      return "budget_spent";
    case CopyVerdict::kKeyRefused:
      return "key_refused";
  }
  return "unknown";
}

CopyPolicy::RuleTimes& CopyPolicy::FindOrAdd(std::string_view rule) {
  const auto found = rules_.find(rule);
  if (found != rules_.end()) {
    return found->second;
  }
  if (rules_.size() >= kMaxRules) {
    rules_.erase(rules_.begin());
  }
  return rules_.emplace(rule, RuleTimes{}).first->second;
}

void CopyPolicy::OnRequest(std::string_view rule) {
  RuleTimes& times = FindOrAdd(rule);
  times.tokens_milli = std::min(times.tokens_milli + limits_.max_share_permille,
                                limits_.burst * kMilliPerCopy);
}

void CopyPolicy::OnAttemptEnded(std::string_view rule,
                                Duration taken,
                                bool complete) {
  RuleTimes& times = FindOrAdd(rule);
  // Attempts that fail early say nothing about the time of the others.
  if (!complete && taken < times.median) {
    return;
  }
  times.times_ms[times.count % kTimes] =
      static_cast<std::uint32_t>(ToMilliseconds(taken));
  ++times.count;
  if (times.count >= kMinTimes &&
      (times.count - kMinTimes) % kUpdateInterval == 0) {
    UpdatePercentiles(times);
  }
}

void CopyPolicy::UpdatePercentiles(RuleTimes& rule) {
  std::array<std::uint32_t, kTimes> sorted = rule.times_ms;
  const std::size_t count = std::min(rule.count, kTimes);
  std::sort(sorted.begin(),
            sorted.begin() + static_cast<std::ptrdiff_t>(count));
  const auto percentile = [&](std::size_t percent) {
    return std::chrono::milliseconds(sorted[count * percent / kPercent]);
  };
  rule.median = percentile(kMedianPercent);
  rule.third_quartile = percentile(kThirdQuartilePercent);
  rule.late = percentile(kLatePercent);
}

std::optional<Time> CopyPolicy::LeaveTime(std::string_view rule,
                                          Time requested,
                                          Time now,
                                          Time deadline,
                                          Duration objective) const {
  const auto found = rules_.find(rule);
  if (!limits_.enabled || found == rules_.end() ||
      found->second.count < kMinTimes) {
    return std::nullopt;
  }
  const RuleTimes& times = found->second;
  const Duration earliest = times.median * kLateToMedian;
  if (times.late < earliest || times.late == Duration::zero()) {
    return std::nullopt;
  }
  const Time leave = std::max(
      {std::min(requested + times.late, deadline - times.third_quartile),
       requested + std::max(earliest, objective / kObjectiveDivisor), now});
  // A copy that is not likely to be in time only takes a slot.
  return leave + times.median <= deadline ? std::optional(leave) : std::nullopt;
}

CopyVerdict CopyPolicy::Judge(const CopyQuery& query) const {
  if (!query.repeatable) {
    return CopyVerdict::kNotRepeatable;
  }
  if (query.answer_begun) {
    return CopyVerdict::kAnswerBegun;
  }
  if (query.large_response || query.request_bytes > limits_.max_request_bytes) {
    return CopyVerdict::kLarge;
  }
  if (query.suspected) {
    return CopyVerdict::kSuspect;
  }
  if (query.rate_limited) {
    return CopyVerdict::kRateLimited;
  }
  if (query.in_rollout) {
    return CopyVerdict::kRollout;
  }
  if (query.attempts >= query.max_attempts) {
    return CopyVerdict::kNoAttemptsLeft;
  }
  if (query.calls * kPermille >= query.slots * limits_.max_load_permille) {
    return CopyVerdict::kShortOfRoom;
  }
  const auto found = rules_.find(query.rule);
  const std::int64_t needed =
      kMilliPerCopy * (query.returning ? 1 : 1 + kKeptForReturning);
  const bool has_share =
      found != rules_.end() && found->second.tokens_milli >= needed;
  return has_share ? CopyVerdict::kSend : CopyVerdict::kShareUsed;
}

void CopyPolicy::OnSent(std::string_view rule) {
  FindOrAdd(rule).tokens_milli -= kMilliPerCopy;
}

void CopyPolicy::OnNotRun(std::string_view rule) {
  FindOrAdd(rule).tokens_milli += kMilliPerCopy;
}

}  // namespace verbenastile
