#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/settings.h"
#include "core/admin_access.h"
#include "core/explain.h"
#include "node/status_page.h"

namespace verbenastile {
namespace {

SCENARIO("requests that change state need access to the admin address") {
  GIVEN("no token") {
    CHECK(CheckAdminAccess({true, ""}, "") == AccessVerdict::kAllowed);
    CHECK(CheckAdminAccess({false, ""}, "") == AccessVerdict::kTokenMissing);
    CHECK(CheckAdminAccess({false, "Bearer "}, "") ==
          AccessVerdict::kTokenMissing);
  }
  GIVEN("a token") {
    constexpr std::string_view kToken = "0123456789abcdef";
    CHECK(CheckAdminAccess({true, ""}, kToken) == AccessVerdict::kTokenMissing);
    CHECK(CheckAdminAccess({false, "Bearer 0123456789abcdef"}, kToken) ==
          AccessVerdict::kAllowed);
    for (const char* wrong :
         {"Bearer 0123456789abcdeF", "Bearer 0123456789abcde", "Bearer ",
          "Bearer 0123456789abcdef0"}) {
      CHECK(CheckAdminAccess({true, wrong}, kToken) ==
            AccessVerdict::kTokenWrong);
    }
  }
  CHECK(IsLoopback("127.9.9.9"));
  CHECK(IsLoopback("::1"));
  CHECK(IsLoopback("::ffff:127.0.0.1"));
  CHECK_FALSE(IsLoopback("10.0.0.1"));
  CHECK_FALSE(IsLoopback("somewhere"));
}

SCENARIO("the status page summarizes the fleet") {
  NodeStatus status;
  status.name = "a";
  status.generation = 3;
  status.platform = "watching";
  status.members = {{"a", "w1", "r", "booking", MemberState::kAlive, 3, false},
                    {"b", "w1", "r", "booking", MemberState::kSuspect, 5, true},
                    {"c", "w2", "r", "video", MemberState::kLeaving, 1, false}};

  GIVEN("members of two failure domains") {
    const auto parts = ByFailureDomain(status);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].serving == 2);
    CHECK(parts[0].suspect == 1);
    CHECK(parts[0].ejected == 1);
    CHECK(parts[0].oldest == 3);
    CHECK(parts[0].newest == 5);
    CHECK(parts[1].leaving == 1);
    CHECK(parts[1].newest == 0);
    CHECK(ByService(status).size() == 2);
    CHECK(Lag(status) == 2);
  }
  GIVEN("a node that cannot reach the platform") {
    status.platform = "waiting";
    CHECK_FALSE(IsCutOff(status));
    AND_GIVEN("no other live member") {
      status.members[1].state = MemberState::kDead;
      THEN("the page reports that the node is cut off") {
        CHECK(IsCutOff(status));
        CHECK(RenderStatus(ToJson(status)).find("CUT OFF") !=
              std::string::npos);
      }
    }
  }
  GIVEN("a malformed status document") {
    CHECK_FALSE(RenderStatus({{"members", "none"}}).empty());
  }
}

SCENARIO("an explanation gives the rule that applies and why others do not") {
  RuleDocument document;
  Rule rule;
  rule.id = "pay";
  rule.match.method = "POST";
  rule.match.headers = {{"x-a", "1"}};
  document.rules.push_back(rule);
  rule.id = "rest";
  rule.match = {};
  document.rules.push_back(rule);
  RequestView request;
  request.path = "/";
  request.method = "GET";

  CHECK(Explain(document, request).skipped_rules[0].reason ==
        "method is \"GET\", not \"POST\"");
  CHECK(Explain(document, request).matching_rule->id == "rest");
  request.method = "POST";
  CHECK(Explain(document, request).skipped_rules[0].reason ==
        "there is no header x-a");
  const HeaderView header{"x-a", "1"};
  request.headers = {&header, 1};
  CHECK(Explain(document, request).matching_rule->id == "pay");
}

}  // namespace
}  // namespace verbenastile
