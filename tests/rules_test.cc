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

std::string Faults(const std::string& text) {
  return ErrorTextOf([&] { return ParseRules(text, "rules.yaml"); });
}

std::string With(const std::string& from, const std::string& to) {
  std::string text = kRules;
  return text.replace(text.find(from), from.size(), to);
}

SCENARIO("operators write ordered rules") {
  const RuleDocument document =
      MustSucceed([] { return ParseRules(kRules, "rules.yaml"); }).document;

  GIVEN("the rules in force") {
    const RouteTable table = MustSucceed(
        [&] { return RouteTable::Compile(MakeSnapshot(1, document)); });
    RequestView request;
    request.path = "/payments/7";
    request.method = "POST";

    THEN("the first match decides") {
      request.group = "academies";
      REQUIRE(table.Decide(request) != nullptr);
      CHECK(table.Decide(request)->id == "pay");
    }
    THEN("a request that the first does not match goes on to the next") {
      request.group = "gyms";
      CHECK(table.Decide(request)->id == "rest");
    }
    THEN("weights split the points of a route") {
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
    THEN("it is read back to the same text") {
      const Rule rule = MustSucceed([&] { return ParseRule(text); });
      CHECK(ToCanonicalText(rule) == text);
    }
  }

  GIVEN("documents with faults") {
    CHECK(Faults(With("[readiness]", "[nobody]")).find("not declared") !=
          std::string::npos);
    CHECK(Faults(With("service: readiness}", "service: x}"))
              .find("routes to service x") != std::string::npos);
    CHECK(Faults(With("id: rest", "id: pay")).find("stands twice") !=
          std::string::npos);
    CHECK(Faults(With("rules: 2", "rules: 0")).find("breaks the quota") !=
          std::string::npos);
    CHECK(Faults(With("/payments", "payments")).find("must begin with /") !=
          std::string::npos);
    CHECK(Faults(With("deadline: 2s", "deadline: soon")).find("a duration") !=
          std::string::npos);
    CHECK(Faults(With("method: POST", "verb: POST")).find("unknown key") !=
          std::string::npos);
    CHECK(Faults(With("weight: 3,", "weight: many,"))
              .find("a whole number is expected") != std::string::npos);
  }

  GIVEN("a rule behind one that matches all of its requests") {
    const auto checked = MustSucceed([] {
      return ParseRules(With("when: {group: academies, path_prefix: /payments, "
                             "method: POST}",
                             "when: {}"),
                        "rules.yaml");
    });
    THEN("a warning names both") {
      REQUIRE(checked.warnings.size() == 1);
      CHECK(checked.warnings[0].reason.find("rule rest never decides: rule "
                                            "pay") == 0);
    }
  }
}

SCENARIO("operators change rules one by one") {
  const RuleDocument document =
      MustSucceed([] { return ParseRules(kRules, "rules.yaml"); }).document;
  Rule rule = document.rules[0];
  rule.id = "early";

  GIVEN("a rule added before another") {
    const auto changed = MustSucceed([&] {
      return ApplyOperation(document, AddRule{rule, {"rest", ""}});
    });
    THEN("it stands there and the difference says so") {
      CHECK(changed.rules[1].id == "early");
      CHECK(Difference(document, changed) ==
            std::vector<std::string>{"+early"});
    }
  }
  GIVEN("a rule that moves to the front") {
    const auto changed = MustSucceed([&] {
      return ApplyOperation(document, MoveRule{"rest", {"pay", ""}});
    });
    CHECK(changed.rules[0].id == "rest");
    CHECK(Difference(document, changed).size() == 1);
  }
  GIVEN("operations on rules that are not there") {
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
