#include "core/key_check.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "core/configuration_source.h"
#include "platform/bounds.h"
#include "platform/configuration.h"
#include "support.h"

namespace verbenastile {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;

// "open" needs no key, "shut" needs one, "unsaid" says nothing.
json GroupsSpec() {
  return json::parse(R"({
    "version": "00000002",
    "routes": {
      "open": {"host": "a.example", "path_prefix": "/open/", "kind": "safe",
               "timeout_ms": 1200, "service": "wallet", "public": true},
      "shut": {"host": "a.example", "path_prefix": "/shut/", "kind": "safe",
               "timeout_ms": 1200, "service": "wallet", "public": false},
      "unsaid": {"host": "a.example", "path_prefix": "/unsaid/", "kind": "safe",
                 "timeout_ms": 1200, "service": "wallet"}},
    "services": {"wallet": {}},
    "tenants": {
      "lorries": {"api_keys": ["lorry-1", "lorry-2"], "priority": 0,
                  "rate_per_s": 626, "burst": 100},
      "cars": {"api_keys": ["car-1"]},
      "parked": {"api_keys": []}}})");
}

RouteTable TableOf(const json& spec) {
  auto parsed = platform::ParseConfiguration(spec.dump());
  REQUIRE(std::holds_alternative<platform::Configuration>(parsed));
  auto& configuration = std::get<platform::Configuration>(parsed);
  return MustSucceed([&] {
    return RouteTable::Compile(configuration.generation,
                               std::move(configuration.document), kSeed);
  });
}

const RouteAction& RouteNamed(const RouteTable& table, std::string_view id) {
  for (const Rule& rule : table.document().rules) {
    if (rule.id == id) {
      return std::get<RouteAction>(rule.action);
    }
  }
  throw std::invalid_argument(std::string(id));
}

SCENARIO("the platform's tenants become groups with keys") {
  const RouteTable table = TableOf(GroupsSpec());
  const auto owner = [&](std::string_view key) {
    const Group* group = table.FindGroupByKey(table.DigestOfKey(key));
    return group == nullptr ? std::string("none") : group->name;
  };
  CHECK(table.document().callers_need_keys);
  CHECK(owner("lorry-1") == "lorries");
  CHECK(owner("lorry-2") == "lorries");
  CHECK(owner("car-1") == "cars");
  CHECK(owner("lorry-") == "none");
  CHECK(owner("lorry-1 ") == "none");
  CHECK(owner("") == "none");
  CHECK(RouteNamed(table, "shut").needs_key);
  CHECK(RouteNamed(table, "unsaid").needs_key);
  CHECK_FALSE(RouteNamed(table, "open").needs_key);
  const Group& lorries = *table.FindGroupByKey(table.DigestOfKey("lorry-1"));
  CHECK(lorries.priority == Priority::kHigh);
  CHECK(lorries.requests == RequestQuota{626, 100});
  const Group& cars = *table.FindGroupByKey(table.DigestOfKey("car-1"));
  CHECK_FALSE(cars.priority.has_value());
  CHECK(cars.requests == RequestQuota{0, 0});

  GIVEN("a configuration without tenants") {
    json spec = GroupsSpec();
    spec.erase("tenants");
    THEN("callers need no keys") {
      CHECK_FALSE(TableOf(spec).document().callers_need_keys);
    }
  }
  GIVEN("a configuration with no tenant left") {
    json spec = GroupsSpec();
    spec["tenants"] = json::object();
    const RouteTable none = TableOf(spec);
    THEN("callers need keys, and there are none") {
      CHECK(none.document().callers_need_keys);
      CHECK(none.FindGroupByKey(none.DigestOfKey("car-1")) == nullptr);
    }
  }
  GIVEN("tenants that are not a table") {
    json spec = GroupsSpec();
    spec["tenants"] = json::array();
    THEN("the configuration is rejected: nobody is served without a key") {
      CHECK(std::holds_alternative<platform::FormatError>(
          platform::ParseConfiguration(spec.dump())));
    }
  }
  GIVEN("invalid tenants") {
    json spec = GroupsSpec();
    json& cars_spec = spec["tenants"]["cars"];
    std::string fault;
    WHEN("two have the same key") {
      cars_spec["api_keys"] = {"lorry-2"};
      fault = "groups cars and lorries have the same key";
    }
    WHEN("a key is empty") {
      cars_spec["api_keys"] = {""};
      fault = "group cars has an empty key";
    }
    WHEN("a rate is negative") {
      cars_spec["rate_per_s"] = -1;
      fault = "group cars: requests a second and burst must not be negative";
    }
    auto parsed = platform::ParseConfiguration(spec.dump());
    auto& document = std::get<platform::Configuration>(parsed).document;
    const auto text = ErrorTextOf(
        [&] { return RouteTable::Compile(2, std::move(document)); });
    // The configuration is rejected, and the error names no key.
    CHECK(text.find(fault) != std::string::npos);
    CHECK(text.find("lorry-2") == std::string::npos);
  }
}

SCENARIO("thousands of keys are found, under any seed") {
  std::vector<Group> groups(90);
  for (std::size_t i = 0; i < 5'000; ++i) {
    groups[i % groups.size()].keys.push_back(fmt::format("key-{:05}", i));
  }
  for (const std::uint64_t seed : {1, 2, 3}) {
    const GroupKeys keys(groups, seed);
    REQUIRE(keys.size() == 5'000);
    std::size_t right = 0;
    std::size_t unknown = 0;
    for (std::size_t i = 0; i < 5'000; ++i) {
      right += keys.Find(fmt::format("key-{:05}", i)) == i % groups.size();
      unknown += !keys.Find(fmt::format("yek-{:05}", i)).has_value();
    }
    CHECK(right == 5'000);
    CHECK(unknown == 5'000);
  }
  CHECK(KeyDigest("key-00001", 1) != KeyDigest("key-00001", 2));
  CHECK_FALSE(GroupKeys().Find("key-00001").has_value());
}

SCENARIO("the key is taken from credentials of the scheme only") {
  const auto key = [](std::string_view credentials) {
    return std::string(
        KeyInCredentials(credentials, "Token").value_or("(none)"));
  };
  CHECK(key("Token abc") == "abc");
  CHECK(key("token abc") == "abc");
  CHECK(key("TOKEN   abc  ") == "abc");
  CHECK(key("  Token\tabc") == "abc");
  CHECK(key("Token a b") == "a b");
  for (const char* none : {"", " ", "Token", "Token ", "Tokenabc", "abc",
                           "Bearer abc", "Token: abc", "Tok abc"}) {
    CHECK(key(none) == "(none)");
  }
  CHECK(key("Token " + std::string(1'000'000, 'k')).size() == 1'000'000);
}

SCENARIO("a key decides whether a request may be sent, and for which group") {
  const RouteTable table = TableOf(GroupsSpec());
  KeyLimits limits;
  ConfigurationBelief belief{milliseconds(300), std::nullopt};
  const auto verdict = [&](const char* rule, const char* key) {
    std::optional<Digest> digest;
    if (key != nullptr) {
      digest = table.DigestOfKey(key);
    }
    return CheckKey(table, RouteNamed(table, rule), digest, belief, limits)
        .verdict;
  };

  GIVEN("a configuration that was confirmed lately") {
    CHECK(verdict("shut", "car-1") == KeyVerdict::kAccepted);
    CHECK(verdict("shut", "stolen") == KeyVerdict::kUnknownKey);
    CHECK(verdict("shut", nullptr) == KeyVerdict::kNoKey);
    THEN("a rule that needs no key takes any, and knows the group of one") {
      CHECK(verdict("open", nullptr) == KeyVerdict::kNotNeeded);
      CHECK(verdict("open", "stolen") == KeyVerdict::kNotNeeded);
      CHECK(verdict("open", "car-1") == KeyVerdict::kAccepted);
    }
  }
  GIVEN("a peer that has a newer configuration") {
    belief.behind = milliseconds(50);
    THEN("nothing is refused for good, and known keys are accepted") {
      CHECK(verdict("shut", "new") == KeyVerdict::kInDoubt);
      CHECK(verdict("shut", nullptr) == KeyVerdict::kInDoubt);
      CHECK(verdict("shut", "car-1") == KeyVerdict::kAccepted);
    }
  }
  GIVEN("a node that has been cut off from the store for long") {
    belief.age = limits.apply_period;
    THEN("an unknown key may have been added since") {
      CHECK(verdict("shut", "new") == KeyVerdict::kInDoubt);
    }
    THEN("known keys are accepted at any age") {
      belief.age = std::chrono::hours(1);
      CHECK(verdict("shut", "car-1") == KeyVerdict::kAccepted);
    }
    WHEN("withdrawn keys may only be accepted for some time") {
      limits.fail_closed = true;
      belief.age = limits.revoke_period - milliseconds(1);
      CHECK(verdict("shut", "car-1") == KeyVerdict::kAccepted);
      belief.age = limits.revoke_period;
      THEN("all requests that need a key are refused for the time being") {
        CHECK(verdict("shut", "car-1") == KeyVerdict::kInDoubt);
        CHECK(verdict("shut", "stolen") == KeyVerdict::kInDoubt);
        CHECK(verdict("open", "car-1") == KeyVerdict::kAccepted);
        CHECK(verdict("open", nullptr) == KeyVerdict::kNotNeeded);
      }
    }
    WHEN("its peers confirm a newer configuration that it cannot get") {
      limits.fail_closed = true;
      belief = {milliseconds(10), limits.revoke_period};
      CHECK(verdict("shut", "car-1") == KeyVerdict::kInDoubt);
    }
  }
}

SCENARIO("a node knows that a peer has a newer configuration") {
  const Time start = Time(seconds(100));
  ConfigurationSource source({125'000'000, start, kSeed, "self", {}});
  source.OnApplied(3);
  CHECK_FALSE(source.BehindFor(start).has_value());
  source.OnPeerConfiguration("r1", {3, milliseconds(0)}, start);
  CHECK_FALSE(source.BehindFor(start).has_value());
  source.OnPeerConfiguration("r1", {4, milliseconds(0)}, start);
  source.OnPeerConfiguration("r2", {5, milliseconds(0)}, start + seconds(1));
  CHECK(source.BehindFor(start + seconds(2)) == seconds(2));
  source.OnApplied(5);
  CHECK_FALSE(source.BehindFor(start + seconds(2)).has_value());
}

SCENARIO("what confirms a newer configuration does not confirm an older one") {
  const Time start = Time(seconds(100));
  ConfigurationSource source({125'000'000, start, kSeed, "self", {}});
  source.OnApplied(3);
  source.OnPeerConfiguration("r1", {3, milliseconds(200)}, start);
  const Time later = start + seconds(6);
  source.OnPeerConfiguration("r1", {4, milliseconds(100)}, later);
  const RouteTable table = TableOf(GroupsSpec());
  KeyLimits limits;
  limits.fail_closed = true;
  const auto verdict = [&](Time now) {
    const ConfigurationBelief belief{now - source.last_confirmed().value(),
                                     source.BehindFor(now)};
    return CheckKey(table, RouteNamed(table, "shut"),
                    table.DigestOfKey("car-1"), belief, limits)
        .verdict;
  };
  THEN("a key that may have been withdrawn is refused") {
    CHECK(source.last_confirmed() == start - milliseconds(200));
    CHECK(verdict(later) == KeyVerdict::kInDoubt);
  }
  THEN("a lost peer takes nothing back that it confirmed") {
    source.OnPeerGone("r1");
    CHECK(source.last_confirmed() == start - milliseconds(200));
  }
  WHEN("the newer one is in force, and the peer has one that is newer still") {
    source.OnPeerConfiguration("r1", {5, milliseconds(0)}, later + seconds(1));
    source.OnApplied(4);
    THEN("it is as old as what the peer said of it") {
      CHECK(source.last_confirmed() == later - milliseconds(100));
      CHECK(verdict(later + seconds(1)) == KeyVerdict::kAccepted);
    }
  }
}

SCENARIO("the platform bounds how long a withdrawn key may be accepted") {
  const auto parse = [](std::map<std::string, std::string> values) {
    const auto parsed = platform::ParseBounds(values);
    return std::get<platform::Bounds>(parsed);
  };
  CHECK_FALSE(parse({}).refuse_unconfirmed_keys);
  CHECK_FALSE(parse({{"fail_closed", "false"}}).refuse_unconfirmed_keys);
  const auto bounds = parse({{"fail_closed", "true"}, {"revoke_ms", "4000"}});
  CHECK(bounds.refuse_unconfirmed_keys);
  CHECK(bounds.revoke_period == seconds(4));
}

SCENARIO("the platform bounds how soon a configuration is in force") {
  const auto parsed = platform::ParseBounds(
      {{"config_apply_ms", "2500"}, {"max_stretch_ms", "6000"}});
  const auto& limits = std::get<platform::Bounds>(parsed).configuration;
  CHECK(limits.apply_period == milliseconds(2'500));
  CHECK(limits.max_stretch == seconds(6));
  const auto rejected = platform::ParseBounds({{"config_apply_ms", "0"}});
  CHECK(std::get<platform::FormatError>(rejected).reason ==
        "bound config_apply_ms: must be above 0");
}

SCENARIO("a further attempt is not sent in the name of another group") {
  Group rowing;
  rowing.name = "rowing";
  GIVEN("a key that still belongs to the group") {
    CHECK(VerdictForGroup({KeyVerdict::kAccepted, &rowing}, "rowing") ==
          KeyVerdict::kAccepted);
  }
  GIVEN("a key that has moved to another group") {
    CHECK(VerdictForGroup({KeyVerdict::kAccepted, &rowing}, "library") ==
          KeyVerdict::kInDoubt);
  }
  GIVEN("a withdrawn key") {
    CHECK(VerdictForGroup({KeyVerdict::kUnknownKey, nullptr}, "rowing") ==
          KeyVerdict::kUnknownKey);
    THEN("a rule that needs no key does not send it for the group either") {
      CHECK(VerdictForGroup({KeyVerdict::kNotNeeded, nullptr}, "rowing") ==
            KeyVerdict::kInDoubt);
    }
  }
}

}  // namespace
}  // namespace verbenastile
