// Decides whether a failed attempt is followed by another.
//
// Only what is repeatable or provably did not run; a token bucket per service
// as a share of its calls (retry budget, SRE book ch. 21); full jitter. The
// budget of attempts travels with the call and is divided, not copied: what a
// node lends to the next one it cannot spend itself, so that a chain of any
// depth makes no more extra attempts than its first node allowed.
#ifndef CORE_RETRY_POLICY_H_
#define CORE_RETRY_POLICY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/call_outcome.h"

namespace verbenastile {

// Extra attempts of one call at one node. 0 lent means "do not retry below".
class AttemptBudget {
 public:
  // `own` is what the rule allows, `carried` what came with the call.
  AttemptBudget(std::uint32_t own, std::optional<std::uint32_t> carried);

  // Extra attempts handed to the node that the next attempt goes to: all but
  // one, which stays here for an attempt whose answer is lost.
  std::uint32_t Lend();
  // The attempt's answer said that `used` of what was lent were used.
  void OnAnswer(std::uint32_t used);
  // The attempt provably did not run: nothing of the loan was used.
  void OnNotRun() { OnAnswer(0); }
  // The answer was lost: the whole loan counts as used.
  void OnLost();
  // One extra attempt; false when there is none left.
  bool Take();

  std::uint32_t left() const { return left_; }
  // Extra attempts used here and below; told to the caller with the answer.
  std::uint32_t used() const { return used_; }

 private:
  std::uint32_t left_;
  std::uint32_t lent_ = 0;
  std::uint32_t used_ = 0;
};

struct RetryLimits {
  // Retries of a service as a share of its calls.
  std::uint32_t share_permille = 100;
  // Retries that a service may save up; what it starts with.
  std::uint32_t burst = 10;
  Duration first_backoff = std::chrono::milliseconds(5);
  Duration max_backoff = std::chrono::milliseconds(250);
  // Below this, no attempt is worth starting.
  Duration min_remaining = std::chrono::milliseconds(1);
  std::size_t max_services = 1'024;
};

enum class RetryVerdict : std::uint8_t {
  kRetry = 0,
  kOutcomeFinal,    // Answered or cancelled.
  kMayHaveRun,      // Not repeatable, and not provably not run.
  kNoAttemptsLeft,  // Of the call.
  kBudgetSpent,     // Of the service.
  kNoTimeLeft,
};

// The name of `verdict` in lower case.
std::string_view ToString(RetryVerdict verdict);

struct RetryQuestion {
  std::string_view service;
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  bool repeatable = false;
  std::uint32_t attempts_made = 1;  // Here, for this call.
  Time deadline;
};

struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kOutcomeFinal;
  Duration wait{0};  // Before the next attempt.
};

struct RetryStats {
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  std::uint64_t over_budget = 0;
};

class RetryPolicy {
 public:
  explicit RetryPolicy(RetryLimits limits = {}) : limits_(limits) {}

  // A new call, not a retry, to `service`.
  void OnCall(std::string_view service);

  // Takes from both budgets when the answer is `kRetry`.
  RetryDecision Decide(const RetryQuestion& question,
                       AttemptBudget& attempts,
                       Time now,
                       std::mt19937_64& random);

  const RetryStats& stats() const { return stats_; }

 private:
  // Thousandths of a retry that the service may make.
  std::int64_t& Tokens(std::string_view service);
  Duration Backoff(std::uint32_t attempts_made, std::mt19937_64& random) const;

  RetryLimits limits_;
  std::map<std::string, std::int64_t, std::less<>> tokens_;
  RetryStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_RETRY_POLICY_H_
