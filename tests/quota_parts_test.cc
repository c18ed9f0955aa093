// The parts of quotas that owners give to coordinators for a time.
#include <catch2/catch.hpp>

#include "core/quota_part_giver.h"
#include "core/quota_part_holder.h"
#include "core/quota_peers.h"

namespace verbenastile {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// The names of three members in the order in which they coordinate "tenant".
std::vector<std::string> Ranked() {
  std::vector<std::string> names = {"n1", "n2", "n3"};
  const std::uint64_t group = QuotaDigest("tenant");
  std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
    return CoordinatorRank(group, QuotaDigest(a)) >
           CoordinatorRank(group, QuotaDigest(b));
  });
  return names;
}

std::vector<std::uint64_t> Digests(const std::vector<std::string>& names) {
  std::vector<std::uint64_t> digests;
  digests.reserve(names.size());
  for (const std::string& name : names) {
    digests.push_back(QuotaDigest(name));
  }
  return digests;
}

// It reads from the store that an earlier process owned parts.
constexpr QuotaStanding kOwnedBefore = {true, true, true, false};

// An owner, and the two members that coordinate before it.
struct PartsFixture {
  PartsFixture() { Link({first, second, owner}); }

  void Link(const std::vector<std::string>& candidates, bool all_new = false) {
    giver.owners().SetMembers({{first, second}, {}, {}}, kOwnedBefore, now);
    giver.SetMembers(Digests(candidates), all_new, now);
  }
  // A coordinator asks, and gets the answer at once.
  void Ask(QuotaPartHolder& holder, const std::string& name) {
    holder.OnChanged(owner);
    for (const auto& [member, request] : holder.TakeRequests(now)) {
      holder.OnGrant(member, giver.OnRequest(name, request, now), now);
    }
  }
  bool Has(const QuotaPartHolder& holder) const {
    return holder.Part(owner, QuotaDigest("tenant"), now).has_value();
  }
  static QuotaPartHolder Holder(const std::string& name,
                                const std::vector<std::string>& candidates) {
    QuotaPartHolder holder(name);
    holder.SetCandidates(Digests(candidates));
    holder.SetOwners({{Ranked()[2], {QuotaDigest("tenant")}}});
    return holder;
  }

  std::string first = Ranked()[0];
  std::string second = Ranked()[1];
  std::string owner = Ranked()[2];
  Time now = Time(100 * kSecond);
  QuotaPartGiver giver{owner, Time()};
  QuotaPartHolder at_first = Holder(first, {first, second, owner});
  // It has no link to the first one.
  QuotaPartHolder at_second = Holder(second, {second, owner});
};

// Guards against two coordinators that lend the same part (rule QUOTA).
SCENARIO("a part of a quota is at one coordinator at a time") {
  PartsFixture fleet;
  fleet.Ask(fleet.at_second, fleet.second);
  CHECK_FALSE(fleet.Has(fleet.at_second));
  fleet.Ask(fleet.at_first, fleet.first);
  REQUIRE(fleet.Has(fleet.at_first));

  WHEN("the owner loses the first coordinator") {
    fleet.Link({fleet.second, fleet.owner});
    THEN("the second one gets the part once the first one's time is over") {
      while (fleet.Has(fleet.at_first)) {
        fleet.Ask(fleet.at_second, fleet.second);
        REQUIRE_FALSE(fleet.Has(fleet.at_second));
        fleet.now += kMillisecond;
      }
      fleet.now += kSecond / 10;  // Clocks may differ in speed.
      fleet.Ask(fleet.at_second, fleet.second);
      CHECK(fleet.Has(fleet.at_second));
    }
    THEN("the first one cannot keep it") {
      fleet.Ask(fleet.at_first, fleet.first);
      CHECK_FALSE(fleet.Has(fleet.at_first));
    }
    AND_WHEN("the first coordinator gives it back") {
      fleet.at_first.SetOwners({});
      for (const auto& [member, request] :
           fleet.at_first.TakeRequests(fleet.now)) {
        fleet.giver.OnRequest(fleet.first, request, fleet.now);
      }
      fleet.Ask(fleet.at_second, fleet.second);
      CHECK(fleet.Has(fleet.at_second));
    }
  }
  WHEN("the answer to the first coordinator comes late") {
    fleet.now += 2 * kSecond;
    fleet.at_first.OnChanged(fleet.owner);
    const auto requests = fleet.at_first.TakeRequests(fleet.now);
    REQUIRE(requests.size() == 1);
    const QuotaPartGrant grant =
        fleet.giver.OnRequest(fleet.first, requests[0].second, fleet.now);
    fleet.now += kQuotaPartLifetime;
    fleet.at_first.OnGrant(fleet.owner, grant, fleet.now);
    THEN("its time counts from the request") {
      CHECK_FALSE(fleet.Has(fleet.at_first));
    }
  }
}

SCENARIO("a coordinator that comes gets a part when the others know of it") {
  PartsFixture fleet;
  fleet.Link({fleet.second, fleet.owner});
  fleet.now += kSecond;
  fleet.Ask(fleet.at_second, fleet.second);
  REQUIRE(fleet.Has(fleet.at_second));
  fleet.Link({fleet.first, fleet.second, fleet.owner});
  fleet.Ask(fleet.at_first, fleet.first);
  CHECK_FALSE(fleet.Has(fleet.at_first));
  CHECK(fleet.giver.TakeChanged(fleet.now) ==
        std::vector<std::string>{fleet.second});

  WHEN("the second one has asked again") {
    fleet.Ask(fleet.at_second, fleet.second);
    CHECK_FALSE(fleet.Has(fleet.at_second));
    fleet.Ask(fleet.at_second, fleet.second);  // Confirms what it heard.
    THEN("the first one is told to, and gets the part") {
      CHECK(fleet.giver.TakeChanged(fleet.now) ==
            std::vector<std::string>{fleet.first});
      fleet.Ask(fleet.at_first, fleet.first);
      CHECK(fleet.Has(fleet.at_first));
    }
  }
}

// Guards against a part that an earlier process gave and the next one gives
// again.
SCENARIO("an owner that starts gives nothing until earlier parts are free") {
  PartsFixture fleet;
  fleet.giver = QuotaPartGiver(fleet.owner, fleet.now);
  WHEN("others were running before") {
    fleet.Link({fleet.first, fleet.second, fleet.owner});
    fleet.now += kQuotaPartLifetime;
    fleet.Ask(fleet.at_first, fleet.first);
    CHECK_FALSE(fleet.Has(fleet.at_first));
    fleet.now += kSecond / 10;
    CHECK(fleet.giver.TakeChanged(fleet.now) ==
          std::vector<std::string>{fleet.first});
    fleet.Ask(fleet.at_first, fleet.first);
    CHECK(fleet.Has(fleet.at_first));
  }
  WHEN("all started with it") {
    fleet.Link({fleet.first, fleet.second, fleet.owner}, true);
    fleet.Ask(fleet.at_first, fleet.first);
    CHECK(fleet.Has(fleet.at_first));
  }
}

SCENARIO("candidates are sent once, and then what changes") {
  QuotaPartGiver giver("n3", Time());
  Time now = Time(100 * kSecond);
  giver.SetMembers(Digests({"n1", "n2", "n3"}), false, now);
  const QuotaPartGrant whole =
      giver.OnRequest("n1", {1, 0, kQuotaPartLifetime, {}}, now);
  CHECK(whole.base == 0);
  CHECK(whole.added.size() == 3);
  const QuotaPartGrant same =
      giver.OnRequest("n1", {2, whole.version, kQuotaPartLifetime, {}}, now);
  CHECK(same.base == whole.version);
  CHECK(same.added.empty());
  giver.SetMembers(Digests({"n1", "n3", "n4"}), false, now);
  const QuotaPartGrant changed =
      giver.OnRequest("n1", {3, whole.version, kQuotaPartLifetime, {}}, now);
  CHECK(changed.added == Digests({"n4"}));
  CHECK(changed.removed == Digests({"n2"}));
  WHEN("the coordinator names a version that never was") {
    const QuotaPartGrant again =
        giver.OnRequest("n1", {4, 1'000, kQuotaPartLifetime, {}}, now);
    THEN("it gets all of them") {
      CHECK(again.base == 0);
      CHECK(again.added.size() == 3);
    }
  }
}

}  // namespace
}  // namespace verbenastile
