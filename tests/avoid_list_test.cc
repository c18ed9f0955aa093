#include <catch2/catch.hpp>

#include "core/avoid_list.h"

namespace verbenastile {

TEST_CASE("an instance that refused a call because it is leaving is avoided",
          "[calls]") {
  AvoidList list;
  const Time begin = Time() + std::chrono::hours(1);
  list.Add("node-1", 7, begin);
  CHECK(list.Contains("node-1", 7, begin));
  CHECK_FALSE(list.Contains("node-2", 7, begin));
  CHECK(list.Names(begin).size() == 1);

  SECTION("also while known as an older incarnation") {
    CHECK(list.Contains("node-1", 6, begin));
  }
  SECTION("but not as a later incarnation") {
    CHECK_FALSE(list.Contains("node-1", 8, begin));
  }
  SECTION("until the entry expires") {
    const Time end = begin + AvoidList::kAvoidTime;
    CHECK(list.Contains("node-1", 7, end - Duration(1)));
    CHECK_FALSE(list.Contains("node-1", 7, end));
    CHECK(list.Names(end).empty());
    CHECK(list.empty());
  }
  SECTION("for longer after another refusal") {
    const Time later = begin + AvoidList::kAvoidTime / 2;
    list.Add("node-1", 7, later);
    CHECK(list.Contains("node-1", 7, begin + AvoidList::kAvoidTime));
  }
}

}  // namespace verbenastile
