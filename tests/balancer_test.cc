#include <catch2/catch.hpp>
#include <map>

#include "core/balancer.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kFast = std::chrono::milliseconds(1);

Member MakeMember(int number, const char* domain, const char* region) {
  Member member;
  member.name = "instance-" + std::to_string(number);
  member.incarnation = 1;
  member.failure_domain = domain;
  member.region = region;
  member.service = "booking";
  member.slots = 2;
  return member;
}

// A balancer with instances 0 to 3 in its own failure domain, 4 in another one
// of its region, and 5 in another region.
struct Fleet {
  Fleet() : balancer({&chart, "near", "north", {}}) {
    for (int i = 0; i < 4; ++i) {
      directory.Put(MakeMember(i, "near", "north"));
    }
    directory.Put(MakeMember(4, "other", "north"));
    directory.Put(MakeMember(5, "far", "south"));
    balancer.Sync(directory, now);
    now += 60 * kSecond;  // All instances are past their warm-up.
  }

  UpstreamHandle Choose(std::span<const UpstreamHandle> excluded = {}) {
    return balancer.Choose({"booking", excluded, true}, now, random);
  }
  std::string Name(UpstreamHandle handle) {
    const Member* member = balancer.Find(handle);
    return member == nullptr ? "none" : member->name;
  }
  UpstreamHandle Handle(int number) {
    return balancer.HandleOf("instance-" + std::to_string(number));
  }
  void CompleteCall(UpstreamHandle handle, AttemptOutcome outcome) {
    balancer.OnStarted(handle, now);
    now += kFast;
    balancer.OnEnded(handle, outcome, kFast, now);
  }
  void SetState(int number, MemberState state) {
    Member member = *directory.Find("instance-" + std::to_string(number));
    member.state = state;
    directory.Put(member);
    balancer.Sync(directory, now);
  }
  std::map<std::string, int> CountSelections(int times) {
    std::map<std::string, int> selections;
    for (int i = 0; i < times; ++i) {
      ++selections[Name(Choose())];
    }
    return selections;
  }

  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  MemberDirectory directory;
  Balancer balancer;
  std::mt19937_64 random{1};
  Time now{kSecond};
};

SCENARIO("the balancer selects an instance for a call") {
  Fleet fleet;
  const auto start_calls = [&](int number, int calls) {
    for (int i = 0; i < calls; ++i) {
      fleet.balancer.OnStarted(fleet.Handle(number), fleet.now);
    }
  };

  GIVEN("idle instances in the own failure domain") {
    const auto selections = fleet.CountSelections(400);
    THEN("calls stay in the failure domain and spread over its instances") {
      CHECK(selections.size() == 4);
      CHECK_FALSE(selections.contains("instance-4"));
      CHECK_FALSE(selections.contains("instance-5"));
    }
  }
  GIVEN("one loaded instance in the own failure domain") {
    start_calls(0, 2);
    CHECK_FALSE(fleet.CountSelections(100).contains("instance-0"));
  }
  GIVEN("only loaded instances in the own failure domain") {
    for (int i = 0; i < 4; ++i) {
      start_calls(i, 3);
    }
    THEN("calls spill over to another failure domain of the region") {
      CHECK(fleet.Name(fleet.Choose()) == "instance-4");
    }
    THEN("calls spill over to another region if that is loaded too") {
      start_calls(4, 3);
      CHECK(fleet.Name(fleet.Choose()) == "instance-5");
    }
  }
  GIVEN("an instance that reports a full queue") {
    fleet.balancer.OnLoadReport(fleet.Handle(1), {2, 9}, fleet.now);
    CHECK_FALSE(fleet.CountSelections(100).contains("instance-1"));
    THEN("the reported load decays over time") {
      fleet.now += 60 * kSecond;
      CHECK(fleet.CountSelections(100).contains("instance-1"));
    }
  }
  GIVEN("excluded instances") {
    std::vector<UpstreamHandle> tried;
    for (int i = 0; i < 6; ++i) {
      const UpstreamHandle handle = fleet.Choose(tried);
      REQUIRE(handle.valid());
      REQUIRE(std::find(tried.begin(), tried.end(), handle) == tried.end());
      tried.push_back(handle);
    }
    CHECK_FALSE(fleet.Choose(tried).valid());
  }
  GIVEN("instances that are leaving, dead or have left") {
    fleet.SetState(0, MemberState::kLeaving);
    fleet.SetState(1, MemberState::kDead);
    fleet.SetState(2, MemberState::kLeft);
    THEN("none of them is selected") {
      CHECK(fleet.CountSelections(100) ==
            std::map<std::string, int>{{"instance-3", 100}});
    }
    THEN("an instance that returns starts with a small share of the calls") {
      fleet.SetState(1, MemberState::kAlive);
      const auto selections = fleet.CountSelections(1'000);
      CHECK(selections.at("instance-1") < 300);
      CHECK(selections.at("instance-1") > 10);
    }
    THEN("the handle of a removed instance stays invalid after reuse") {
      const UpstreamHandle old = fleet.Handle(0);
      fleet.directory.Remove("instance-0");
      fleet.directory.Put(MakeMember(9, "near", "north"));
      fleet.balancer.Sync(fleet.directory, fleet.now);
      CHECK(fleet.balancer.Find(old) == nullptr);
      CHECK(fleet.Handle(9).valid());
    }
  }
  GIVEN("an instance with consecutive failures") {
    for (int i = 0; i < 5; ++i) {
      fleet.CompleteCall(fleet.Handle(0), AttemptOutcome::kFailed);
    }
    REQUIRE(fleet.balancer.HealthOf(fleet.Handle(0)) ==
            UpstreamHealth::kEjected);
    CHECK_FALSE(fleet.CountSelections(100).contains("instance-0"));
    THEN(
        "one call probes it after the ejection, and success starts a warm-up") {
      fleet.now += 3 * kSecond;
      const UpstreamHandle probe = fleet.Choose();
      REQUIRE(fleet.Name(probe) == "instance-0");
      fleet.balancer.OnStarted(probe, fleet.now);
      CHECK_FALSE(fleet.CountSelections(20).contains("instance-0"));
      fleet.now += kFast;
      fleet.balancer.OnEnded(probe, AttemptOutcome::kAnswered, kFast,
                             fleet.now);
      CHECK(fleet.balancer.HealthOf(probe) == UpstreamHealth::kCold);
    }
    THEN("a failed probe ejects it for longer") {
      fleet.now += 3 * kSecond;
      fleet.CompleteCall(fleet.Choose(), AttemptOutcome::kNotSent);
      fleet.now += 3 * kSecond;
      CHECK_FALSE(fleet.CountSelections(100).contains("instance-0"));
    }
    THEN("a call that started before the probe does not end the probing") {
      fleet.now += 3 * kSecond;
      fleet.balancer.OnStarted(fleet.Choose(), fleet.now);
      fleet.balancer.OnStarted(fleet.Handle(0), fleet.now);
      fleet.balancer.OnEnded(fleet.Handle(0), AttemptOutcome::kAnswered,
                             10 * kSecond, fleet.now);
      CHECK(fleet.balancer.HealthOf(fleet.Handle(0)) ==
            UpstreamHealth::kProbing);
    }
  }
  GIVEN(
      "failures of all instances, as a node with a broken network sees them") {
    for (int i = 0; i < 60; ++i) {
      fleet.CompleteCall(fleet.Handle(i % 6), AttemptOutcome::kUnknown);
    }
    THEN("the ejection cap keeps most instances in rotation") {
      CHECK(fleet.balancer.stats().ejections == 2);
      CHECK(fleet.balancer.stats().ejections_capped > 0);
      CHECK(fleet.Choose().valid());
    }
  }
  GIVEN("an instance that refuses calls quickly") {
    for (int i = 0; i < 20; ++i) {
      fleet.CompleteCall(fleet.Handle(2), AttemptOutcome::kRefused);
    }
    CHECK(fleet.balancer.HealthOf(fleet.Handle(2)) == UpstreamHealth::kHealthy);
    CHECK_FALSE(fleet.CountSelections(100).contains("instance-2"));
  }
}

}  // namespace
}  // namespace verbenastile
