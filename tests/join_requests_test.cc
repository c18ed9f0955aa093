// Requests of members without a link to be counted as owners of quotas.
#include "core/join_requests.h"

#include <catch2/catch.hpp>

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));

MemberRecord Record(std::uint64_t incarnation, std::uint64_t sequence) {
  MemberRecord record;
  record.member.name = "n2";
  record.member.incarnation = incarnation;
  record.sequence = sequence;
  return record;
}

MemberRecord Asking(std::uint64_t incarnation,
                    std::uint64_t sequence,
                    std::uint64_t first) {
  MemberRecord record = Record(incarnation, sequence);
  record.asked_since["n1"] = first;
  record.asked_since["n3"] = 1;
  return record;
}

SCENARIO("a member that asks is counted and told so") {
  JoinRequests requests("n1");
  CHECK_FALSE(requests.OnRecord(Record(7, 1), true, kStart));
  CHECK_FALSE(requests.OnRecord(Asking(7, 2, 2), false, kStart));
  CHECK(requests.members().empty());
  REQUIRE(requests.OnRecord(Asking(7, 3, 3), true, kStart));
  CHECK(requests.members().contains("n2"));
  CHECK(requests.Confirmed().at("n2") == RecordVersion{7, 3});
  THEN("later records that ask are confirmed already") {
    CHECK_FALSE(requests.OnRecord(Asking(7, 5, 3), true, kStart));
  }
  THEN("a record that asks anew, or of another process, is confirmed again") {
    CHECK(requests.OnRecord(Asking(7, 9, 8), true, kStart));
    CHECK(requests.Confirmed().at("n2") == RecordVersion{7, 8});
    CHECK(requests.OnRecord(Asking(9, 3, 3), true, kStart));
    CHECK(requests.Confirmed().at("n2") == RecordVersion{9, 3});
  }
  // Guards against an owner that is counted no more, since a list was older
  // than the record that asked.
  THEN("an earlier record changes nothing") {
    CHECK_FALSE(requests.OnRecord(Record(7, 2), true, kStart));
    CHECK_FALSE(requests.OnRecord(Record(6, 9), true, kStart));
    CHECK(requests.members().contains("n2"));
  }
  THEN("it is confirmed while others have to wait") {
    CHECK(requests.OnRecord(Asking(7, 9, 8), false, kStart));
    CHECK(requests.Confirmed().at("n2") == RecordVersion{7, 8});
  }
  THEN("one that asks no more is dropped") {
    CHECK(requests.OnRecord(Record(7, 4), true, kStart));
    CHECK(requests.members().empty());
  }
  THEN("one that no list shows is dropped after a long time") {
    CHECK_FALSE(requests.OnListed(kStart + std::chrono::seconds(59)));
    CHECK(requests.OnListed(kStart + std::chrono::seconds(60)));
    CHECK(requests.Confirmed().empty());
  }
}

}  // namespace
}  // namespace verbenastile
