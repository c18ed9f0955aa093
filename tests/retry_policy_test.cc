#include <catch2/catch.hpp>

#include "core/retry_policy.h"

namespace verbenastile {
namespace {

constexpr Time kNow = Time(std::chrono::seconds(1));

RetryQuery MakeQuery(AttemptOutcome outcome, bool repeatable) {
  RetryQuery query;
  query.service = "booking";
  query.outcome = outcome;
  query.repeatable = repeatable;
  query.deadline = kNow + std::chrono::seconds(10);
  return query;
}

SCENARIO("the retry policy decides after a failed attempt") {
  std::mt19937_64 random(1);
  RetryPolicy policy;
  AttemptBudget attempts(3, std::nullopt);
  const auto decide = [&](const RetryQuery& query) {
    return policy.Decide(query, attempts, kNow, random).verdict;
  };

  GIVEN("a call that is not repeatable") {
    THEN("it is retried only if it provably did not run") {
      CHECK(decide(MakeQuery(AttemptOutcome::kRefused, false)) ==
            RetryVerdict::kRetry);
      CHECK(decide(MakeQuery(AttemptOutcome::kNotSent, false)) ==
            RetryVerdict::kRetry);
      CHECK(decide(MakeQuery(AttemptOutcome::kUnknown, false)) ==
            RetryVerdict::kMayHaveRun);
      CHECK(decide(MakeQuery(AttemptOutcome::kFailed, false)) ==
            RetryVerdict::kMayHaveRun);
    }
  }
  GIVEN("a repeatable call") {
    RetryQuery query = MakeQuery(AttemptOutcome::kUnknown, true);
    THEN("it is retried until its extra attempts are used up") {
      for (int i = 0; i < 3; ++i) {
        CHECK(decide(query) == RetryVerdict::kRetry);
      }
      CHECK(decide(query) == RetryVerdict::kNoAttemptsLeft);
    }
    THEN("it is not retried after an answer or a cancellation") {
      query.outcome = AttemptOutcome::kAnswered;
      CHECK(decide(query) == RetryVerdict::kOutcomeFinal);
      query.outcome = AttemptOutcome::kCancelled;
      CHECK(decide(query) == RetryVerdict::kOutcomeFinal);
    }
    THEN("it is not retried without time left before the deadline") {
      query.deadline = kNow;
      CHECK(decide(query) == RetryVerdict::kNoTimeLeft);
    }
    THEN("the backoff stays within its doubled bound") {
      Duration longest{0};
      for (int i = 0; i < 200; ++i) {
        policy.OnCall("booking");
        AttemptBudget one(1, std::nullopt);
        query.attempts_made = 2;
        const auto decision = policy.Decide(query, one, kNow, random);
        longest = std::max(longest, decision.wait);
      }
      CHECK(longest <= std::chrono::milliseconds(10));
      CHECK(longest > std::chrono::milliseconds(5));
    }
  }
  GIVEN("a service of which all attempts fail") {
    std::uint64_t retries = 0;
    for (int call = 0; call < 1'000; ++call) {
      policy.OnCall("booking");
      AttemptBudget own(3, std::nullopt);
      while (policy
                 .Decide(MakeQuery(AttemptOutcome::kRefused, false), own, kNow,
                         random)
                 .verdict == RetryVerdict::kRetry) {
        ++retries;
      }
    }
    THEN("retries stay at a tenth of its calls") {
      CHECK(retries >= 100);
      CHECK(retries <= 110);
    }
    THEN("another service has its own budget") {
      RetryQuery other = MakeQuery(AttemptOutcome::kRefused, false);
      other.service = "video";
      CHECK(decide(other) == RetryVerdict::kRetry);
    }
  }
}

// Simulates a call chain of `depth` nodes whose last node always fails, while
// each node retries as often as its budget allows. Returns the number of extra
// attempts of the whole chain.
std::uint32_t SimulateFailingChain(int depth,
                                   std::optional<std::uint32_t> carried,
                                   bool lose_answers) {
  AttemptBudget attempts(5, carried);
  do {
    const std::uint32_t lent = attempts.Lend();
    std::uint32_t used = 0;
    if (depth > 1) {
      used = SimulateFailingChain(depth - 1, lent, lose_answers);
    }
    if (lose_answers) {
      attempts.OnAnswerLost();
    } else {
      attempts.OnAnswer(used);
    }
  } while (attempts.TryTake());
  return attempts.used();
}

SCENARIO("a failing call chain of 28 nodes does not multiply retries") {
  CHECK(SimulateFailingChain(28, 5, false) == 5);
  CHECK(SimulateFailingChain(28, 5, true) == 5);
  CHECK(SimulateFailingChain(28, 0, false) == 0);
}

}  // namespace
}  // namespace verbenastile
