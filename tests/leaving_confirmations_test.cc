// Guards against the acknowledgement of a leaving that ends with the process
// that gave it (rule DRAIN, review/8).
#include <catch2/catch.hpp>

#include "core/leaving_confirmations.h"

namespace verbenastile {
namespace {

constexpr std::uint64_t kSequence = 5;
const InstanceRun kRun = {"i-1", 1'000};

MemberRegistry Linked(std::initializer_list<const char*> peers) {
  MemberRegistry members("self");
  for (const char* name : peers) {
    MemberRecord record;
    record.member.name = name;
    members.Merge(record, Time());
    members.SetLinked(name, true, Time());
  }
  return members;
}

SCENARIO("a leaving is known once enough peers have confirmed it") {
  LeavingConfirmations confirmations;
  confirmations.OnRecord(kRun, true, kSequence);

  GIVEN("no linked peers") {
    const MemberRegistry members = Linked({});
    CHECK_FALSE(confirmations.AreEnough(members, "self"));
    confirmations.OnKnown("gone", kSequence);
    CHECK_FALSE(confirmations.AreEnough(members, "self"));
  }
  GIVEN("one") {
    const MemberRegistry members = Linked({"a"});
    CHECK_FALSE(confirmations.AreEnough(members, "self"));
    confirmations.OnKnown("a", kSequence);
    CHECK(confirmations.AreEnough(members, "self"));
  }
  GIVEN("six") {
    const MemberRegistry members = Linked({"a", "b", "c", "d", "e", "f"});
    confirmations.OnKnown("a", kSequence);
    confirmations.OnKnown("b", kSequence);
    confirmations.OnKnown("b", kSequence);
    CHECK_FALSE(confirmations.AreEnough(members, "self"));
    confirmations.OnKnown("c", kSequence + 1);
    CHECK(confirmations.AreEnough(members, "self"));
    WHEN("the same run deregisters") {
      confirmations.OnRecord(kRun, true, kSequence + 2);
      CHECK(confirmations.AreEnough(members, "self"));
    }
    WHEN("another run leaves") {
      confirmations.OnRecord({"i-1", 2'000}, true, kSequence + 2);
      CHECK_FALSE(confirmations.AreEnough(members, "self"));
      THEN("confirmations of earlier records do not count") {
        confirmations.OnKnown("a", kSequence + 1);
        confirmations.OnKnown("b", kSequence + 1);
        confirmations.OnKnown("c", kSequence + 1);
        CHECK_FALSE(confirmations.AreEnough(members, "self"));
      }
    }
    WHEN("the instance stays after all, and leaves later") {
      confirmations.OnRecord(kRun, false, kSequence + 2);
      confirmations.OnRecord(kRun, true, kSequence + 3);
      CHECK_FALSE(confirmations.AreEnough(members, "self"));
    }
  }
}

}  // namespace
}  // namespace verbenastile
