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
  owners.SetMembers({kOthers, {"n2"}, {}}, kUnlisted, kStart);
  THEN("it does not join while one cannot be reached") {
    CHECK_FALSE(owners.joins());
    owners.Update(kStart + std::chrono::seconds(59));
    CHECK_FALSE(owners.joins());
    owners.Update(kStart + std::chrono::seconds(60));
    CHECK(owners.joins());
  }
  WHEN("all can be reached") {
    owners.SetMembers({kOthers, kOthers, {}}, kUnlisted, kStart);
    CHECK(owners.joins());
    CHECK_FALSE(owners.may_own());
    THEN("it waits for the store and for all of them") {
      owners.SetMembers({kOthers, kOthers, kOthers}, kUnlisted, kStart);
      owners.Update(kStart + 2 * kQuotaPartFreeAfter);
      CHECK_FALSE(owners.may_own());
      owners.SetMembers({kOthers, kOthers, {"n2"}}, kListed, kStart);
      owners.Update(kStart + 2 * kQuotaPartFreeAfter);
      CHECK_FALSE(owners.may_own());
      CHECK(owners.OwnersWithSelf(kGroup) == 0);
    }
    AND_WHEN("the store and all owners have its record") {
      owners.SetMembers({kOthers, kOthers, kOthers}, kListed, kStart);
      THEN("it waits until what they gave before is free") {
        owners.Update(kStart + kQuotaPartFreeAfter - kMillisecond);
        CHECK_FALSE(owners.may_own());
        owners.Update(kStart + kQuotaPartFreeAfter);
        CHECK(owners.may_own());
        CHECK(owners.OwnersWithSelf(kGroup) == 3);
        AND_WHEN("another one joins") {
          owners.SetMembers({{"n2", "n3", "n4"}, {}, {}}, kListed, kStart);
          CHECK(owners.OwnersWithSelf(kGroup) == 4);
        }
      }
    }
    AND_WHEN("one of them does not answer") {
      owners.SetMembers({kOthers, kOthers, {"n2"}}, kListed, kStart);
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

// Guards against parts that are passed over as a dead member's, since it has
// been known for long, although it could be reached until now.
SCENARIO("a member is taken for dead once it could not be reached for long") {
  QuotaOwners owners("n1");
  owners.SetMembers({kOthers, kOthers, {}}, {}, kStart);
  const Time later = kStart + std::chrono::seconds(90);
  owners.SetMembers({kOthers, {"n2"}, {}}, kUnlisted, later);
  CHECK_FALSE(owners.joins());
  owners.Update(later + std::chrono::seconds(59));
  CHECK_FALSE(owners.joins());
  owners.Update(later + std::chrono::seconds(60));
  CHECK(owners.joins());
}

SCENARIO("a node without links waits for others that start with it") {
  constexpr Duration kWaits = std::chrono::milliseconds(2'500);
  QuotaOwners owners("n1");
  owners.SetMembers({{}, {"n1"}, {}}, kUnlisted, kStart);
  owners.Update(kStart + kWaits - kMillisecond);
  CHECK_FALSE(owners.joins());
  WHEN("a list shows no other member") {
    owners.Update(kStart + kWaits);
    CHECK(owners.joins());
  }
  WHEN("one is linked") {
    owners.SetMembers({{}, {"n2"}, {}}, kUnlisted, kStart + kMillisecond);
    CHECK(owners.joins());
  }
}

// Guards against a fleet that starts beside a member without links, and waits
// for it to confirm that the others join the owners (rule QUOTA, issue 60).
SCENARIO("a node that is linked with few members does not join at once") {
  constexpr Duration kAsksAfter = std::chrono::seconds(3);
  QuotaOwners owners("n1");
  owners.SetMembers({{}, {}, {}, kOthers}, kUnlisted, kStart);
  CHECK_FALSE(owners.joins());
  CHECK(owners.asked().empty());
  WHEN("it has links with the others") {
    owners.SetMembers({{}, kOthers, {}, {}}, kUnlisted, kStart);
    THEN("it joins") {
      CHECK(owners.joins());
    }
  }
  WHEN("it goes on without links") {
    owners.Update(kStart + kAsksAfter - kMillisecond);
    CHECK(owners.asked().empty());
    owners.Update(kStart + kAsksAfter);
    THEN("it asks them through the store to count it") {
      CHECK(owners.asked() == kOthers);
      CHECK_FALSE(owners.joins());
      AND_WHEN("one of them does") {
        owners.SetMembers({{}, {}, {"n2"}, kOthers}, kUnlisted,
                          kStart + kAsksAfter);
        CHECK_FALSE(owners.joins());
      }
      AND_WHEN("all of them do") {
        owners.SetMembers({kOthers, {}, kOthers, kOthers}, kListed,
                          kStart + kAsksAfter);
        CHECK(owners.joins());
        owners.Update(kStart + kAsksAfter);
        owners.Update(kStart + kAsksAfter + kQuotaPartFreeAfter);
        CHECK(owners.may_own());
        CHECK(owners.asked().empty());
        CHECK(owners.OwnersWithSelf(kGroup) == 3);
      }
    }
  }
}

SCENARIO("a node joins once the store has shown its record") {
  QuotaOwners owners("n1");
  QuotaStanding standing = kUnlisted;
  standing.is_stored = false;
  owners.SetMembers({kOthers, kOthers, {}}, standing, kStart);
  CHECK_FALSE(owners.joins());
  owners.SetMembers({kOthers, kOthers, {}}, kUnlisted, kStart);
  CHECK(owners.joins());
}

SCENARIO("a node that joins asks an owner without a link through the store") {
  QuotaOwners owners("n1");
  owners.SetMembers({kOthers, {"n2"}, {}}, kUnlisted, kStart);
  owners.Update(kStart + std::chrono::seconds(3));
  CHECK(owners.asked() == Names{"n3"});
  CHECK_FALSE(owners.joins());
  owners.SetMembers({kOthers, {"n2"}, {"n3"}}, kUnlisted,
                    kStart + std::chrono::seconds(4));
  CHECK(owners.joins());
  THEN("those with a link confirm that it joins") {
    owners.SetMembers({kOthers, {"n2"}, {"n3"}}, kListed,
                      kStart + std::chrono::seconds(4));
    owners.Update(kStart + std::chrono::seconds(6));
    CHECK_FALSE(owners.may_own());
    owners.SetMembers({kOthers, {"n2"}, kOthers}, kListed,
                      kStart + std::chrono::seconds(6));
    owners.Update(kStart + std::chrono::seconds(6) + kQuotaPartFreeAfter);
    CHECK(owners.may_own());
  }
}

SCENARIO("a node that starts again goes on with what it owned") {
  QuotaOwners owners("n1");
  WHEN("it does not know the owners") {
    owners.SetMembers({{"n2"}, {"n2"}, {"n2"}}, {}, kStart);
    CHECK_FALSE(owners.joins());
    owners.Update(kStart + 10 * kQuotaPartFreeAfter);
    CHECK_FALSE(owners.joins());
    CHECK_FALSE(owners.may_own());
    AND_WHEN("an owner tells them, and that it was one") {
      owners.SetMembers({kOthers, {"n2"}, {}}, kWasOwner, kStart);
      CHECK(owners.may_own());
      CHECK(owners.OwnersWithSelf(kGroup) == 3);
    }
  }
  WHEN("its instance leaves") {
    owners.SetMembers({kOthers, {}, {}}, kWasOwner, kStart);
    REQUIRE(owners.may_own());
    owners.SetMembers({kOthers, {}, {}}, {true, false, false, true}, kStart);
    CHECK_FALSE(owners.may_own());
    THEN("it is a new member when another instance comes") {
      owners.SetMembers({kOthers, {"n2"}, {}}, kUnlisted, kStart);
      owners.Update(kStart + 10 * kQuotaPartFreeAfter);
      CHECK_FALSE(owners.may_own());
      owners.SetMembers({kOthers, kOthers, {}}, kUnlisted, kStart);
      CHECK(owners.joins());
    }
  }
}

SCENARIO("the part of a member that left is free after some time") {
  QuotaOwners owners("n1");
  owners.SetMembers({kOthers, {}, {}}, kWasOwner, kStart);
  REQUIRE(owners.OwnersWithSelf(kGroup) == 3);
  owners.SetMembers({{"n2"}, {}, {}}, kWasOwner, kStart);
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
    owners.SetMembers({members, {}, {}}, kWasOwner, kStart);
    CHECK(owners.OwnersWithSelf(kGroup) == (i < 5 ? 5 : 0));
  }
}

}  // namespace
}  // namespace verbenastile
