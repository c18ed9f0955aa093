#include <catch2/catch.hpp>
#include <random>

#include "core/route_table.h"
#include "support.h"

namespace verbenastile {
namespace {

using Random = std::mt19937_64;

std::string Pick(Random& random, std::initializer_list<const char*> choices) {
  return *(choices.begin() + random() % choices.size());
}

std::string RandomGroup(Random& random) {
  return Pick(random, {"", "rowing", "rugby", "cubesat"});
}

std::string RandomPath(Random& random) {
  return Pick(random, {"", "/", "/lift", "/lifts", "/lifts/7", "/book",
                       "/book/slot", "/pass"});
}

Rule RandomRule(Random& random) {
  Rule rule;
  rule.match.group = RandomGroup(random);
  rule.match.service = Pick(random, {"", "", "booking", "video"});
  rule.match.host = Pick(random, {"", "", "a.example", "b.example"});
  rule.match.method = Pick(random, {"", "", "GET", "POST"});
  rule.match.path_prefix = RandomPath(random);
  for (std::uint64_t i = random() % 3; i > 0; --i) {
    rule.match.headers.push_back(
        {Pick(random, {"x-a", "x-b"}), Pick(random, {"1", "2"})});
  }
  return rule;
}

TEST_CASE("the route index agrees with a linear scan") {
  Random random(7);
  std::size_t matched = 0;
  for (int document = 0; document < 200; ++document) {
    std::vector<Rule> rules;
    for (std::uint64_t i = random() % 60; i > 0; --i) {
      rules.push_back(RandomRule(random));
    }
    const RouteIndex index(rules);
    for (int request = 0; request < 100; ++request) {
      const Rule sample = RandomRule(random);
      std::vector<HeaderView> headers;
      for (const HeaderMatch& header : sample.match.headers) {
        headers.push_back({header.name, header.value});
      }
      const std::string path = sample.match.path_prefix + RandomPath(random);
      const RequestView view = {sample.match.group,  sample.match.service,
                                sample.match.host,   path,
                                sample.match.method, headers};
      const auto expected = FindByScan(rules, view);
      matched += expected ? 1 : 0;
      REQUIRE(index.Find(rules, view) == expected);
    }
  }
  CHECK(matched > 5'000);
}

SCENARIO("rules with the same match fields share a table") {
  std::vector<Rule> rules(3'000);
  for (std::size_t i = 0; i < rules.size(); ++i) {
    rules[i].match.group = "group-" + std::to_string(i);
    rules[i].match.path_prefix = i % 2 == 0 ? "/a" : "/bb";
  }
  CHECK(RouteIndex(rules).table_count() == 2);
}

SCENARIO("targets are chosen in proportion to their weights") {
  RouteAction route;
  route.targets = {{"old", 3}, {"new", 1}, {"retired", 0}};
  std::size_t to_new = 0;
  for (std::uint64_t point = 0; point < 400; ++point) {
    const auto service = ChooseTarget(route, point);
    CHECK(service != "retired");
    to_new += service == "new" ? 1 : 0;
  }
  CHECK(to_new == 100);
}

SCENARIO("undeclared groups share one fair-share bucket") {
  RuleDocument document;
  Group rowing;
  rowing.name = "rowing";
  rowing.weight = 3;
  document.groups.push_back(rowing);
  const RouteTable table = MustSucceed(
      [&] { return RouteTable::Compile(MakeSnapshot(1, document)); });
  CHECK(table.FairShareGroup("rowing") == "rowing");
  CHECK(table.FairShareGroup("made-up-1") == table.FairShareGroup("made-up-2"));
}

}  // namespace
}  // namespace verbenastile
