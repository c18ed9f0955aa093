// Which nodes may own parts of quotas, and how large these are.
#include <algorithm>
#include <catch2/catch.hpp>

#include "core/quota_owners.h"
#include "core/quota_part_giver.h"
#include "core/quota_peers.h"

namespace verbenastile {
namespace {

using Names = QuotaOwners::Names;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Time kStart = Time(std::chrono::seconds(100));
const std::uint64_t kGroup = QuotaDigest("tenant");
const Names kOthers = {"n2", "n3"};

constexpr QuotaStanding kUnlisted = {true, false, false, false};
constexpr QuotaStanding kListed = {true, true, false, false};
constexpr QuotaStanding kWasOwner = {true, false, true, false};

// Guards against owners whose parts add up to more than the quota, since they
// do not know each other (rule QUOTA, review/9).
SCENARIO("a node owns parts once all owners know that it joins them") {
  QuotaOwners owners("n1");
  owners.SetMembers(kOthers, {"n2"}, {}, kUnlisted, kStart);
  THEN("it does not join while one cannot be reached") {
    CHECK_FALSE(owners.joins());
    owners.Update(kStart + std::chrono::seconds(59));
    CHECK_FALSE(owners.joins());
    owners.Update(kStart + std::chrono::seconds(60));
    CHECK(owners.joins());
  }
  WHEN("all can be reached") {
    owners.SetMembers(kOthers, kOthers, {}, kUnlisted, kStart);
    CHECK(owners.joins());
    CHECK_FALSE(owners.may_own());
    THEN("it waits for the store and for all of them") {
      owners.SetMembers(kOthers, kOthers, kOthers, kUnlisted, kStart);
      owners.Update(kStart + 2 * kQuotaPartFreeAfter);
      CHECK_FALSE(owners.may_own());
      owners.SetMembers(kOthers, kOthers, {"n2"}, kListed, kStart);
      owners.Update(kStart + 2 * kQuotaPartFreeAfter);
      CHECK_FALSE(owners.may_own());
      CHECK(owners.OwnersWithSelf(kGroup) == 0);
    }
    AND_WHEN("the store and all owners have its record") {
      owners.SetMembers(kOthers, kOthers, kOthers, kListed, kStart);
      THEN("it waits until what they gave before is free") {
        owners.Update(kStart + kQuotaPartFreeAfter - kMillisecond);
        CHECK_FALSE(owners.may_own());
        owners.Update(kStart + kQuotaPartFreeAfter);
        CHECK(owners.may_own());
        CHECK(owners.OwnersWithSelf(kGroup) == 3);
        AND_WHEN("another one joins") {
          owners.SetMembers({"n2", "n3", "n4"}, {}, {}, kListed, kStart);
          CHECK(owners.OwnersWithSelf(kGroup) == 4);
        }
      }
    }
    AND_WHEN("one of them does not answer") {
      owners.SetMembers(kOthers, kOthers, {"n2"}, kListed, kStart);
      owners.Update(kStart + std::chrono::seconds(3));
      THEN("it withdraws, and tries again later") {
        CHECK_FALSE(owners.joins());
        owners.Update(kStart + std::chrono::seconds(5));
        CHECK_FALSE(owners.joins());
        owners.Update(kStart + std::chrono::seconds(6));
        CHECK(owners.joins());
      }
    }
  }
}

SCENARIO("a node that starts again goes on with what it owned") {
  QuotaOwners owners("n1");
  WHEN("it does not know the owners") {
    owners.SetMembers({"n2"}, {"n2"}, {"n2"}, {}, kStart);
    CHECK_FALSE(owners.joins());
    owners.Update(kStart + 10 * kQuotaPartFreeAfter);
    CHECK_FALSE(owners.joins());
    CHECK_FALSE(owners.may_own());
    AND_WHEN("an owner tells them, and that it was one") {
      owners.SetMembers(kOthers, {"n2"}, {}, kWasOwner, kStart);
      CHECK(owners.may_own());
      CHECK(owners.OwnersWithSelf(kGroup) == 3);
    }
  }
  WHEN("its instance leaves") {
    owners.SetMembers(kOthers, {}, {}, kWasOwner, kStart);
    REQUIRE(owners.may_own());
    owners.SetMembers(kOthers, {}, {}, {true, false, false, true}, kStart);
    CHECK_FALSE(owners.may_own());
    THEN("it is a new member when another instance comes") {
      owners.SetMembers(kOthers, {"n2"}, {}, kUnlisted, kStart);
      owners.Update(kStart + 10 * kQuotaPartFreeAfter);
      CHECK_FALSE(owners.may_own());
      owners.SetMembers(kOthers, kOthers, {}, kUnlisted, kStart);
      CHECK(owners.joins());
    }
  }
}

SCENARIO("the part of a member that left is free after some time") {
  QuotaOwners owners("n1");
  owners.SetMembers(kOthers, {}, {}, kWasOwner, kStart);
  REQUIRE(owners.OwnersWithSelf(kGroup) == 3);
  owners.SetMembers({"n2"}, {}, {}, kWasOwner, kStart);
  CHECK(owners.OwnersWithSelf(kGroup) == 3);
  owners.Update(kStart + kQuotaPartFreeAfter);
  CHECK(owners.OwnersWithSelf(kGroup) == 2);
  CHECK(owners.changed_at() == kStart + kQuotaPartFreeAfter);
}

SCENARIO("five members own the parts of a quota") {
  Names members;
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (int i = 0; i < 20; ++i) {
    const std::string name = "n" + std::to_string(i);
    members.insert(name);
    ranked.emplace_back(CoordinatorRank(kGroup, QuotaDigest(name)), name);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    QuotaOwners owners(ranked[i].second);
    owners.SetMembers(members, {}, {}, kWasOwner, kStart);
    CHECK(owners.OwnersWithSelf(kGroup) == (i < 5 ? 5 : 0));
  }
}

}  // namespace
}  // namespace verbenastile
