#include <catch2/catch.hpp>

#include "core/retry_policy.h"

namespace verbenastile {
namespace {

constexpr Time kNow = Time(std::chrono::seconds(1));

RetryQuestion QuestionOf(AttemptOutcome outcome, bool repeatable) {
  RetryQuestion question;
  question.service = "booking";
  question.outcome = outcome;
  question.repeatable = repeatable;
  question.deadline = kNow + std::chrono::seconds(10);
  return question;
}

SCENARIO("an attempt failed") {
  std::mt19937_64 random(1);
  RetryPolicy policy;
  AttemptBudget attempts(3, std::nullopt);
  const auto decide = [&](const RetryQuestion& question) {
    return policy.Decide(question, attempts, kNow, random).verdict;
  };

  GIVEN("a call that may run once only") {
    THEN("it is repeated when it provably did not run, and only then") {
      CHECK(decide(QuestionOf(AttemptOutcome::kRefused, false)) ==
            RetryVerdict::kRetry);
      CHECK(decide(QuestionOf(AttemptOutcome::kNotSent, false)) ==
            RetryVerdict::kRetry);
      CHECK(decide(QuestionOf(AttemptOutcome::kUnknown, false)) ==
            RetryVerdict::kMayHaveRun);
      CHECK(decide(QuestionOf(AttemptOutcome::kFailed, false)) ==
            RetryVerdict::kMayHaveRun);
    }
  }
  GIVEN("a repeatable call") {
    RetryQuestion question = QuestionOf(AttemptOutcome::kUnknown, true);
    THEN("it is repeated as often as it carries attempts") {
      for (int i = 0; i < 3; ++i) {
        CHECK(decide(question) == RetryVerdict::kRetry);
      }
      CHECK(decide(question) == RetryVerdict::kNoAttemptsLeft);
    }
    THEN("an answer or a cancellation ends it") {
      question.outcome = AttemptOutcome::kAnswered;
      CHECK(decide(question) == RetryVerdict::kOutcomeFinal);
      question.outcome = AttemptOutcome::kCancelled;
      CHECK(decide(question) == RetryVerdict::kOutcomeFinal);
    }
    THEN("too little time ends it") {
      question.deadline = kNow;
      CHECK(decide(question) == RetryVerdict::kNoTimeLeft);
    }
    THEN("the wait stays within the bound that doubles") {
      Duration longest{0};
      for (int i = 0; i < 200; ++i) {
        policy.OnCall("booking");
        AttemptBudget one(1, std::nullopt);
        question.attempts_made = 2;
        const auto decision = policy.Decide(question, one, kNow, random);
        longest = std::max(longest, decision.wait);
      }
      CHECK(longest <= std::chrono::milliseconds(10));
      CHECK(longest > std::chrono::milliseconds(5));
    }
  }
  GIVEN("a service where everything fails") {
    std::uint64_t retries = 0;
    for (int call = 0; call < 1'000; ++call) {
      policy.OnCall("booking");
      AttemptBudget own(3, std::nullopt);
      while (policy
                 .Decide(QuestionOf(AttemptOutcome::kRefused, false), own, kNow,
                         random)
                 .verdict == RetryVerdict::kRetry) {
        ++retries;
      }
    }
    THEN("retries stay a tenth of its calls") {
      CHECK(retries >= 100);
      CHECK(retries <= 110);
    }
    THEN("another service has its own budget") {
      RetryQuestion other = QuestionOf(AttemptOutcome::kRefused, false);
      other.service = "video";
      CHECK(decide(other) == RetryVerdict::kRetry);
    }
  }
}

// Every node of a chain tries as often as it may, and every attempt fails at
// the last one. Returns the extra attempts of the whole chain.
std::uint32_t FailThrough(int depth,
                          std::optional<std::uint32_t> carried,
                          bool answers_are_lost) {
  AttemptBudget attempts(5, carried);
  do {
    const std::uint32_t lent = attempts.Lend();
    std::uint32_t used = 0;
    if (depth > 1) {
      used = FailThrough(depth - 1, lent, answers_are_lost);
    }
    if (answers_are_lost) {
      attempts.OnLost();
    } else {
      attempts.OnAnswer(used);
    }
  } while (attempts.Take());
  return attempts.used();
}

SCENARIO("a chain 28 deep fails at its end") {
  CHECK(FailThrough(28, 5, false) == 5);
  CHECK(FailThrough(28, 5, true) == 5);
  CHECK(FailThrough(28, 0, false) == 0);
}

}  // namespace
}  // namespace verbenastile
