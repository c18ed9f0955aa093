#include "core/domain_spill.h"

#include <catch2/catch.hpp>
#include <map>

#include "core/balancer.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr Duration kObjective = std::chrono::seconds(1);
constexpr std::int64_t kPermille = 1000;

DomainRoom Room(const char* domain,
                std::int64_t slots,
                std::int64_t calls,
                std::int64_t lost_permille = 0) {
  return {domain, 4, slots, calls, lost_permille};
}

// The shares of a node in domain "a".
struct Node {
  void Run(const std::vector<DomainRoom>& rooms, int intervals) {
    for (int i = 0; i < intervals; ++i) {
      now += kInterval;
      changes += spill.Update("booking", rooms, now).size();
    }
  }
  std::int64_t Share(const char* domain) const {
    return spill.SharePermille("booking", domain);
  }
  std::map<std::string, int> Picks(bool refused, int times = 1000) {
    std::map<std::string, int> picks;
    for (int i = 0; i < times; ++i) {
      ++picks[std::string(spill.Pick("booking", refused, random))];
    }
    return picks;
  }

  DomainSpill spill{"a"};
  Time now{std::chrono::seconds(1)};
  std::mt19937_64 random{1};
  std::size_t changes = 0;
};

SCENARIO("calls leave the failure domain as far as the room calls for it") {
  Node node;
  GIVEN("a domain that has room itself") {
    node.Run({Room("a", 40, 20), Room("b", 40, 0)}, 50);
    THEN("nothing leaves") {
      CHECK(node.changes == 0);
      CHECK(node.Picks(false) == std::map<std::string, int>{{"", 1000}});
    }
  }
  GIVEN("two domains that are short alike") {
    node.Run({Room("a", 40, 80), Room("b", 40, 78)}, 50);
    THEN("they swap no calls, also none that was refused at home") {
      CHECK(node.Share("b") == 0);
      CHECK(node.Picks(false)[""] == 1000);
      CHECK(node.Picks(true)[""] == 1000);
    }
  }
  GIVEN("a domain that lost half of its instances") {
    const std::vector<DomainRoom> rooms = {Room("a", 20, 40),
                                           Room("b", 40, 20)};
    node.Run(rooms, 1);
    THEN("the share rises by a small step") {
      CHECK(node.Share("b") > 0);
      CHECK(node.Share("b") <= 50);
    }
    THEN("a call that was refused at home may leave at once") {
      CHECK(node.Picks(true)["b"] == 1000);
    }
    WHEN("its instances are back and all are half busy") {
      node.Run(rooms, 10);
      const std::int64_t at_peak = node.Share("b");
      CHECK(at_peak > 200);
      THEN("the share stays while the load is between the thresholds") {
        node.Run({Room("a", 40, 28), Room("b", 40, 8)}, 20);
        CHECK(node.Share("b") == at_peak);
      }
      THEN("it returns to none in steps") {
        node.Run({Room("a", 40, 20), Room("b", 40, 20)}, 1);
        CHECK(node.Share("b") < at_peak);
        CHECK(node.Share("b") > at_peak / 2);
        node.Run({Room("a", 40, 20), Room("b", 40, 20)}, 30);
        CHECK(node.Share("b") == 0);
      }
    }
  }
  GIVEN("a domain without instances of the service") {
    node.Run({Room("b", 40, 10), Room("c", 40, 30)}, 1);
    THEN("all calls leave, more of them to where more slots are free") {
      auto picks = node.Picks(false);
      CHECK(picks[""] == 0);
      CHECK(picks["b"] > picks["c"]);
      CHECK(picks["c"] > 0);
    }
  }
  GIVEN("a domain whose only instance of the service comes back") {
    node.Run({Room("b", 40, 10)}, 5);
    CHECK(node.Share("b") == kPermille);
    node.Run({Room("a", 40, 4), Room("b", 40, 10)}, 25);
    THEN("calls stay at home again within five seconds") {
      CHECK(node.Share("b") == 0);
      CHECK(node.Picks(false)[""] == 1000);
    }
  }
  GIVEN("a domain that is short, with lossy links to one of two others") {
    node.Run({Room("a", 40, 80), Room("b", 40, 0, 300), Room("c", 40, 0)}, 5);
    WHEN("the links are sound again") {
      node.Run({Room("a", 40, 80), Room("b", 40, 0), Room("c", 40, 0)}, 5);
      THEN("calls leave there too") {
        CHECK(node.Share("b") > 0);
      }
    }
    THEN("calls leave only to the other one") {
      CHECK(node.Share("b") == 0);
      CHECK(node.Share("c") > 0);
      CHECK(node.Picks(true)["c"] == 1000);
    }
  }
  GIVEN("a domain without recent reports") {
    node.Run({Room("a", 40, 80), Room("b", 0, 0)}, 5);
    THEN("it counts as having no room") {
      CHECK(node.Share("b") == 0);
    }
  }
}

// Domains of 40 slots with `offered` calls each, in which each decides alone by
// reports that are `delay` intervals old.
struct Domains {
  void Run(int intervals, std::size_t delay) {
    for (int i = 0; i < intervals; ++i) {
      std::map<std::string, std::int64_t> calls = offered;
      for (const auto& [from, spill] : spills) {
        for (const auto& [to, unused] : offered) {
          const std::int64_t moved =
              offered.at(from) * spill.SharePermille("booking", to) / kPermille;
          calls[from] -= moved;
          calls[to] += moved;
        }
      }
      calls_of_a.push_back(calls["a"]);
      past.push_back(std::move(calls));
      const auto& seen = past[past.size() - std::min(past.size(), delay + 1)];
      std::vector<DomainRoom> rooms;
      rooms.reserve(seen.size());
      for (const auto& [name, count] : seen) {
        rooms.push_back(Room(name.c_str(), 40, count));
      }
      now += kInterval;
      for (auto& [name, spill] : spills) {
        spill.Update("booking", rooms, now);
      }
    }
  }
  void Add(const std::string& name, std::int64_t calls) {
    offered[name] = calls;
    spills.emplace(name, DomainSpill(name));
  }

  std::map<std::string, std::int64_t> offered;
  std::map<std::string, DomainSpill> spills;
  std::vector<std::map<std::string, std::int64_t>> past;
  std::vector<std::int64_t> calls_of_a;
  Time now{std::chrono::seconds(1)};
};

SCENARIO("domains that each decide alone settle without swinging") {
  Domains domains;
  domains.Add("a", 56);
  GIVEN("twice the usual load in one of three domains") {
    domains.Add("b", 20);
    domains.Add("c", 20);
    domains.Run(100, 0);
    THEN("the load falls below the slots within two seconds and stays put") {
      CHECK(domains.calls_of_a[10] <= 40);
      for (std::size_t i = 50; i < 100; ++i) {
        CHECK(domains.calls_of_a[i] == domains.calls_of_a[50]);
      }
    }
    THEN("nothing comes back") {
      CHECK(domains.spills.at("b").SharePermille("booking", "a") == 0);
      CHECK(domains.spills.at("b").SharePermille("booking", "c") == 0);
    }
  }
  GIVEN("many domains, and reports that show a step two intervals later") {
    for (char name = 'b'; name <= 'i'; ++name) {
      domains.Add(std::string(1, name), 20);
    }
    domains.Run(100, 2);
    THEN("no more calls leave than brings the load between the thresholds") {
      CHECK(domains.calls_of_a[10] <= 40);
      for (const std::int64_t calls : domains.calls_of_a) {
        CHECK(calls >= 24);
      }
    }
  }
}

SCENARIO("the size of the answer decides who leaves") {
  const auto chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  Balancer balancer({&chart, "a", "north", {}});
  MemberDirectory directory;
  for (const char* domain : {"a", "b"}) {
    Member member;
    member.name = std::string("at-") + domain;
    member.incarnation = 1;
    member.failure_domain = domain;
    member.region = "north";
    member.service = "booking";
    member.slots = 4;
    directory.Put(member);
  }
  Time now{std::chrono::seconds(1)};
  balancer.Sync(directory, now);
  now += std::chrono::seconds(60);
  // Eight calls for four slots at home.
  balancer.OnLoadReport(balancer.HandleOf("at-a"), {4, 4}, now);
  balancer.OnLoadReport(balancer.HandleOf("at-b"), {0, 0}, now);
  std::mt19937_64 random{1};
  const auto choose = [&](std::int64_t bytes, std::string_view open) {
    ChooseQuery query{"booking", {}, true};
    query.service_time = std::chrono::milliseconds(150);
    query.objective = kObjective;
    query.remote_cost = LeaveCost({}, bytes, kObjective);
    query.open_domain = open;
    query.closed_cost = StayBonus(kObjective);
    return balancer.Find(balancer.Choose(query, now, random))->name;
  };
  GIVEN("calls in the share that leaves") {
    THEN("a small answer is fetched elsewhere, a large one is waited for") {
      CHECK(choose(200, "b") == "at-b");
      CHECK(choose(200'000, "b") == "at-a");
    }
  }
  GIVEN("calls outside of the share") {
    THEN("a short wait keeps them") {
      CHECK(choose(200, "") == "at-a");
    }
    THEN("a wait beyond half of the objective does not") {
      balancer.OnLoadReport(balancer.HandleOf("at-a"), {4, 40}, now);
      CHECK(choose(200, "") == "at-b");
    }
  }
  THEN("the room of both domains is known until the reports grow old") {
    auto rooms = balancer.RoomByDomain("booking", now);
    REQUIRE(rooms.size() == 2);
    CHECK(rooms[0].domain == "a");
    CHECK(rooms[0].calls == 8);
    rooms = balancer.RoomByDomain("booking", now + 3 * kObjective);
    CHECK(rooms[1].instances == 1);
    CHECK(rooms[1].slots == 0);
  }
}

}  // namespace
}  // namespace verbenastile
