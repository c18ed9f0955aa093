// Patterns of heavy load, and what admission and placement do about them.
#include <catch2/catch.hpp>
#include <map>

#include "base/random.h"
#include "core/admission.h"
#include "core/balancer.h"
#include "core/link_forecast.h"
#include "core/rule_profile.h"
#include "core/weighted_round_robin.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Time kStart = Time(std::chrono::seconds(100));

// One instance with `slots`, each call of which takes exactly `service`.
struct BusyInstance {
  explicit BusyInstance(std::uint32_t slots) : admission(slots) {}

  // Offers a call that was first asked for at `asked`, and counts what becomes
  // of it; false when it is refused.
  bool Offer(Priority priority, Duration objective, Time asked) {
    AdmissionOffer offer;
    offer.id = ++last_id;
    offer.priority = priority;
    offer.deadline = now + 4 * objective;
    offer.due = (knows_returns ? asked : now) + objective;
    offer.kind = kPriorityNames[static_cast<int>(priority)];
    const auto result = admission.Offer(offer, now);
    arrived[last_id] = {asked, objective};
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      running[last_id] = now + service;
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      ++refused[priority];
    }
    Take(result.actions);
    return result.verdict != AdmissionVerdict::kRefused;
  }
  bool Offer(Priority priority, Duration objective) {
    return Offer(priority, objective, now);
  }

  void Take(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        running[start->id] = now + service;
      }
    }
  }

  void Advance(Duration step) {
    now += step;
    for (auto it = running.begin(); it != running.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      const CallId id = it->first;
      it = running.erase(it);
      const auto [begin, objective] = arrived[id];
      ++(now - begin <= objective ? in_time : late);
      Take(admission.OnEnded(id, now));
    }
  }

  Admission admission;
  bool knows_returns = true;
  Duration service = 100 * kMs;
  Time now = kStart;
  CallId last_id = 0;
  std::map<CallId, Time> running;
  std::map<CallId, std::pair<Time, Duration>> arrived;
  std::map<Priority, int> refused;
  int in_time = 0;
  int late = 0;
};

SCENARIO("sustained overload: those who are served are served in time") {
  BusyInstance instance(9);
  // 180 calls a second where 90 can be served, for ten seconds.
  for (int i = 0; i < 1'800; ++i) {
    instance.Offer(Priority::kLow, 300 * kMs);
    instance.Advance(kMs * 10 / 2 + Duration(555));
  }
  const int served = instance.in_time + instance.late;
  CHECK(served > 800);                            // Slots stay busy.
  CHECK(instance.in_time * 100 >= served * 97);   // Nearly all in time.
  CHECK(instance.refused[Priority::kLow] > 700);  // The rest at once.
}

// Calls of an overload of ten seconds, 150 a second where 90 can be served, by
// callers who come back twice, 150 to 450 ms after a refusal.
int InTimeWithReturns(bool knows_returns) {
  BusyInstance instance(9);
  instance.knows_returns = knows_returns;
  Random random(5);
  std::multimap<Time, std::pair<Time, int>> back;  // When, first asked, tries.
  const auto ask = [&](Time asked, int tries) {
    if (!instance.Offer(Priority::kLow, 300 * kMs, asked) && tries < 3) {
      back.emplace(instance.now + random.Jitter50Percent(300 * kMs),
                   std::pair(asked, tries + 1));
    }
  };
  for (int i = 0; i < 1'500; ++i) {
    ask(instance.now, 1);
    instance.Advance(Duration(6'667));
    while (!back.empty() && back.begin()->first <= instance.now) {
      const auto [asked, tries] = back.begin()->second;
      back.erase(back.begin());
      ask(asked, tries);
    }
  }
  return instance.in_time;
}

// Pattern: refused callers come back into the same overload. Their answers
// would be late, and each takes the place of one that would not.
SCENARIO("room that is short goes to callers who can be answered in time") {
  const int as_if_new = InTimeWithReturns(false);
  const int by_first_asked = InTimeWithReturns(true);
  CHECK(by_first_asked * 10 > as_if_new * 13);
  CHECK(by_first_asked > 780);  // Of the 900 for which there is room.
}

SCENARIO("urgent calls in an overload of others: they pass, and wait longer") {
  BusyInstance instance(9);
  for (int i = 0; i < 1'800; ++i) {
    instance.Offer(i % 6 == 0 ? Priority::kNormal : Priority::kLow, 300 * kMs);
    instance.Advance(kMs * 10 / 2 + Duration(555));
  }
  CHECK(instance.refused[Priority::kNormal] == 0);
  CHECK(instance.refused[Priority::kLow] > 700);
}

SCENARIO("a refusal tells when room is likely") {
  Admission admission(1);
  AdmissionOffer offer;
  offer.id = 1;
  offer.deadline = kStart + 1'000 * kMs;
  admission.Offer(offer, kStart);
  admission.OnEnded(1, kStart + 200 * kMs);  // Calls take 200 ms.
  offer.id = 2;
  admission.Offer(offer, kStart + 200 * kMs);
  offer.id = 3;
  offer.due = kStart + 300 * kMs;
  const auto result = admission.Offer(offer, kStart + 200 * kMs);
  CHECK(result.verdict == AdmissionVerdict::kRefused);
  CHECK(result.refusal == AdmissionRefusal::kWouldBeLate);
  CHECK(result.come_back >= 150 * kMs);
}

// Instances 0 and 1 stand near, 2 and 3 in another failure domain.
struct TwoDomains {
  explicit TwoDomains(std::string self = {}, int count = 4)
      : balancer({&chart, "near", "north", {}, std::move(self)}) {
    for (int i = 0; i < count; ++i) {
      Member member;
      member.name = "instance-" + std::to_string(i);
      member.incarnation = 1;
      member.failure_domain = i < 2 ? "near" : "other";
      member.region = "north";
      member.service = "booking";
      member.slots = 9;
      directory.Put(member);
    }
    balancer.Sync(directory, now);
    now += std::chrono::seconds(60);
    for (int i = 0; i < count; ++i) {
      Report(i, {0, 0});
    }
  }

  UpstreamHandle Handle(int i) {
    return balancer.HandleOf("instance-" + std::to_string(i));
  }
  void Report(int i, UpstreamLoad load) {
    balancer.OnLoadReport(Handle(i), load, now);
  }
  // How many of 100 choices went to the other failure domain, and to the
  // first instance.
  std::pair<int, int> Chosen(Duration remote_cost) {
    int away = 0;
    int first = 0;
    for (int i = 0; i < 100; ++i) {
      ChooseQuery query;
      query.service = "booking";
      query.remote_cost = remote_cost;
      query.service_time = 100 * kMs;
      query.objective = 300 * kMs;
      const auto chosen = balancer.Choose(query, now, random);
      away += balancer.Find(chosen)->failure_domain == "other" ? 1 : 0;
      first += chosen == Handle(0) ? 1 : 0;
    }
    return {away, first};
  }

  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  MemberDirectory directory;
  Balancer balancer;
  std::mt19937_64 random{1};
  Time now = kStart;
};

SCENARIO("work goes where it is least likely to be late") {
  TwoDomains fleet;
  GIVEN("free instances everywhere") {
    CHECK(fleet.Chosen(30 * kMs).first == 0);
    CHECK(fleet.Chosen(30 * kMs).second > 20);
  }
  GIVEN("full queues near by") {
    fleet.Report(0, {9, 9});
    fleet.Report(1, {9, 9});
    THEN("small answers come from elsewhere") {
      CHECK(fleet.Chosen(30 * kMs).first == 100);
    }
    THEN("answers whose bytes cost more than that stay near") {
      CHECK(fleet.Chosen(1'000 * kMs).first == 0);
    }
  }
  GIVEN("a slow instance near by") {
    for (int i = 0; i < 40; ++i) {
      fleet.balancer.OnServiceTime(fleet.Handle(0), 500 * kMs, 100 * kMs,
                                   fleet.now);
    }
    THEN("it is not chosen while that is fresh") {
      CHECK(fleet.Chosen(30 * kMs).second == 0);
    }
    THEN("it is tried again when that is old") {
      fleet.now += std::chrono::seconds(30);
      for (int i = 0; i < 4; ++i) {
        fleet.Report(i, {0, 0});
      }
      CHECK(fleet.Chosen(30 * kMs).second > 20);
    }
  }
  GIVEN("an instance that fails quickly, and so looks free") {
    for (int i = 0; i < 8; ++i) {
      const bool fails = i % 2 == 0;
      fleet.balancer.OnStarted(fleet.Handle(0), fleet.now);
      fleet.balancer.OnEnded(
          fleet.Handle(0),
          fails ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered, kMs,
          fleet.now);
    }
    CHECK(fleet.Chosen(30 * kMs).second < 10);
  }
}

SCENARIO("an instance that has turned slow says so, and is tried again") {
  Admission admission(4);
  Time now = kStart;
  CHECK_FALSE(admission.ExpectedService("read", now).has_value());
  for (CallId id = 1; id <= 20; ++id) {
    AdmissionOffer offer;
    offer.id = id;
    offer.kind = "read";
    offer.deadline = now + 2'000 * kMs;
    admission.Offer(offer, now);
    now += 1'200 * kMs;
    admission.OnEnded(id, now);
  }
  REQUIRE(admission.ExpectedService("read", now).has_value());
  CHECK(*admission.ExpectedService("read", now) > 1'000 * kMs);
  CHECK_FALSE(admission.ExpectedService("write", now).has_value());
  CHECK_FALSE(admission.ExpectedService("read", now + 1'100 * kMs).has_value());
}

// Pattern: an instance of nine slots takes twelve times as long for ten
// seconds. Twenty calls a second come that go elsewhere when they are told that
// it is slow; those that it takes are late, and hold all its slots.
SCENARIO("an instance that has turned slow is tried by one call at a time") {
  constexpr Duration kObjective = 500 * kMs;
  BusyInstance instance(9);
  int taken = 0;
  const auto drive = [&](Duration time) {
    taken = 0;
    for (const Time end = instance.now + time; instance.now < end;) {
      const auto expected =
          instance.admission.ExpectedService("low", instance.now);
      if (!expected || *expected <= kObjective) {
        taken += instance.Offer(Priority::kLow, kObjective) ? 1 : 0;
      }
      instance.Advance(50 * kMs);
    }
  };
  drive(3'000 * kMs);
  CHECK(taken == 60);
  instance.service = 1'800 * kMs;
  drive(10'000 * kMs);
  // Those of the first second, and one for each two.
  CHECK(taken <= 25);
  WHEN("it is well again") {
    instance.service = 100 * kMs;
    drive(5'000 * kMs);
    THEN("the next try shows it") {
      CHECK(taken > 30);
    }
  }
}

// A machine on a link of 5 Mbit/s whose instance has slots enough.
struct FilmMachine {
  static constexpr std::int64_t kRate = 562'500;  // What films may use.
  static constexpr Duration kService = 180 * kMs;
  static constexpr Duration kObjective = 1'000 * kMs;

  LinkState Link() const { return {kRate, queued}; }
  // A film of `bytes` is asked for.
  void Offer(std::int64_t bytes) {
    if (link.LateBy(profile, Link(), kObjective * 65 / 100) >
        Duration::zero()) {
      ++refused;
      return;
    }
    link.OnTaken(++last, profile);
    running[last] = {now, bytes};
  }
  void Advance(Duration step) {
    now += step;
    queued =
        std::max<std::int64_t>(queued - kRate * step.count() / 1'000'000, 0);
    sent += queued > 0 ? kRate * step.count() / 1'000'000 : 0;
    std::erase_if(running, [&](const auto& entry) {
      const auto& [begin, bytes] = entry.second;
      if (begin + kService > now) {
        return false;
      }
      link.OnAnswered(entry.first);
      queued += bytes;
      ++(now + LinkForecast().Wait(Link()) - begin <= kObjective ? in_time
                                                                 : late);
      return true;
    });
  }

  RuleProfile profile{kService, 90'000};
  LinkForecast link;
  Time now = kStart;
  std::int64_t queued = 0;
  std::int64_t sent = 0;
  CallId last = 0;
  std::map<CallId, std::pair<Time, std::int64_t>> running;
  int in_time = 0;
  int late = 0;
  int refused = 0;
};

SCENARIO("films ask for more than a small link carries while slots are free") {
  FilmMachine machine;
  std::mt19937_64 random(3);
  // 12 films a second in clumps of four, where the link carries 6.
  for (int i = 0; i < 3'000; ++i) {
    if (i % 33 == 0) {
      for (int film = 0; film < 4; ++film) {
        machine.Offer(45'000 + static_cast<std::int64_t>(random() % 90'000));
      }
    }
    machine.Advance(10 * kMs);
  }
  THEN("the link stays busy, what is taken is in time, the rest is refused") {
    CHECK(machine.sent > FilmMachine::kRate * 30 * 85 / 100);
    CHECK(machine.refused > 100);
    CHECK(machine.in_time * 100 >= (machine.in_time + machine.late) * 90);
  }
}

SCENARIO("what an instance works on will wait for the link too") {
  const RuleProfile film{180 * kMs, 90'000};
  const LinkState free{900'000, 0};  // A film takes 100 ms.
  const LinkState queue{900'000, 45'000};
  LinkForecast link;
  CHECK(link.Until(film, free) == 280 * kMs);
  for (CallId id = 1; id <= 4; ++id) {
    link.OnTaken(id, film);
  }
  CHECK(link.Wait(queue) == 450 * kMs);
  CHECK(link.Until(film, queue) == 550 * kMs);
  GIVEN("answers that have come, or never will, and small ones") {
    link.OnAnswered(1);
    link.OnAnswered(1);
    link.OnTaken(9, {10 * kMs, 1'000});
    CHECK(link.Wait(free) == 300 * kMs);
  }
}

SCENARIO("a slow instance on a free link is not refused for the link") {
  const RuleProfile slow{700 * kMs, 90'000};
  const LinkState free{125'000'000, 90'000};
  LinkForecast link;
  CHECK(link.LateBy(slow, free, 390 * kMs) == Duration::zero());
  GIVEN("a queue that takes longer than the instance") {
    const LinkState full{900'000, 900'000};  // A second of films.
    CHECK(link.LateBy(slow, full, 390 * kMs) == 710 * kMs);
    CHECK(link.LateBy(slow, full, 1'200 * kMs) == Duration::zero());
  }
}

SCENARIO("large answers go where the link is free") {
  TwoDomains fleet;
  fleet.Report(0, {0, 0, 900 * kMs});
  ChooseQuery query;
  query.service = "booking";
  query.remote_cost = std::chrono::seconds(2);
  query.service_time = 100 * kMs;
  query.objective = 1'000 * kMs;
  const auto first_of_100 = [&] {
    int first = 0;
    for (int i = 0; i < 100; ++i) {
      first += fleet.balancer.Choose(query, fleet.now, fleet.random) ==
                       fleet.Handle(0)
                   ? 1
                   : 0;
    }
    return first;
  };
  CHECK(first_of_100() > 20);
  query.link_time = 100 * kMs;
  CHECK(first_of_100() == 0);
  THEN("what was told of a link's queue is taken as sent with time") {
    fleet.now += 900 * kMs;
    CHECK(first_of_100() > 20);
  }
}

SCENARIO("large answers come from the own machine before all links") {
  TwoDomains fleet("instance-1");
  for (int i = 0; i < 4; ++i) {
    fleet.Report(i, {1, 0, 50 * kMs});
  }
  ChooseQuery query;
  query.service = "booking";
  query.remote_cost = std::chrono::seconds(1);
  query.service_time = 100 * kMs;
  query.objective = 600 * kMs;
  query.link_time = 70 * kMs;
  const auto own_of_100 = [&] {
    int own = 0;
    for (int i = 0; i < 100; ++i) {
      own += fleet.balancer.Choose(query, fleet.now, fleet.random) ==
                     fleet.Handle(1)
                 ? 1
                 : 0;
    }
    return own;
  };
  CHECK(own_of_100() == 100);
  GIVEN("an instance there whose slots are full") {
    fleet.Report(1, {9, 18, Duration::zero()});
    CHECK(own_of_100() == 0);
  }
  GIVEN("small answers") {
    query.link_time = Duration::zero();
    CHECK(own_of_100() < 100);
  }
}

SCENARIO("an instance that was set aside is not chosen for being near") {
  TwoDomains fleet("instance-1", 12);  // More than are compared one by one.
  for (int i = 0; i < 10; ++i) {
    fleet.balancer.OnStarted(fleet.Handle(1), fleet.now);
    fleet.balancer.OnEnded(fleet.Handle(1), AttemptOutcome::kFailed, kMs,
                           fleet.now);
  }
  REQUIRE(fleet.balancer.HealthOf(fleet.Handle(1)) == UpstreamHealth::kEjected);
  for (int i = 0; i < 100; ++i) {
    ChooseQuery query;
    query.service = "booking";
    query.may_probe = false;
    query.remote_cost = std::chrono::seconds(1);
    query.service_time = 100 * kMs;
    query.objective = 600 * kMs;
    query.link_time = 70 * kMs;
    CHECK(fleet.balancer.Choose(query, fleet.now, fleet.random) !=
          fleet.Handle(1));
  }
}

SCENARIO("a weighted rule splits its requests evenly at any time") {
  RouteAction route;
  route.targets = {{"a", 90}, {"b", 10}};
  WeightedRoundRobin rotation;
  std::map<std::string, int, std::less<>> counts;
  for (int i = 0; i < 50; ++i) {
    ++counts[std::string(rotation.Next("r", route))];
  }
  CHECK(counts["b"] == 5);
  GIVEN("other weights") {
    route.targets = {{"a", 1}, {"b", 1}};
    counts.clear();
    for (int i = 0; i < 20; ++i) {
      ++counts[std::string(rotation.Next("r", route))];
    }
    CHECK(counts["a"] >= 9);
    CHECK(counts["b"] >= 9);
  }
}

SCENARIO("rules are told apart by what their requests cost") {
  RuleProfiles profiles;
  CHECK(profiles.Find("none").service_time == Duration::zero());
  for (int i = 0; i < 200; ++i) {
    profiles.Learn("film", 80 * kMs, 90'000);
    profiles.Learn("plan", 20 * kMs, 1'000);
  }
  CHECK(profiles.Find("film").answer_bytes == 90'000);
  GIVEN("one run that took far too long") {
    profiles.Learn("plan", 60'000 * kMs, 1'000);
    CHECK(profiles.Find("plan").service_time < 25 * kMs);
  }
}

}  // namespace
}  // namespace verbenastile
