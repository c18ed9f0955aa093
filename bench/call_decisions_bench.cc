// Call decisions at the target size: 10,000 rules, 690 upstreams in 22
// services, 10 slots and a hundred groups.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>
#include <random>
#include <string>
#include <vector>

#include "core/admission.h"
#include "core/attempt_registry.h"
#include "core/balancer.h"
#include "core/group_keys.h"
#include "core/retry_policy.h"
#include "core/route_index.h"
#include "core/route_table.h"

namespace verbenastile {
namespace {

constexpr std::size_t kUpstreams = 690;
constexpr std::size_t kServices = 22;
constexpr std::size_t kDomains = 6;
constexpr std::uint32_t kSlots = 10;
constexpr std::size_t kGroups = 100;
constexpr std::size_t kRequests = 1'024;
// Group, service, path prefix and method are filled in, in turns.
constexpr std::size_t kKinds = 5;

Rule RuleNumber(std::size_t number) {
  Rule rule;
  RuleMatch& match = rule.match;
  match.group = fmt::format("group-{}", number % 997);
  match.service = fmt::format("service-{}", number % kServices);
  const std::size_t kind = number % kKinds;
  if (kind >= 1) {
    match.path_prefix = fmt::format("/v1/items/{:06}", number);
  }
  if (kind >= 2) {
    match.method = "POST";
  }
  if (kind == 3) {
    match.host = "api.example";
  }
  if (kind == 4) {
    match.headers.push_back({"x-plan", fmt::format("plan-{}", number % 7)});
  }
  return rule;
}

std::vector<Rule> MakeRules(std::size_t count) {
  std::vector<Rule> rules;
  for (std::size_t i = 0; i < count; ++i) {
    rules.push_back(RuleNumber(i));
  }
  return rules;
}

// A request that a randomly chosen rule matches.
struct Request {
  explicit Request(const Rule& rule)
      : match(rule.match), path(match.path_prefix + "/x") {
    for (const HeaderMatch& header : match.headers) {
      headers.push_back({header.name, header.value});
    }
  }

  RequestView view() const {
    return {match.group, match.service, match.host,
            path,        match.method,  headers};
  }

  const RuleMatch& match;
  std::string path;
  std::vector<HeaderView> headers;
};

std::vector<Request> MakeRequests(const std::vector<Rule>& rules) {
  std::mt19937_64 random(1);
  std::vector<Request> requests;
  requests.reserve(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    requests.emplace_back(rules[random() % rules.size()]);
  }
  return requests;
}

void RouteByIndex(benchmark::State& state) {
  const auto rules = MakeRules(static_cast<std::size_t>(state.range(0)));
  const auto requests = MakeRequests(rules);
  const RouteIndex index(rules);
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        index.Find(rules, requests[i++ % kRequests].view()));
  }
}
BENCHMARK(RouteByIndex)->RangeMultiplier(10)->Range(10, 10'000);

void RouteByScan(benchmark::State& state) {
  const auto rules = MakeRules(static_cast<std::size_t>(state.range(0)));
  const auto requests = MakeRequests(rules);
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        FindByScan(rules, requests[i++ % kRequests].view()));
  }
}
BENCHMARK(RouteByScan)->RangeMultiplier(10)->Range(10, 10'000);

MemberDirectory MakeDirectory() {
  MemberDirectory directory;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    Member member;
    member.name = fmt::format("instance-{}", i);
    member.failure_domain = fmt::format("domain-{}", i % kDomains);
    member.region = i % kDomains < kDomains / 2 ? "north" : "south";
    member.service = fmt::format("service-{}", i % kServices);
    member.slots = kSlots;
    directory.Put(member);
  }
  return directory;
}

StateChart HealthChart() {
  return leaf::try_handle_all(
      [] { return LoadEmbeddedChart("upstream_health"); },
      [] { return StateChart{}; });
}

// One choice, start and end of a call.
void BalancerChoice(benchmark::State& state) {
  const StateChart chart = HealthChart();
  Balancer balancer({&chart, "domain-0", "north", {}});
  balancer.Sync(MakeDirectory(), Time());
  std::mt19937_64 random(1);
  std::vector<std::string> services;
  for (std::size_t i = 0; i < kServices; ++i) {
    services.push_back(fmt::format("service-{}", i));
  }
  Time now(std::chrono::seconds(60));
  std::size_t i = 0;
  for (auto _ : state) {
    now += Duration(10);
    const UpstreamHandle handle =
        balancer.Choose({services[i++ % kServices], {}, true}, now, random);
    balancer.OnStarted(handle, now);
    balancer.OnEnded(handle, AttemptOutcome::kAnswered, Duration(800), now);
  }
}
BENCHMARK(BalancerChoice);

// The same by the risk of a late answer, for one service of all upstreams with
// `range` permille of the weight of their paces.
void BalancerLeastRisk(benchmark::State& state) {
  const StateChart chart = HealthChart();
  Balancer balancer({&chart, "domain-0", "north", {}});
  MemberDirectory directory = MakeDirectory();
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    Member member = *directory.Find(fmt::format("instance-{}", i));
    member.service = "service-0";
    directory.Put(member);
  }
  balancer.Sync(directory, Time());
  std::mt19937_64 random(1);
  Time now(std::chrono::seconds(60));
  ChooseQuery query;
  query.service = "service-0";
  query.remote_cost = std::chrono::milliseconds(3);
  query.service_time = std::chrono::milliseconds(260);
  query.objective = std::chrono::milliseconds(800);
  query.pace_weight_permille = state.range(0);
  for (auto _ : state) {
    now += Duration(10);
    const UpstreamHandle handle = balancer.Choose(query, now, random);
    balancer.OnStarted(handle, now);
    UpstreamLoad load{5};
    load.slowness_permille = 600 + handle.index % 1'000;
    balancer.OnLoadReport(handle, load, now);
    balancer.OnEnded(handle, AttemptOutcome::kAnswered, Duration(800), now);
  }
}
BENCHMARK(BalancerLeastRisk)->Arg(0)->Arg(1'000);

// A change of the members, as gossip brings it.
void BalancerSync(benchmark::State& state) {
  const StateChart chart = HealthChart();
  Balancer balancer({&chart, "domain-0", "north", {}});
  MemberDirectory directory = MakeDirectory();
  Member member = *directory.Find("instance-7");
  for (auto _ : state) {
    ++member.incarnation;
    directory.Put(member);
    balancer.Sync(directory, Time());
  }
}
BENCHMARK(BalancerSync);

// One offer and one end with all slots busy and `range` groups waiting.
void AdmissionDecision(benchmark::State& state) {
  Admission admission(kSlots);
  const auto groups = static_cast<std::size_t>(state.range(0));
  std::vector<std::string> names;
  for (std::size_t i = 0; i < groups; ++i) {
    names.push_back(fmt::format("group-{}", i));
  }
  std::vector<CallId> running;
  CallId next = 0;
  Time now(std::chrono::seconds(1));
  const auto offer = [&] {
    const CallId id = ++next;
    const AdmissionResult result =
        admission.Offer({id, names[id % groups], 1, Priority::kNormal,
                         now + Duration(std::chrono::hours(1))},
                        now);
    if (result.verdict == AdmissionVerdict::kAdmitted) {
      running.push_back(id);
    }
  };
  while (admission.queued() < 2 * groups) {
    offer();
  }
  std::size_t oldest = 0;
  for (auto _ : state) {
    now += Duration(100);
    for (const AdmissionAction& action :
         admission.OnEnded(running[oldest], now)) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        running[oldest] = start->id;
      }
    }
    oldest = (oldest + 1) % running.size();
    offer();
  }
}
BENCHMARK(AdmissionDecision)->Arg(1)->Arg(10)->Arg(kGroups);

// A new attempt id among those of the last seconds.
void AttemptRegistryOffer(benchmark::State& state) {
  AttemptRegistry registry;
  std::mt19937_64 random(1);
  Time now;
  for (auto _ : state) {
    // 1,000 attempts a second, each remembered for 31 s.
    now += Duration(1'000);
    benchmark::DoNotOptimize(registry.Register(
        {random(), random()}, Duration(std::chrono::seconds(1)), now));
  }
  state.counters["remembered"] = static_cast<double>(registry.size());
}
BENCHMARK(AttemptRegistryOffer);

constexpr std::size_t kGroupsWithKeys = 90;
constexpr std::size_t kRoutes = 1'600;

std::string KeyNumber(std::size_t number) {
  return fmt::format("{:08}rcpihhacrudd", number);
}

RuleDocument DocumentWithKeys(std::size_t keys) {
  RuleDocument document;
  document.callers_need_keys = true;
  document.services.push_back({"service-0", {}, {}});
  for (std::size_t i = 0; i < kGroupsWithKeys; ++i) {
    document.groups.push_back({fmt::format("group-{}", i), 1, {}});
  }
  for (std::size_t i = 0; i < keys; ++i) {
    document.groups[i % kGroupsWithKeys].keys.push_back(KeyNumber(i));
  }
  for (std::size_t i = 0; i < kRoutes; ++i) {
    Rule rule;
    rule.id = fmt::format("r-{}", i);
    rule.match.host = fmt::format("h{}.example", i % 4);
    rule.match.path_prefix = fmt::format("/p{:05}/", i);
    RouteAction action;
    action.targets.push_back({"service-0", 1});
    rule.action = std::move(action);
    document.rules.push_back(std::move(rule));
  }
  return document;
}

// The digest of a key that a caller presents, and the lookup of its group.
void GroupOfKey(benchmark::State& state) {
  const auto keys = static_cast<std::size_t>(state.range(0));
  const GroupKeys table(DocumentWithKeys(keys).groups, 1);
  std::mt19937_64 random(1);
  std::vector<std::string> presented;
  for (std::size_t i = 0; i < kRequests; ++i) {
    presented.push_back(KeyNumber(random() % keys));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.Find(presented[next++ % kRequests]));
  }
  state.counters["bytes_per_key"] =
      static_cast<double>(table.bytes()) / static_cast<double>(keys);
}
BENCHMARK(GroupOfKey)->Arg(90)->Arg(2'000)->Arg(5'000)->Arg(20'000);

// A configuration of 1,600 routes and 90 groups is put in force.
void CompileWithKeys(benchmark::State& state) {
  const RuleDocument document =
      DocumentWithKeys(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    RuleDocument copy = document;
    state.ResumeTiming();
    benchmark::DoNotOptimize(leaf::try_handle_all(
        [&] { return RouteTable::Compile(1, std::move(copy)); },
        [] { return RouteTable(); }));
  }
}
BENCHMARK(CompileWithKeys)->Arg(0)->Arg(2'000)->Arg(5'000);

void RetryDecisionTaken(benchmark::State& state) {
  RetryPolicy policy;
  std::mt19937_64 random(1);
  const RetryQuery question{"service-0", AttemptOutcome::kRefused, false, 1,
                            Time(std::chrono::hours(1))};
  for (auto _ : state) {
    policy.OnCall("service-0");
    AttemptBudget attempts(2, std::nullopt);
    benchmark::DoNotOptimize(policy.Decide(question, attempts, Time(), random));
  }
}
BENCHMARK(RetryDecisionTaken);

}  // namespace
}  // namespace verbenastile

BENCHMARK_MAIN();
