#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "core/balancer.h"
#include "core/instance_pace.h"
#include "core/pace_weight.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kUsual = std::chrono::milliseconds(260);
constexpr int kCallsUntilKnown = 64;

DomainRoom RoomWith(std::int64_t calls_per_100_slots) {
  DomainRoom room;
  room.domain = "near";
  room.instances = 10;
  room.slots = 100;
  room.calls = calls_per_100_slots;
  return room;
}

// Ten instances, the first three of which are fast.
struct UnevenService {
  static constexpr int kInstances = 10;
  static constexpr int kFast = 3;

  explicit UnevenService(bool tell) {
    for (int i = 0; i < kInstances; ++i) {
      Member member;
      member.name = "instance-" + std::to_string(i);
      member.failure_domain = "near";
      member.region = "north";
      member.service = "roster";
      member.slots = 18;
      directory.Put(member);
    }
    balancer.Sync(directory, now);
    now += std::chrono::seconds(60);
    for (int i = 0; i < kInstances; ++i) {
      Report(i, 4, tell ? (i < kFast ? 700 : 1'250) : 0);
    }
  }

  void Report(int number, std::uint32_t busy, std::uint32_t slowness) {
    UpstreamLoad load{busy};
    load.slowness_permille = slowness;
    balancer.OnLoadReport(
        balancer.HandleOf("instance-" + std::to_string(number)), load, now);
  }
  std::string ChooseOne(std::int64_t weight) {
    ChooseQuery query;
    query.service = "roster";
    query.remote_cost = std::chrono::milliseconds(3);
    query.service_time = kUsual;
    query.objective = std::chrono::milliseconds(800);
    query.pace_weight_permille = weight;
    return balancer.Find(balancer.Choose(query, now, random))->name;
  }
  int CallsToFast(std::int64_t weight) {
    int fast = 0;
    for (int i = 0; i < 1'000; ++i) {
      fast += ChooseOne(weight) <= "instance-2" ? 1 : 0;
    }
    return fast;
  }

  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  MemberDirectory directory;
  Balancer balancer{{&chart, "near", "north", {}}};
  std::mt19937_64 random{1};
  Time now{std::chrono::seconds(1)};
};

}  // namespace

SCENARIO("the node beside an instance measures its pace") {
  InstancePace pace;
  pace.OnInstance("a");
  for (int i = 0; i < kCallsUntilKnown - 1; ++i) {
    pace.OnRan(2 * kUsual, kUsual);
  }
  CHECK(pace.slowness_permille() == 0);
  pace.OnRan(2 * kUsual, kUsual);
  REQUIRE(pace.slowness_permille() == 2'000);

  SECTION("one long call does not make it slow") {
    pace.OnRan(100 * kUsual, kUsual);
    CHECK(pace.slowness_permille() < 2'050);
  }
  SECTION("calls of a kind that is not known do not count") {
    pace.OnRan(100 * kUsual, Duration(0));
    CHECK(pace.slowness_permille() == 2'000);
  }
  SECTION("another instance starts anew") {
    pace.OnInstance("a");
    CHECK(pace.slowness_permille() == 2'000);
    pace.OnInstance("b");
    CHECK(pace.slowness_permille() == 0);
  }
}

SCENARIO("paces count while there is room") {
  const std::vector<DomainRoom> quiet = {RoomWith(40)};
  const std::vector<DomainRoom> busy = {RoomWith(55)};
  const std::vector<DomainRoom> crest = {RoomWith(65)};
  CHECK(PaceWeightPermille(quiet, PaceRangeOf({0, 0})) == 0);  // Not known.
  // They hardly differ.
  CHECK(PaceWeightPermille(quiet, PaceRangeOf({0, 800, 1'300})) == 0);
  // A few of many that are equal differ by chance.
  std::vector<std::int64_t> equal(100, 1'000);
  std::fill_n(equal.begin(), 5, 600);
  std::fill_n(equal.begin() + 5, 5, 1'500);
  CHECK(PaceWeightPermille(quiet, PaceRangeOf(equal)) == 0);
  const PaceRange paces = PaceRangeOf({0, 800, 1'300, 1'600});
  CHECK(PaceWeightPermille(quiet, paces) == 1'000);
  CHECK(PaceWeightPermille(busy, paces) > 0);
  CHECK(PaceWeightPermille(busy, paces) < 1'000);
  CHECK(PaceWeightPermille(crest, paces) == 0);
  CHECK(PaceWeightPermille({}, paces) == 0);

  CHECK(CountedSlownessPermille(0, 1'000, 0) == 1'000);
  CHECK(CountedSlownessPermille(700, 1'000, 400) == 700);
  CHECK(CountedSlownessPermille(700, 1'000, 750) == 850);
  CHECK(CountedSlownessPermille(700, 1'000, 1'200) == 1'500);
  CHECK(CountedSlownessPermille(1'400, 500, 900) == 1'200);
  CHECK(CountedSlownessPermille(1'400, 0, 900) == 1'000);
}

SCENARIO("calls go to fast instances of a service of uneven speeds") {
  UnevenService service(true);
  CHECK(service.CallsToFast(1'000) > 750);

  SECTION("but not when room is short") {
    CHECK(service.CallsToFast(0) < 400);
  }
  SECTION("nor to those whose slots are full") {
    for (int i = 0; i < UnevenService::kFast; ++i) {
      service.Report(i, 18, 700);
    }
    CHECK(service.CallsToFast(1'000) < 300);
  }
}

SCENARIO("where paces are not told, choices are as before") {
  UnevenService told(true);
  UnevenService untold(false);
  for (int i = 0; i < 1'000; ++i) {
    CHECK(told.ChooseOne(0) == untold.ChooseOne(0));
  }
}

}  // namespace verbenastile
