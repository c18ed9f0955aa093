#include <catch2/catch.hpp>

#include "core/member_registry.h"

namespace verbenastile {
namespace {

constexpr Time kNow = Time(std::chrono::seconds(10));

MemberRecord MakeRecord(const char* name, std::uint64_t incarnation) {
  MemberRecord record;
  record.member.name = name;
  record.member.incarnation = incarnation;
  record.member.service = "booking";
  record.member.serving = true;
  record.sequence = 1;
  return record;
}

SCENARIO("a node tracks the members of the fleet") {
  MemberRegistry registry("self");
  const auto gets_calls = [&](const char* name) {
    const Member* member = registry.directory().Find(name);
    return member != nullptr && member->state <= MemberState::kSuspect;
  };
  REQUIRE(registry.Merge(MakeRecord("peer", 5), kNow));

  THEN("a member gets calls only while a link to it is open") {
    CHECK_FALSE(gets_calls("peer"));
    registry.SetLinked("peer", true, kNow);
    CHECK(gets_calls("peer"));
    registry.SetLinked("peer", false, kNow);
    CHECK_FALSE(gets_calls("peer"));
  }
  THEN("the node itself is reachable without a link") {
    registry.Merge(MakeRecord("self", 5), kNow);
    CHECK(gets_calls("self"));
  }
  WHEN("records arrive out of order") {
    registry.SetLinked("peer", true, kNow);
    MemberRecord later = MakeRecord("peer", 5);
    later.sequence = 3;
    later.member.serving = false;
    REQUIRE(registry.Merge(later, kNow));
    THEN("an older record is ignored") {
      MemberRecord older = MakeRecord("peer", 5);
      older.sequence = 2;
      CHECK_FALSE(registry.Merge(older, kNow));
      CHECK_FALSE(gets_calls("peer"));
    }
    THEN("a record of a later incarnation replaces it") {
      CHECK(registry.Merge(MakeRecord("peer", 6), kNow));
      CHECK(gets_calls("peer"));
    }
  }
  WHEN("a member is removed") {
    THEN("it is kept if it was restarted in the meantime") {
      registry.Merge(MakeRecord("peer", 9), kNow);
      CHECK_FALSE(registry.Forget("peer", 5));
      CHECK(registry.Find("peer") != nullptr);
    }
    THEN("it is removed otherwise") {
      CHECK(registry.Forget("peer", 5));
      CHECK(registry.directory().Find("peer") == nullptr);
    }
  }
}

}  // namespace
}  // namespace verbenastile
