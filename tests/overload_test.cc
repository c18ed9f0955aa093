// Tests of admission and of instance selection under overload.
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

// An instance with `slots` slots; each call takes exactly `service`.
struct SimulatedInstance {
  explicit SimulatedInstance(std::uint32_t slots) : admission(slots) {}

  // Offers a call whose first attempt was at `first_attempt`, and counts its
  // outcome. Returns false if it is refused.
  bool Offer(Priority priority, Duration objective, Time first_attempt) {
    AdmissionOffer offer;
    offer.id = ++last_id;
    offer.priority = priority;
    offer.deadline = now + 4 * objective;
    offer.soft_deadline = (tracks_retries ? first_attempt : now) + objective;
    offer.call_class = kPriorityNames[static_cast<int>(priority)];
    const auto result = admission.Offer(offer, now);
    arrived[last_id] = {first_attempt, objective};
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      running[last_id] = now + service;
    } else if (result.verdict == AdmissionVerdict::kRefused) {
      ++refused[priority];
    }
    Apply(result.actions);
    return result.verdict != AdmissionVerdict::kRefused;
  }
  bool Offer(Priority priority, Duration objective) {
    return Offer(priority, objective, now);
  }

  void Apply(const AdmissionActions& actions) {
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
      Apply(admission.OnEnded(id, now));
    }
  }

  Admission admission;
  bool tracks_retries = true;
  Duration service = 100 * kMs;
  Time now = kStart;
  CallId last_id = 0;
  std::map<CallId, Time> running;
  std::map<CallId, std::pair<Time, Duration>> arrived;
  std::map<Priority, int> refused;
  int in_time = 0;
  int late = 0;
};

SCENARIO("served calls are in time in a sustained overload") {
  SimulatedInstance instance(9);
  // 180 calls a second against a capacity of 90, for ten seconds.
  for (int i = 0; i < 1'800; ++i) {
    instance.Offer(Priority::kLow, 300 * kMs);
    instance.Advance(kMs * 10 / 2 + Duration(555));
  }
  const int served = instance.in_time + instance.late;
  CHECK(served > 800);                            // The slots stay busy.
  CHECK(instance.in_time * 100 >= served * 97);   // Nearly all are in time.
  CHECK(instance.refused[Priority::kLow] > 700);  // The rest is refused.
}

// Simulates an overload of ten seconds: 150 calls a second against a capacity
// of 90, by callers that retry twice, 150 to 450 ms after a refusal. Returns
// the number of calls that were answered in time.
int CountInTimeWithRetries(bool tracks_retries) {
  SimulatedInstance instance(9);
  instance.tracks_retries = tracks_retries;
  Random random(5);
  // Time of the retry; time of the first attempt; number of the attempt.
  std::multimap<Time, std::pair<Time, int>> retries;
  const auto offer_call = [&](Time first_attempt, int attempt) {
    if (!instance.Offer(Priority::kLow, 300 * kMs, first_attempt) &&
        attempt < 3) {
      retries.emplace(instance.now + random.Jitter50Percent(300 * kMs),
                      std::pair(first_attempt, attempt + 1));
    }
  };
  for (int i = 0; i < 1'500; ++i) {
    offer_call(instance.now, 1);
    instance.Advance(Duration(6'667));
    while (!retries.empty() && retries.begin()->first <= instance.now) {
      const auto [first_attempt, attempt] = retries.begin()->second;
      retries.erase(retries.begin());
      offer_call(first_attempt, attempt);
    }
  }
  return instance.in_time;
}

// Guards against retries taking capacity from first attempts: refused callers
// retry into the same overload. Their responses would be late, and each takes
// the slot of one that would not.
SCENARIO("scarce capacity goes to callers that can be answered in time") {
  const int without_tracking = CountInTimeWithRetries(false);
  const int with_tracking = CountInTimeWithRetries(true);
  CHECK(with_tracking * 10 > without_tracking * 13);
  CHECK(with_tracking > 780);  // The capacity is 900.
}

SCENARIO("calls of higher priority are not refused in an overload of others") {
  SimulatedInstance instance(9);
  for (int i = 0; i < 1'800; ++i) {
    instance.Offer(i % 6 == 0 ? Priority::kNormal : Priority::kLow, 300 * kMs);
    instance.Advance(kMs * 10 / 2 + Duration(555));
  }
  CHECK(instance.refused[Priority::kNormal] == 0);
  CHECK(instance.refused[Priority::kLow] > 700);
}

SCENARIO("a refusal has an estimate of when there is capacity") {
  Admission admission(1);
  AdmissionOffer offer;
  offer.id = 1;
  offer.deadline = kStart + 1'000 * kMs;
  admission.Offer(offer, kStart);
  admission.OnEnded(1, kStart + 200 * kMs);  // Calls take 200 ms.
  offer.id = 2;
  admission.Offer(offer, kStart + 200 * kMs);
  offer.id = 3;
  offer.soft_deadline = kStart + 300 * kMs;
  const auto result = admission.Offer(offer, kStart + 200 * kMs);
  CHECK(result.verdict == AdmissionVerdict::kRefused);
  CHECK(result.refusal == AdmissionRefusal::kWouldBeLate);
  CHECK(result.retry_after >= 150 * kMs);
}

// Instances 0 and 1 are in the local failure domain, the others in another one.
struct TwoDomainFleet {
  explicit TwoDomainFleet(std::string self = {}, int count = 4)
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
  // Of 100 choices, how many selected the other failure domain, and how many
  // the first instance.
  std::pair<int, int> CountChoices(Duration remote_cost) {
    int remote = 0;
    int first = 0;
    for (int i = 0; i < 100; ++i) {
      ChooseQuery query;
      query.service = "booking";
      query.remote_cost = remote_cost;
      query.service_time = 100 * kMs;
      query.objective = 300 * kMs;
      const auto chosen = balancer.Choose(query, now, random);
      remote += balancer.Find(chosen)->failure_domain == "other" ? 1 : 0;
      first += chosen == Handle(0) ? 1 : 0;
    }
    return {remote, first};
  }

  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  MemberDirectory directory;
  Balancer balancer;
  std::mt19937_64 random{1};
  Time now = kStart;
};

SCENARIO("calls go to the instance where they are least likely to be late") {
  TwoDomainFleet fleet;
  GIVEN("free instances in both failure domains") {
    CHECK(fleet.CountChoices(30 * kMs).first == 0);
    CHECK(fleet.CountChoices(30 * kMs).second > 20);
  }
  GIVEN("full queues in the local failure domain") {
    fleet.Report(0, {9, 9});
    fleet.Report(1, {9, 9});
    THEN("small responses come from the other failure domain") {
      CHECK(fleet.CountChoices(30 * kMs).first == 100);
    }
    THEN("responses whose transfer costs more than the wait stay local") {
      CHECK(fleet.CountChoices(1'000 * kMs).first == 0);
    }
  }
  GIVEN("a slow instance in the local failure domain") {
    for (int i = 0; i < 40; ++i) {
      fleet.balancer.OnServiceTime(fleet.Handle(0), 500 * kMs, 100 * kMs,
                                   fleet.now);
    }
    THEN("it is not chosen while its samples are recent") {
      CHECK(fleet.CountChoices(30 * kMs).second == 0);
    }
    THEN("it is tried again once its samples are old") {
      fleet.now += std::chrono::seconds(30);
      for (int i = 0; i < 4; ++i) {
        fleet.Report(i, {0, 0});
      }
      CHECK(fleet.CountChoices(30 * kMs).second > 20);
    }
  }
  GIVEN("an instance that fails fast and therefore looks free") {
    for (int i = 0; i < 8; ++i) {
      const bool fails = i % 2 == 0;
      fleet.balancer.OnStarted(fleet.Handle(0), fleet.now);
      fleet.balancer.OnEnded(
          fleet.Handle(0),
          fails ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered, kMs,
          fleet.now);
    }
    CHECK(fleet.CountChoices(30 * kMs).second < 10);
  }
}

SCENARIO("the service time of a slow instance is known until it expires") {
  Admission admission(4);
  Time now = kStart;
  CHECK_FALSE(admission.ExpectedServiceTime("read", now).has_value());
  for (CallId id = 1; id <= 20; ++id) {
    AdmissionOffer offer;
    offer.id = id;
    offer.call_class = "read";
    offer.deadline = now + 2'000 * kMs;
    admission.Offer(offer, now);
    now += 1'200 * kMs;
    admission.OnEnded(id, now);
  }
  REQUIRE(admission.ExpectedServiceTime("read", now).has_value());
  CHECK(*admission.ExpectedServiceTime("read", now) > 1'000 * kMs);
  CHECK_FALSE(admission.ExpectedServiceTime("write", now).has_value());
  CHECK_FALSE(
      admission.ExpectedServiceTime("read", now + 1'100 * kMs).has_value());
}

// Guards against a slow instance taking many calls. An instance with nine slots
// takes 18 times as long for ten seconds. 20 calls a second arrive, which go
// elsewhere if the instance is known to be slow; the calls that it takes are
// late and occupy all its slots.
SCENARIO("a slow instance is probed by one call at a time") {
  constexpr Duration kObjective = 500 * kMs;
  SimulatedInstance instance(9);
  int accepted = 0;
  const auto run = [&](Duration time) {
    accepted = 0;
    for (const Time end = instance.now + time; instance.now < end;) {
      const auto expected =
          instance.admission.ExpectedServiceTime("low", instance.now);
      if (!expected || *expected <= kObjective) {
        accepted += instance.Offer(Priority::kLow, kObjective) ? 1 : 0;
      }
      instance.Advance(50 * kMs);
    }
  };
  run(3'000 * kMs);
  CHECK(accepted == 60);
  instance.service = 1'800 * kMs;
  run(10'000 * kMs);
  // The calls of the first second, and one every two seconds after that.
  CHECK(accepted <= 25);
  WHEN("the instance has recovered") {
    instance.service = 100 * kMs;
    run(5'000 * kMs);
    THEN("the next probe detects that") {
      CHECK(accepted > 30);
    }
  }
}

// A machine on a link of 5 Mbit/s whose instance always has free slots.
struct FilmServer {
  static constexpr std::int64_t kRate = 562'500;  // Available to films.
  static constexpr Duration kService = 180 * kMs;
  static constexpr Duration kObjective = 1'000 * kMs;

  LinkState Link() const { return {kRate, queued}; }
  // Offers a request for a film of `bytes`.
  void Offer(std::int64_t bytes) {
    if (link.ExcessDelay(profile, Link(), kObjective * 65 / 100) >
        Duration::zero()) {
      ++refused;
      return;
    }
    link.OnCallAccepted(++last, profile);
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
      link.OnCallCompleted(entry.first);
      queued += bytes;
      ++(now + LinkForecast().QueueingDelay(Link()) - begin <= kObjective
             ? in_time
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

SCENARIO("films exceed the bandwidth of a slow link while slots are free") {
  FilmServer machine;
  std::mt19937_64 random(3);
  // 12 films a second in bursts of four; the link carries 6.
  for (int i = 0; i < 3'000; ++i) {
    if (i % 33 == 0) {
      for (int film = 0; film < 4; ++film) {
        machine.Offer(45'000 + static_cast<std::int64_t>(random() % 90'000));
      }
    }
    machine.Advance(10 * kMs);
  }
  THEN("the link stays busy, accepted calls are in time, the rest is refused") {
    CHECK(machine.sent > FilmServer::kRate * 30 * 85 / 100);
    CHECK(machine.refused > 100);
    CHECK(machine.in_time * 100 >= (machine.in_time + machine.late) * 90);
  }
}

SCENARIO("responses to running calls count towards the queueing delay") {
  const RuleProfile film{180 * kMs, 90'000};
  const LinkState free{900'000, 0};  // A film is sent in 100 ms.
  const LinkState queue{900'000, 45'000};
  LinkForecast link;
  CHECK(link.ResponseTime(film, free) == 280 * kMs);
  for (CallId id = 1; id <= 4; ++id) {
    link.OnCallAccepted(id, film);
  }
  CHECK(link.QueueingDelay(queue) == 450 * kMs);
  CHECK(link.ResponseTime(film, queue) == 550 * kMs);
  GIVEN("responses that were queued or cancelled, and small ones") {
    link.OnCallCompleted(1);
    link.OnCallCompleted(1);
    link.OnCallAccepted(9, {10 * kMs, 1'000});
    CHECK(link.QueueingDelay(free) == 300 * kMs);
  }
}

SCENARIO("calls to a slow instance on a free link are not refused") {
  const RuleProfile slow{700 * kMs, 90'000};
  const LinkState free{125'000'000, 90'000};
  LinkForecast link;
  CHECK(link.ExcessDelay(slow, free, 390 * kMs) == Duration::zero());
  GIVEN("a queueing delay above the service time") {
    const LinkState full{900'000, 900'000};  // One second of transfer time.
    CHECK(link.ExcessDelay(slow, full, 390 * kMs) == 710 * kMs);
    CHECK(link.ExcessDelay(slow, full, 1'200 * kMs) == Duration::zero());
  }
}

SCENARIO("large responses come from instances with a free link") {
  TwoDomainFleet fleet;
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
  THEN("a reported link queue is assumed to drain over time") {
    fleet.now += 900 * kMs;
    CHECK(first_of_100() > 20);
  }
}

SCENARIO("large responses come from the local machine first") {
  TwoDomainFleet fleet("instance-1");
  for (int i = 0; i < 4; ++i) {
    fleet.Report(i, {1, 0, 50 * kMs});
  }
  ChooseQuery query;
  query.service = "booking";
  query.remote_cost = std::chrono::seconds(1);
  query.service_time = 100 * kMs;
  query.objective = 600 * kMs;
  query.link_time = 70 * kMs;
  const auto local_of_100 = [&] {
    int local = 0;
    for (int i = 0; i < 100; ++i) {
      local += fleet.balancer.Choose(query, fleet.now, fleet.random) ==
                       fleet.Handle(1)
                   ? 1
                   : 0;
    }
    return local;
  };
  CHECK(local_of_100() == 100);
  GIVEN("a local instance without free slots") {
    fleet.Report(1, {9, 18, Duration::zero()});
    CHECK(local_of_100() == 0);
  }
  GIVEN("small responses") {
    query.link_time = Duration::zero();
    CHECK(local_of_100() < 100);
  }
}

SCENARIO("an ejected instance is not chosen for being local") {
  TwoDomainFleet fleet("instance-1", 12);  // Too many to compare each.
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

SCENARIO("a weighted rule splits its requests evenly over any period") {
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

SCENARIO("costs are tracked per rule") {
  RuleProfiles profiles;
  CHECK(profiles.Find("none").service_time == Duration::zero());
  for (int i = 0; i < 200; ++i) {
    profiles.AddSample("film", 80 * kMs, 90'000);
    profiles.AddSample("plan", 20 * kMs, 1'000);
  }
  CHECK(profiles.Find("film").response_bytes == 90'000);
  GIVEN("one extreme outlier") {
    profiles.AddSample("plan", 60'000 * kMs, 1'000);
    CHECK(profiles.Find("plan").service_time < 25 * kMs);
  }
}

}  // namespace
}  // namespace verbenastile
