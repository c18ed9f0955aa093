#include <catch2/catch.hpp>

#include "core/member_book.h"

namespace verbenastile {
namespace {

constexpr Time kNow = Time(std::chrono::seconds(10));

MemberRecord RecordOf(const char* name, std::uint64_t incarnation) {
  MemberRecord record;
  record.member.name = name;
  record.member.incarnation = incarnation;
  record.member.service = "booking";
  record.member.serving = true;
  record.sequence = 1;
  return record;
}

SCENARIO("a node keeps a book of the fleet") {
  MemberBook book("self");
  const auto takes_work = [&](const char* name) {
    const Member* member = book.directory().Find(name);
    return member != nullptr && member->state <= MemberState::kSuspect;
  };
  REQUIRE(book.Merge(RecordOf("peer", 5), kNow));

  THEN("a member takes work only while a link to it is open") {
    CHECK_FALSE(takes_work("peer"));
    book.SetLinked("peer", true, kNow);
    CHECK(takes_work("peer"));
    book.SetLinked("peer", false, kNow);
    CHECK_FALSE(takes_work("peer"));
  }
  THEN("the node needs no link to itself") {
    book.Merge(RecordOf("self", 5), kNow);
    CHECK(takes_work("self"));
  }
  WHEN("news crosses on the way") {
    book.SetLinked("peer", true, kNow);
    MemberRecord later = RecordOf("peer", 5);
    later.sequence = 3;
    later.member.serving = false;
    REQUIRE(book.Merge(later, kNow));
    THEN("the older one changes nothing") {
      MemberRecord older = RecordOf("peer", 5);
      older.sequence = 2;
      CHECK_FALSE(book.Merge(older, kNow));
      CHECK_FALSE(takes_work("peer"));
    }
    THEN("a later start overrides it") {
      CHECK(book.Merge(RecordOf("peer", 6), kNow));
      CHECK(takes_work("peer"));
    }
  }
  WHEN("a member is forgotten") {
    THEN("one that has started again since is kept") {
      book.Merge(RecordOf("peer", 9), kNow);
      CHECK_FALSE(book.Forget("peer", 5));
      CHECK(book.Find("peer") != nullptr);
    }
    THEN("it is gone otherwise") {
      CHECK(book.Forget("peer", 5));
      CHECK(book.directory().Find("peer") == nullptr);
    }
  }
}

}  // namespace
}  // namespace verbenastile
