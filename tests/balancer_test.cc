#include <catch2/catch.hpp>
#include <map>

#include "core/balancer.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kFast = std::chrono::milliseconds(1);

Member MemberNumber(int number, const char* domain, const char* region) {
  Member member;
  member.name = "instance-" + std::to_string(number);
  member.incarnation = 1;
  member.failure_domain = domain;
  member.region = region;
  member.service = "booking";
  member.slots = 2;
  return member;
}

// A balancer whose instances 0 to 3 stand near, 4 in the region, 5 elsewhere.
struct Fleet {
  Fleet() : balancer({&chart, "near", "north", {}}) {
    for (int i = 0; i < 4; ++i) {
      directory.Put(MemberNumber(i, "near", "north"));
    }
    directory.Put(MemberNumber(4, "other", "north"));
    directory.Put(MemberNumber(5, "far", "south"));
    balancer.Sync(directory, now);
    now += 60 * kSecond;  // Everyone is warm.
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
  void Call(UpstreamHandle handle, AttemptOutcome outcome) {
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
  std::map<std::string, int> Chosen(int times) {
    std::map<std::string, int> chosen;
    for (int i = 0; i < times; ++i) {
      ++chosen[Name(Choose())];
    }
    return chosen;
  }

  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  MemberDirectory directory;
  Balancer balancer;
  std::mt19937_64 random{1};
  Time now{kSecond};
};

SCENARIO("an upstream is chosen") {
  Fleet fleet;
  const auto start_on = [&](int number, int calls) {
    for (int i = 0; i < calls; ++i) {
      fleet.balancer.OnStarted(fleet.Handle(number), fleet.now);
    }
  };

  GIVEN("free instances near by") {
    const auto chosen = fleet.Chosen(400);
    THEN("the calls stay near and spread") {
      CHECK(chosen.size() == 4);
      CHECK_FALSE(chosen.contains("instance-4"));
      CHECK_FALSE(chosen.contains("instance-5"));
    }
  }
  GIVEN("one of them loaded") {
    start_on(0, 2);
    CHECK_FALSE(fleet.Chosen(100).contains("instance-0"));
  }
  GIVEN("all near ones loaded") {
    for (int i = 0; i < 4; ++i) {
      start_on(i, 3);
    }
    THEN("calls go on to the region") {
      CHECK(fleet.Name(fleet.Choose()) == "instance-4");
    }
    THEN("and to the other region when that is loaded too") {
      start_on(4, 3);
      CHECK(fleet.Name(fleet.Choose()) == "instance-5");
    }
  }
  GIVEN("a full queue that one tells of") {
    fleet.balancer.OnLoad(fleet.Handle(1), {2, 9}, fleet.now);
    CHECK_FALSE(fleet.Chosen(100).contains("instance-1"));
    THEN("the news fades") {
      fleet.now += 60 * kSecond;
      CHECK(fleet.Chosen(100).contains("instance-1"));
    }
  }
  GIVEN("instances that this call has tried") {
    std::vector<UpstreamHandle> tried;
    for (int i = 0; i < 6; ++i) {
      const UpstreamHandle handle = fleet.Choose(tried);
      REQUIRE(handle.valid());
      REQUIRE(std::find(tried.begin(), tried.end(), handle) == tried.end());
      tried.push_back(handle);
    }
    CHECK_FALSE(fleet.Choose(tried).valid());
  }
  GIVEN("instances that leave, died or have left") {
    fleet.SetState(0, MemberState::kLeaving);
    fleet.SetState(1, MemberState::kDead);
    fleet.SetState(2, MemberState::kLeft);
    THEN("none of them is chosen") {
      CHECK(fleet.Chosen(100) ==
            std::map<std::string, int>{{"instance-3", 100}});
    }
    THEN("one that comes back starts slowly") {
      fleet.SetState(1, MemberState::kAlive);
      const auto chosen = fleet.Chosen(1'000);
      CHECK(chosen.at("instance-1") < 300);
      CHECK(chosen.at("instance-1") > 10);
    }
    THEN("a forgotten one's handle is not valid again") {
      const UpstreamHandle old = fleet.Handle(0);
      fleet.directory.Remove("instance-0");
      fleet.directory.Put(MemberNumber(9, "near", "north"));
      fleet.balancer.Sync(fleet.directory, fleet.now);
      CHECK(fleet.balancer.Find(old) == nullptr);
      CHECK(fleet.Handle(9).valid());
    }
  }
  GIVEN("an instance that fails again and again") {
    for (int i = 0; i < 5; ++i) {
      fleet.Call(fleet.Handle(0), AttemptOutcome::kFailed);
    }
    REQUIRE(fleet.balancer.HealthOf(fleet.Handle(0)) ==
            UpstreamHealth::kEjected);
    CHECK_FALSE(fleet.Chosen(100).contains("instance-0"));
    THEN("one call probes it later, and a good one brings it back slowly") {
      fleet.now += 3 * kSecond;
      const UpstreamHandle probe = fleet.Choose();
      REQUIRE(fleet.Name(probe) == "instance-0");
      fleet.balancer.OnStarted(probe, fleet.now);
      CHECK_FALSE(fleet.Chosen(20).contains("instance-0"));
      fleet.now += kFast;
      fleet.balancer.OnEnded(probe, AttemptOutcome::kAnswered, kFast,
                             fleet.now);
      CHECK(fleet.balancer.HealthOf(probe) == UpstreamHealth::kCold);
    }
    THEN("a failed probe sets it aside for longer") {
      fleet.now += 3 * kSecond;
      fleet.Call(fleet.Choose(), AttemptOutcome::kNotSent);
      fleet.now += 3 * kSecond;
      CHECK_FALSE(fleet.Chosen(100).contains("instance-0"));
    }
    THEN("the end of a call from before says nothing of a probe") {
      fleet.now += 3 * kSecond;
      fleet.balancer.OnStarted(fleet.Choose(), fleet.now);
      fleet.balancer.OnStarted(fleet.Handle(0), fleet.now);
      fleet.balancer.OnEnded(fleet.Handle(0), AttemptOutcome::kAnswered,
                             10 * kSecond, fleet.now);
      CHECK(fleet.balancer.HealthOf(fleet.Handle(0)) ==
            UpstreamHealth::kProbing);
    }
  }
  GIVEN("failures everywhere, as a broken node sees them") {
    for (int i = 0; i < 60; ++i) {
      fleet.Call(fleet.Handle(i % 6), AttemptOutcome::kUnknown);
    }
    THEN("most of the service stays") {
      CHECK(fleet.balancer.stats().ejections == 2);
      CHECK(fleet.balancer.stats().capped > 0);
      CHECK(fleet.Choose().valid());
    }
  }
  GIVEN("one that refuses, and quickly") {
    for (int i = 0; i < 20; ++i) {
      fleet.Call(fleet.Handle(2), AttemptOutcome::kRefused);
    }
    CHECK(fleet.balancer.HealthOf(fleet.Handle(2)) == UpstreamHealth::kHealthy);
    CHECK_FALSE(fleet.Chosen(100).contains("instance-2"));
  }
}

}  // namespace
}  // namespace verbenastile
