#include <catch2/catch.hpp>

#include "config/rules.h"
#include "core/operations.h"
#include "core/route_table.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr const char* kRules = R"(
services:
  - {name: readiness}
  - {name: booking, needs: [readiness]}
groups:
  - {name: academies, weight: 3, quota: {rules: 2}}
rules:
  - id: pay
    when: {group: academies, path_prefix: /payments, method: POST}
    then: {route: [{service: booking}], deadline: 2s}
  - id: rest
    when: {path_prefix: /}
    then: {route: [{service: booking, weight: 3}, {service: readiness}]}
)";

std::string ParseErrors(const std::string& text) {
  return ErrorTextOf([&] { return ParseRules(text, "rules.yaml"); });
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kRules;
  return text.replace(text.find(from), from.size(), to);
}

SCENARIO("rules are validated and applied in order") {
  const RuleDocument document =
      MustSucceed([] { return ParseRules(kRules, "rules.yaml"); }).document;

  GIVEN("a route table compiled from the rules") {
    const RouteTable table = MustSucceed(
        [&] { return RouteTable::Compile(MakeSnapshot(1, document)); });
    RequestView request;
    request.path = "/payments/7";
    request.method = "POST";

    THEN("the first matching rule applies") {
      request.group = "academies";
      REQUIRE(table.Decide(request) != nullptr);
      CHECK(table.Decide(request)->id == "pay");
    }
    THEN("a request that the first rule does not match gets the next one") {
      request.group = "gyms";
      CHECK(table.Decide(request)->id == "rest");
    }
    THEN("a route is split between its targets in proportion to the weights") {
      const auto& route = std::get<RouteAction>(document.rules[1].action);
      int booking = 0;
      for (std::uint64_t point = 0; point < 400; ++point) {
        booking += ChooseTarget(route, point) == "booking" ? 1 : 0;
      }
      CHECK(booking == 300);
    }
  }

  GIVEN("the canonical text of a rule") {
    const std::string text = ToCanonicalText(document.rules[0]);
    THEN("parsing and formatting it again gives the same text") {
      const Rule rule = MustSucceed([&] { return ParseRule(text); });
      CHECK(ToCanonicalText(rule) == text);
    }
  }

  GIVEN("invalid documents") {
    CHECK(
        ParseErrors(Replaced("[readiness]", "[nobody]")).find("not declared") !=
        std::string::npos);
    CHECK(ParseErrors(Replaced("service: readiness}", "service: x}"))
              .find("routes to service x") != std::string::npos);
    CHECK(ParseErrors(Replaced("id: rest", "id: pay"))
              .find("duplicate rule id pay") != std::string::npos);
    CHECK(ParseErrors(Replaced("rules: 2", "rules: 0"))
              .find("exceeds the quota") != std::string::npos);
    CHECK(ParseErrors(Replaced("/payments", "payments"))
              .find("must begin with /") != std::string::npos);
    CHECK(ParseErrors(Replaced("deadline: 2s", "deadline: soon"))
              .find("a duration") != std::string::npos);
    CHECK(ParseErrors(Replaced("method: POST", "verb: POST"))
              .find("unknown key") != std::string::npos);
    CHECK(ParseErrors(Replaced("weight: 3,", "weight: many,"))
              .find("an integer is expected") != std::string::npos);
  }

  GIVEN("a rule after one that matches all of its requests") {
    const auto checked = MustSucceed([] {
      return ParseRules(
          Replaced("when: {group: academies, path_prefix: /payments, "
                   "method: POST}",
                   "when: {}"),
          "rules.yaml");
    });
    THEN("a warning names both rules") {
      REQUIRE(checked.warnings.size() == 1);
      CHECK(checked.warnings[0].reason.find("rule rest is never applied: the "
                                            "earlier rule pay") == 0);
    }
  }
}

SCENARIO("operations change single rules") {
  const RuleDocument document =
      MustSucceed([] { return ParseRules(kRules, "rules.yaml"); }).document;
  Rule rule = document.rules[0];
  rule.id = "early";

  GIVEN("a rule that is added before another") {
    const auto changed = MustSucceed([&] {
      return ApplyOperation(document, AddRule{rule, {"rest", ""}});
    });
    THEN("it has that position, and the difference lists it") {
      CHECK(changed.rules[1].id == "early");
      CHECK(Difference(document, changed) ==
            std::vector<std::string>{"+early"});
    }
  }
  GIVEN("a rule that is moved to the front") {
    const auto changed = MustSucceed([&] {
      return ApplyOperation(document, MoveRule{"rest", {"pay", ""}});
    });
    CHECK(changed.rules[0].id == "rest");
    CHECK(Difference(document, changed).size() == 1);
  }
  GIVEN("operations on missing rules, or that add an existing one") {
    const auto refused = [&](const Operation& operation) {
      return leaf::try_handle_all(
          [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(ApplyOperation(document, operation));
            return false;
          },
          [](const OperationError&) { return true; }, [] { return false; });
    };
    CHECK(refused(RetireRule{"nobody"}));
    CHECK(refused(MoveRule{"nobody", {}}));
    CHECK(refused(AddRule{rule, {"nobody", ""}}));
    CHECK(refused(AddRule{document.rules[0], {}}));
  }
}

}  // namespace
}  // namespace verbenastile
