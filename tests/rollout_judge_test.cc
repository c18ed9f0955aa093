#include <catch2/catch.hpp>

#include "rollout_support.h"

namespace verbenastile {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
// No node sends a bad version another call this long after its 50th bad answer.
constexpr Duration kRollback = 5 * kSecond;

SCENARIO("a bad version is found within 5 s of its 50th bad answer") {
  JudgedFleet fleet(87);
  GIVEN(
      "a part of the answers fails, seen by 87 nodes of which none sees ten") {
    fleet.target.failures_permille = 100;
    const auto time = fleet.TimeUntilBad(60, 60);
    REQUIRE(time);
    CHECK(*time <= kRollback);
    for (const auto& [node, bad] : fleet.bad_by_node) {
      CHECK(bad < 10);
    }
  }
  GIVEN("a part of the answers is several times slower") {
    fleet.target.slow_permille = 250;
    const auto time = fleet.TimeUntilBad(60, 40);
    REQUIRE(time);
    CHECK(*time <= kRollback);
    CHECK(fleet.finding.slow);
  }
  GIVEN("it fails only while the instance is full") {
    fleet.target.failures_permille = 300;
    fleet.only_when_full = true;
    const auto time = fleet.TimeUntilBad(60, 40);
    REQUIRE(time);
    CHECK(*time <= kRollback);
  }
  GIVEN("one route in twenty fails") {
    fleet.rules.clear();
    for (int i = 0; i < 20; ++i) {
      fleet.rules.push_back(fmt::format("r{}", i));
    }
    fleet.rule_behavior["r7"] = {500, 0};
    const auto time = fleet.TimeUntilBad(60, 100);
    REQUIRE(time);
    CHECK(*time <= kRollback);
    CHECK(fleet.finding.rule == "r7");
  }
  GIVEN("it turns bad after 20 sound windows") {
    REQUIRE_FALSE(fleet.TimeUntilBad(20, 40));
    fleet.target.failures_permille = 300;
    const auto time = fleet.TimeUntilBad(40, 40);
    REQUIRE(time);
    CHECK(*time <= kRollback);
  }
  GIVEN("a partition hides the evidence of half of the nodes") {
    fleet.hidden = 43;
    fleet.target.failures_permille = 250;
    const auto time = fleet.TimeUntilBad(60, 40);
    REQUIRE(time);
    CHECK(*time <= kRollback);
  }
  GIVEN("the old version fails in one of twenty answers, the target in six") {
    fleet.old_version.failures_permille = 50;
    fleet.target.failures_permille = 300;
    const auto time = fleet.TimeUntilBad(60, 40);
    REQUIRE(time);
    CHECK(*time <= kRollback);
  }
}

SCENARIO("a good version is not taken for a bad one") {
  JudgedFleet fleet(87);
  GIVEN("trouble that hits both versions alike") {
    fleet.old_version = fleet.target = {200, 150, 5};
    CHECK_FALSE(fleet.TimeUntilBad(200, 40));
  }
  GIVEN("one of three instances is slow and fails") {
    fleet.instance_behavior[1] = {300, 300, 5};
    CHECK_FALSE(fleet.TimeUntilBad(100, 40));
    CHECK(fleet.finding.opinion == RolloutOpinion::kSound);
  }
  GIVEN("two of twelve instances are slow by nature") {
    fleet.instances = 12;
    fleet.instance_behavior[1] = fleet.instance_behavior[5] = {0, 1'000, 3};
    CHECK_FALSE(fleet.TimeUntilBad(100, 40));
  }
  GIVEN("two instances crash under six calls each") {
    fleet.Window(60);
    for (int i = 0; i < 6; ++i) {
      fleet.Call(i, "read", "new-0", true, {1'000, 0});
      fleet.Call(i, "read", "new-1", true, {1'000, 0});
    }
    CHECK_FALSE(fleet.TimeUntilBad(20, 60));
  }
  GIVEN("one instance that fails, and hardly an answer of another") {
    for (int i = 0; i < 30; ++i) {
      fleet.Call(i, "read", "new-0", true, {500, 0});
      fleet.Call(i, "read", {}, true, {});
    }
    for (int i = 0; i < 5; ++i) {
      fleet.Call(i, "read", "new-1", true, {500, 0});
    }
    fleet.Report();
    THEN("nothing is said yet, and it is not moved to") {
      CHECK(fleet.finding.opinion == RolloutOpinion::kSuspicious);
      CHECK(DecideRollout(fleet.finding, 60 * kSecond, 9 * kSecond) ==
            RolloutState::kRolledBack);
    }
  }
  GIVEN("no trouble at all") {
    CHECK_FALSE(fleet.TimeUntilBad(100, 60));
    CHECK(fleet.finding.opinion == RolloutOpinion::kSound);
  }
}

SCENARIO("evidence merges in any order and counts once") {
  OwnOutcomes own;
  own.AddAnswer({"read", "new-1", true, false}, std::chrono::milliseconds(10));
  RolloutReport first;
  first.node = "n-1";
  first.incarnation = 1;
  first.outcomes = own.TakeReport(false);
  own.AddFailure({"read", "new-1", true, false});
  RolloutReport second = first;
  second.outcomes = own.TakeReport(false);
  RolloutReport restarted = first;
  restarted.incarnation = 2;
  EvidencePool pool;
  for (const auto* report : {&second, &first, &second, &restarted}) {
    pool.Merge(*report);
  }
  const OutcomeCounts& counts = pool.totals().begin()->second;
  CHECK(counts.responses == 3);
  CHECK(counts.failures == 1);
  CHECK(counts.times[TimeBucketOf(std::chrono::milliseconds(10))] == 2);
  CHECK(own.TakeReport(false).empty());
  CHECK(own.TakeReport(true).size() == 1);
}

SCENARIO("the verdict comes before the deadline") {
  RolloutFinding finding;
  const Duration duration = 60 * kSecond;
  GIVEN("a bad version") {
    finding.opinion = RolloutOpinion::kBad;
    CHECK(DecideRollout(finding, duration, 50 * kSecond) ==
          RolloutState::kRolledBack);
  }
  GIVEN("a sound version, which may turn bad late") {
    finding.opinion = RolloutOpinion::kSound;
    CHECK_FALSE(DecideRollout(finding, duration, 16 * kSecond));
    CHECK(DecideRollout(finding, duration, 15 * kSecond) ==
          RolloutState::kCompleted);
  }
  GIVEN("a version of which little is known") {
    finding.target_responses = 30;
    CHECK_FALSE(DecideRollout(finding, duration, 10 * kSecond));
    CHECK(DecideRollout(finding, duration, 9 * kSecond) ==
          RolloutState::kCompleted);
    finding.target_responses = 5;
    CHECK(DecideRollout(finding, duration, 9 * kSecond) ==
          RolloutState::kRolledBack);
  }
  GIVEN("a short roll-out") {
    finding.opinion = RolloutOpinion::kSound;
    CHECK(RolloutMargin(10 * kSecond) == 4 * kSecond);
    CHECK(DecideRollout(finding, 10 * kSecond, 4 * kSecond) ==
          RolloutState::kCompleted);
  }
}

}  // namespace
}  // namespace verbenastile
