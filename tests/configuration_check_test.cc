#include <catch2/catch.hpp>

#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "core/configuration_check.h"
#include "support.h"

namespace verbenastile {
namespace {

RuleDocument MakeDocument() {
  RuleDocument document;
  document.services = {{"booking", {}, {}}, {"library", {}, {}}};
  document.callers_need_keys = true;
  Group group;
  group.name = "academies";
  group.keys = {"secret-1", "secret-2"};
  group.requests = {50, 50};
  document.groups = {group};
  Rule rule;
  rule.id = "payments";
  rule.match.host = "a.example";
  rule.match.path_prefix = "/payments/";
  RouteAction route;
  route.targets = {{"booking", 90}, {"library", 10}};
  route.deadline = std::chrono::seconds(2);
  route.objective = std::chrono::milliseconds(600);
  rule.action = route;
  document.rules = {rule};
  return document;
}

RouteAction& RouteOf(Rule& rule) {
  return std::get<RouteAction>(rule.action);
}

bool Mentions(const std::vector<ConfigurationFinding>& findings,
              std::string_view subject,
              std::string_view text) {
  return std::any_of(findings.begin(), findings.end(),
                     [&](const ConfigurationFinding& finding) {
                       return finding.subject == subject &&
                              finding.text.find(text) != std::string::npos;
                     });
}

SCENARIO("a configuration is checked before it is sent") {
  RuleDocument document = MakeDocument();
  GIVEN("one that the deployment runs") {
    THEN("nothing is found") {
      CHECK(FindUnusedEntries(document).empty());
      CHECK(FindContradictions(document).empty());
      CHECK(FindDifferences(document, document).empty());
    }
  }
  GIVEN("a rule behind one that matches all of its requests") {
    Rule rule = document.rules[0];
    rule.id = "late";
    rule.match.path_prefix = "/payments/cards/";
    document.rules.push_back(rule);
    CHECK(Mentions(FindUnusedEntries(document), "rules",
                   "rule late is never applied"));
  }
  GIVEN("a target of weight 0") {
    RouteOf(document.rules[0]).targets[1].weight = 0;
    CHECK(Mentions(FindUnusedEntries(document), "rule payments",
                   "library has the weight 0"));
  }
  GIVEN("a service that no rule names") {
    document.services.push_back({"attic", {}, {}});
    CHECK(Mentions(FindUnusedEntries(document), "service attic", "no rule"));
  }
  GIVEN("an objective beyond the deadline") {
    RouteOf(document.rules[0]).objective = std::chrono::seconds(3);
    CHECK(Mentions(FindContradictions(document), "rule payments",
                   "3000 ms lies beyond its deadline of 2000 ms"));
  }
  GIVEN("a quota that admits nothing, and a burst without a rate") {
    document.groups[0].requests = {0.5, 0};
    CHECK(Mentions(FindContradictions(document), "group academies",
                   "no request is ever within the quota"));
    document.groups[0].requests = {0, 20};
    CHECK(Mentions(FindContradictions(document), "group academies",
                   "has no effect without a rate"));
  }
  GIVEN("a key that two groups hold") {
    document.groups.push_back(document.groups[0]);
    document.groups[1].name = "scouts";
    const auto findings = FindContradictions(document);
    CHECK(Mentions(findings, "group scouts", "belongs to group academies"));
    THEN("the key itself is not shown") {
      for (const ConfigurationFinding& finding : findings) {
        CHECK(finding.text.find("secret") == std::string::npos);
      }
    }
  }
}

SCENARIO("the differences from the configuration in force are shown") {
  const RuleDocument before = MakeDocument();
  RuleDocument after = before;
  GIVEN("a changed rule, group and service") {
    RouteOf(after.rules[0]).targets[0].weight = 50;
    RouteOf(after.rules[0]).deadline = std::chrono::seconds(1);
    after.groups[0].keys = {"secret-2", "secret-3"};
    after.groups[0].requests.per_second = 5;
    after.services.push_back({"swap", {}, {}});
    const auto changes = FindDifferences(before, after);
    CHECK(changes.size() == 5);
    CHECK(Mentions(changes, "service swap", "added"));
    CHECK(Mentions(changes, "group academies", "1 added, 1 withdrawn"));
    CHECK(Mentions(changes, "group academies",
                   "50 requests/s, burst 50 -> 5 requests/s, burst 50"));
    CHECK(Mentions(changes, "rule payments", "deadline: 2000 ms -> 1000 ms"));
    CHECK(Mentions(changes, "rule payments", "booking:90 library:10 -> "));
  }
  GIVEN("a removed rule and group") {
    after.rules.clear();
    after.groups.clear();
    const auto changes = FindDifferences(before, after);
    CHECK(Mentions(changes, "rule payments", "removed"));
    CHECK(Mentions(changes, "group academies", "removed"));
  }
}

SCENARIO("the command checks files in the platform's format") {
  const std::string good =
      R"({"version":"00000007","routes":{"r":{"host":"a","path_prefix":"/p/",)"
      R"("kind":"safe","timeout_ms":1500,"service":"s"}},"services":{"s":{}}})";
  const ScratchFile file(good);
  CHECK(RunCheckCommand({"check", file.path()}) == kExitOk);
  CHECK(RunCheckCommand({"check", "--json", "--against", file.path(),
                         file.path()}) == kExitOk);
  GIVEN("hostile input") {
    const std::string text = GENERATE(
        as<std::string>(), R"({"routes":)",
        R"({"version":"zz","routes":{},"services":{}})",
        R"({"version":"07","routes":{"r":7},"services":{}})",
        R"({"version":"07","routes":{"r":{"host":"a","path_prefix":"/p/",)"
        R"("kind":"safe","timeout_ms":1500,"service":"none"}},"services":{}})",
        std::string(100'000, '{') + "\"routes\"",
        std::string("\0{\"routes\"", 10));
    const ScratchFile hostile(text);
    CHECK(RunCheckCommand({"check", hostile.path()}) == kExitInvalid);
  }
  GIVEN("a store that is not an address") {
    CHECK(RunCheckCommand({"check", "--store", "nowhere", file.path()}) ==
          kExitInvalid);
  }
}

}  // namespace
}  // namespace verbenastile
