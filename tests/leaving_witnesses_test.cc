// Guards against the acknowledgement of a leaving that ends with the process
// that gave it (rule DRAIN, review/8).
#include <catch2/catch.hpp>

#include "core/leaving_witnesses.h"

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
  LeavingWitnesses witnesses;
  witnesses.OnRecord(kRun, true, kSequence);

  GIVEN("no linked peers") {
    const MemberRegistry members = Linked({});
    CHECK_FALSE(witnesses.AreEnough(members, "self"));
    witnesses.OnKnown("gone", kSequence);
    CHECK_FALSE(witnesses.AreEnough(members, "self"));
  }
  GIVEN("one") {
    const MemberRegistry members = Linked({"a"});
    CHECK_FALSE(witnesses.AreEnough(members, "self"));
    witnesses.OnKnown("a", kSequence);
    CHECK(witnesses.AreEnough(members, "self"));
  }
  GIVEN("six") {
    const MemberRegistry members = Linked({"a", "b", "c", "d", "e", "f"});
    witnesses.OnKnown("a", kSequence);
    witnesses.OnKnown("b", kSequence);
    witnesses.OnKnown("b", kSequence);
    CHECK_FALSE(witnesses.AreEnough(members, "self"));
    witnesses.OnKnown("c", kSequence + 1);
    CHECK(witnesses.AreEnough(members, "self"));
    WHEN("the same run deregisters") {
      witnesses.OnRecord(kRun, true, kSequence + 2);
      CHECK(witnesses.AreEnough(members, "self"));
    }
    WHEN("another run leaves") {
      witnesses.OnRecord({"i-1", 2'000}, true, kSequence + 2);
      CHECK_FALSE(witnesses.AreEnough(members, "self"));
      THEN("confirmations of earlier records do not count") {
        witnesses.OnKnown("a", kSequence + 1);
        witnesses.OnKnown("b", kSequence + 1);
        witnesses.OnKnown("c", kSequence + 1);
        CHECK_FALSE(witnesses.AreEnough(members, "self"));
      }
    }
    WHEN("the instance stays after all, and leaves later") {
      witnesses.OnRecord(kRun, false, kSequence + 2);
      witnesses.OnRecord(kRun, true, kSequence + 3);
      CHECK_FALSE(witnesses.AreEnough(members, "self"));
    }
  }
}

}  // namespace
}  // namespace verbenastile
