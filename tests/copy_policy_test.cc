#include <catch2/catch.hpp>

#include "core/attempt_race.h"
#include "core/copy_policy.h"
#include "core/fleet_retry_budget.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = Time(seconds(100));

// 100 requests of which `late` in 100 take 900 ms and the others 200 ms.
void AddTimes(CopyPolicy& policy, int late) {
  for (int i = 0; i < 100; ++i) {
    policy.OnRequest("view");
    policy.OnAttemptEnded("view", milliseconds(i < late ? 900 : 200), true);
  }
}

CopyQuery LateRequest() {
  CopyQuery query;
  query.rule = "view";
  query.repeatable = true;
  query.max_attempts = 2;
  query.slots = 100;
  query.calls = 50;
  return query;
}

}  // namespace

SCENARIO("a copy leaves when a request is later than nearly all of its kind") {
  CopyPolicy policy;
  const auto leave = [&](Duration deadline, Duration objective) {
    const auto time =
        policy.LeaveTime("view", kNow, kNow, kNow + deadline, objective);
    return time ? *time - kNow : Duration(0);
  };

  GIVEN("a few requests in a slow spell, and much time") {
    AddTimes(policy, 8);
    THEN("it leaves at the 95th percentile") {
      CHECK(leave(seconds(5), milliseconds(800)) == milliseconds(900));
    }
    THEN("it leaves earlier when it could not be in time otherwise") {
      CHECK(leave(milliseconds(1'000), milliseconds(800)) == milliseconds(800));
    }
    THEN("it does not leave in the first half of the objective") {
      CHECK(leave(seconds(5), seconds(4)) == seconds(2));
    }
    THEN("it leaves at once for a caller that comes back after a timeout") {
      CHECK(policy.LeaveTime("view", kNow - milliseconds(1'000), kNow,
                             kNow + milliseconds(700),
                             milliseconds(800)) == kNow);
    }
    THEN("there is none when it could not be in time at all") {
      CHECK(leave(milliseconds(500), milliseconds(800)) == Duration(0));
    }
  }
  GIVEN("requests that take similar times") {
    AddTimes(policy, 2);
    THEN("there are no copies") {
      CHECK(leave(seconds(5), milliseconds(800)) == Duration(0));
    }
  }
  GIVEN("a service that has become slow as a whole") {
    AddTimes(policy, 8);
    for (int i = 0; i < 128; ++i) {
      policy.OnAttemptEnded("view", milliseconds(1'000), false);
    }
    THEN("there are no copies") {
      CHECK(leave(seconds(5), milliseconds(800)) == Duration(0));
    }
  }
  GIVEN("attempts that fail at once") {
    AddTimes(policy, 8);
    for (int i = 0; i < 128; ++i) {
      policy.OnAttemptEnded("view", milliseconds(1), false);
    }
    THEN("they do not make the others look late") {
      CHECK(leave(seconds(5), milliseconds(800)) == milliseconds(900));
    }
  }
  GIVEN("copies that are switched off") {
    CopyLimits off;
    off.enabled = false;
    policy = CopyPolicy(off);
    AddTimes(policy, 8);
    THEN("there are none") {
      CHECK(leave(seconds(5), milliseconds(800)) == Duration(0));
    }
  }
}

SCENARIO("copies are bounded and only for requests that may run twice") {
  CopyPolicy policy;
  AddTimes(policy, 8);
  CopyQuery query = LateRequest();

  GIVEN("more late requests than 5 in 100") {
    int copies = 0;
    for (int i = 0; i < 10'000; ++i) {
      policy.OnRequest("view");
      if (policy.Judge(query) == CopyVerdict::kSend) {
        policy.OnSent("view");
        ++copies;
      }
    }
    THEN("5 in 100 are copied, and what was saved up") {
      CHECK(copies <= 500 + 4);
      CHECK(copies >= 490);
    }
  }
  GIVEN("a service with over 60 in 100 of its slots taken, or unknown ones") {
    query.calls = 60;
    CHECK(policy.Judge(query) == CopyVerdict::kShortOfRoom);
    query.slots = query.calls = 0;
    CHECK(policy.Judge(query) == CopyVerdict::kShortOfRoom);
  }
  GIVEN("requests that must not run twice at a time") {
    const auto verdict = [&](auto change) {
      CopyQuery changed = query;
      change(changed);
      return policy.Judge(changed);
    };
    CHECK(policy.Judge(query) == CopyVerdict::kSend);
    CHECK(verdict([](auto& q) { q.repeatable = false; }) ==
          CopyVerdict::kNotRepeatable);
    CHECK(verdict([](auto& q) { q.answer_begun = true; }) ==
          CopyVerdict::kAnswerBegun);
    CHECK(verdict([](auto& q) { q.suspected = true; }) ==
          CopyVerdict::kSuspect);
    CHECK(verdict([](auto& q) { q.rate_limited = true; }) ==
          CopyVerdict::kRateLimited);
    CHECK(verdict([](auto& q) { q.in_rollout = true; }) ==
          CopyVerdict::kRollout);
    CHECK(verdict([](auto& q) { q.attempts = 2; }) ==
          CopyVerdict::kNoAttemptsLeft);
    CHECK(verdict([](auto& q) { q.request_bytes = 100'000; }) ==
          CopyVerdict::kLarge);
  }
}

SCENARIO("copies leave a part of the retry budget to retries") {
  FleetRetryBudgetLimits limits;
  limits.fixed_allowance = 0;
  FleetRetryBudget budget(limits, kNow);
  for (int i = 0; i < 1'000; ++i) {
    budget.OnRequest("portal", kNow);
  }
  // 80 may be spent: 40 in 100 of 200.
  const auto copies = [&] {
    int taken = 0;
    while (budget.TryTakeSpare("portal", 150, 10, kNow)) {
      ++taken;
    }
    return taken;
  };
  CHECK_FALSE(budget.TryTakeSpare("other", 150, 10, kNow));
  SECTION("when nothing is retried") {
    CHECK(copies() == 68);
    CHECK(budget.TryTake("portal", "view", 10, kNow));
  }
  SECTION("more when retries have begun") {
    for (int i = 0; i < 10; ++i) {
      CHECK(budget.TryTake("portal", "view", 10, kNow));
    }
    CHECK(copies() == 28);
  }
}

SCENARIO("the first good response of two attempts wins") {
  AttemptRace race;
  const auto first = [&](RaceEvent event) {
    return race.OnEvent(RaceEntrant::kFirst, event);
  };
  const auto copy = [&](RaceEvent event) {
    return race.OnEvent(RaceEntrant::kCopy, event);
  };

  SECTION("without a copy there is no race") {
    CHECK(first(RaceEvent::kAnswered) == RaceAction::kNone);
    CHECK(first(RaceEvent::kBroken) == RaceAction::kNone);
  }
  race.Begin();
  SECTION("a slow spell: the copy answers, and the first one's is dropped") {
    CHECK(copy(RaceEvent::kAnswered) == RaceAction::kDeliverCopy);
    CHECK(first(RaceEvent::kAnswered) == RaceAction::kNone);
  }
  SECTION("the first one answers while the copy is on its way") {
    CHECK(first(RaceEvent::kAnswered) == RaceAction::kDeliverFirst);
    AND_THEN("a copy whose cancel was lost is not delivered") {
      CHECK(copy(RaceEvent::kAnswered) == RaceAction::kNone);
    }
  }
  SECTION("the copy is refused for lack of a slot") {
    CHECK(copy(RaceEvent::kRefused) == RaceAction::kFirstGoesOn);
    CHECK(first(RaceEvent::kAnswered) == RaceAction::kNone);
  }
  SECTION("the link of the first one breaks, then that of the copy") {
    CHECK(first(RaceEvent::kBroken) == RaceAction::kCopyGoesOn);
    CHECK(copy(RaceEvent::kBroken) == RaceAction::kNone);
  }
  SECTION("a server error leaves the request to the other one") {
    CHECK(copy(RaceEvent::kServerError) == RaceAction::kFirstGoesOn);
    race.Begin();
    CHECK(first(RaceEvent::kServerError) == RaceAction::kCopyGoesOn);
  }
  SECTION("a large response of the first one ends the race") {
    CHECK(first(RaceEvent::kStreamed) == RaceAction::kDropCopy);
    CHECK(copy(RaceEvent::kAnswered) == RaceAction::kNone);
  }
  SECTION("the deadline, or a client that leaves, ends both") {
    CHECK(first(RaceEvent::kDeadline) == RaceAction::kCancelBoth);
    race.Begin();
    CHECK(first(RaceEvent::kCallerGone) == RaceAction::kCancelBoth);
    CHECK_FALSE(race.running());
  }
}

}  // namespace verbenastile
