#include "core/retry_policy.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kTokensPerRetry = 1000;
constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

std::string_view ToString(RetryVerdict verdict) {
  switch (verdict) {
    case RetryVerdict::kRetry:
      return "retry";
    case RetryVerdict::kOutcomeFinal:
      return "outcome_final";
    case RetryVerdict::kMayHaveRun:
      return "may_have_run";
    case RetryVerdict::kNoAttemptsLeft:
      return "no_attempts_left";
    case RetryVerdict::kBudgetSpent:
      return "budget_spent";
    case RetryVerdict::kNoTimeLeft:
      return "no_time_left";
  }
  return "unknown";
}

AttemptBudget::AttemptBudget(std::uint32_t own,
                             std::optional<std::uint32_t> carried)
    : left_(std::min(own, carried.value_or(own))) {}

std::uint32_t AttemptBudget::Lend() {
  lent_ = left_ > 0 ? left_ - 1 : 0;
  left_ -= lent_;
  return lent_;
}

void AttemptBudget::OnAnswer(std::uint32_t used) {
  const std::uint32_t spent = std::min(used, lent_);
  left_ += lent_ - spent;
  used_ += spent;
  lent_ = 0;
}

void AttemptBudget::OnAnswerLost() {
  OnAnswer(lent_);
}

bool AttemptBudget::TryTake() {
  if (left_ == 0) {
    return false;
  }
  --left_;
  ++used_;
  return true;
}

void RetryPolicy::OnCall(std::string_view service) {
  ++stats_.calls;
  std::int64_t& tokens = Tokens(service);
  const std::int64_t capacity = limits_.burst * kTokensPerRetry;
  tokens =
      std::min<std::int64_t>(tokens + limits_.retry_ratio_permille, capacity);
}

std::int64_t& RetryPolicy::Tokens(std::string_view service) {
  const auto found = tokens_.find(service);
  if (found != tokens_.end()) {
    return found->second;
  }
  if (tokens_.size() >= limits_.max_services) {
    tokens_.erase(tokens_.begin());
  }
  const std::int64_t capacity = limits_.burst * kTokensPerRetry;
  return tokens_.emplace(service, capacity).first->second;
}

RetryDecision RetryPolicy::Decide(const RetryQuery& query,
                                  AttemptBudget& attempts,
                                  Time now,
                                  std::mt19937_64& random) {
  if (query.outcome == AttemptOutcome::kAnswered ||
      query.outcome == AttemptOutcome::kCancelled) {
    return {RetryVerdict::kOutcomeFinal, {}};
  }
  if (!query.repeatable && !ProvablyNotRun(query.outcome)) {
    return {RetryVerdict::kMayHaveRun, {}};
  }
  const Duration wait = Backoff(query.attempts_made, random);
  if (now + wait + limits_.min_remaining > query.deadline) {
    return {RetryVerdict::kNoTimeLeft, {}};
  }
  std::int64_t& tokens = Tokens(query.service);
  if (tokens < kTokensPerRetry) {
    ++stats_.over_budget;
    return {RetryVerdict::kBudgetSpent, {}};
  }
  if (!attempts.TryTake()) {
    return {RetryVerdict::kNoAttemptsLeft, {}};
  }
  tokens -= kTokensPerRetry;
  ++stats_.retries;
  return {RetryVerdict::kRetry, wait};
}

// Full jitter: uniform between 0 and the exponentially growing bound.
Duration RetryPolicy::Backoff(std::uint32_t attempts_made,
                              std::mt19937_64& random) const {
  const std::uint32_t doublings =
      std::min(attempts_made > 0 ? attempts_made - 1 : 0, kMaxDoublings);
  const Duration bound =
      std::min(limits_.initial_backoff * (std::int64_t{1} << doublings),
               limits_.max_backoff);
  const auto count = static_cast<std::uint64_t>(bound.count()) + 1;
  return Duration(static_cast<std::int64_t>(random() % count));
}

}  // namespace verbenastile
