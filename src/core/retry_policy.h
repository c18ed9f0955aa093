// Decides whether a failed attempt is retried.
//
// A call is retried only if it is repeatable or provably did not run. A token
// bucket per service limits retries to a ratio of its calls (a retry budget,
// see chapter 21 of the SRE book), and backoff uses full jitter.
//
// Each call also carries a budget of extra attempts, which is divided along the
// call chain, not copied: a node cannot spend what it lends to the next one. A
// chain of any depth thus makes no more extra attempts than its first node
// allowed.
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
#include "core/attempt_outcome.h"

namespace verbenastile {

// The extra attempts that one call may make at this node and downstream of it.
// Lending 0 tells the next node not to retry.
class AttemptBudget {
 public:
  // `own` is the limit of the rule, `carried` the budget that the call brought
  // along, if any.
  AttemptBudget(std::uint32_t own, std::optional<std::uint32_t> carried);

  // Lends extra attempts to the node that the next attempt is sent to: all but
  // one, which stays here in case the answer is lost. Returns their number.
  std::uint32_t Lend();
  // The answer reported that the next node used `used` of the lent attempts.
  void OnAnswer(std::uint32_t used);
  // The attempt provably did not run, so no lent attempt was used.
  void OnNotRun() { OnAnswer(0); }
  // The answer was lost: all lent attempts count as used.
  void OnAnswerLost();
  // Takes one extra attempt; false if none is left.
  bool TryTake();

  std::uint32_t left() const { return left_; }
  // The extra attempts used here and downstream. The answer reports them to the
  // caller.
  std::uint32_t used() const { return used_; }

 private:
  std::uint32_t left_;
  std::uint32_t lent_ = 0;
  std::uint32_t used_ = 0;
};

struct RetryLimits {
  // Retries of a service as a ratio of its calls.
  std::uint32_t retry_ratio_permille = 100;
  // The capacity of a service's token bucket, in retries. It starts full.
  std::uint32_t burst = 10;
  // The bound of the backoff doubles with each attempt, up to the maximum.
  Duration initial_backoff = std::chrono::milliseconds(5);
  Duration max_backoff = std::chrono::milliseconds(250);
  // No attempt is started with less time than this until the deadline.
  Duration min_remaining = std::chrono::milliseconds(1);
  // The number of services that may have a token bucket at a time.
  std::size_t max_services = 1'024;
};

enum class RetryVerdict : std::uint8_t {
  kRetry = 0,
  kOutcomeFinal,    // Answered or cancelled.
  kMayHaveRun,      // Not repeatable, and may have run.
  kNoAttemptsLeft,  // The call has no extra attempts left.
  kBudgetSpent,     // The retry budget of the service is exhausted.
  kNoTimeLeft,
};

// The name of `verdict` in lower case with underscores.
std::string_view ToString(RetryVerdict verdict);

struct RetryQuery {
  std::string_view service;
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  bool repeatable = false;
  std::uint32_t attempts_made = 1;  // For this call, at this node.
  Time deadline;
};

struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kOutcomeFinal;
  Duration wait{0};  // Before the next attempt.
};

struct RetryStats {
  std::uint64_t calls = 0;
  std::uint64_t retries = 0;
  std::uint64_t over_budget = 0;  // Retries denied by a service's budget.
};

class RetryPolicy {
 public:
  explicit RetryPolicy(RetryLimits limits = {}) : limits_(limits) {}

  // Records a call to `service`; retries do not count.
  void OnCall(std::string_view service);

  // Takes a retry from `attempts` and from the budget of the service if the
  // verdict is `kRetry`.
  RetryDecision Decide(const RetryQuery& query,
                       AttemptBudget& attempts,
                       Time now,
                       std::mt19937_64& random);

  const RetryStats& stats() const { return stats_; }

 private:
  // The tokens of the service, in thousandths of a retry.
  std::int64_t& Tokens(std::string_view service);
  Duration Backoff(std::uint32_t attempts_made, std::mt19937_64& random) const;

  RetryLimits limits_;
  std::map<std::string, std::int64_t, std::less<>> tokens_;
  RetryStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_RETRY_POLICY_H_
