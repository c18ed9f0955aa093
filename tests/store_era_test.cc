#include <catch2/catch.hpp>

#include "core/store_era.h"

namespace verbenastile {
namespace {

SCENARIO("eras of the store are told apart") {
  StoreEraTracker tracker;
  GIVEN("a store that does not report its era") {
    CHECK(tracker.OnResponse(0) == EraVerdict::kCurrent);
    CHECK(tracker.current() == 0);
  }
  GIVEN("the first response") {
    CHECK(tracker.OnResponse(4) == EraVerdict::kCurrent);
    CHECK(tracker.current() == 4);
    WHEN("the era rises") {
      CHECK(tracker.OnResponse(5) == EraVerdict::kRestored);
      CHECK(tracker.OnResponse(5) == EraVerdict::kCurrent);
      THEN("a late response of the era before is outdated") {
        CHECK(tracker.OnResponse(4) == EraVerdict::kOutdated);
        CHECK(tracker.current() == 5);
      }
    }
    WHEN("a peer reports a newer era") {
      CHECK(tracker.OnPeerReport(6));
      CHECK_FALSE(tracker.OnPeerReport(6));
      THEN("responses of the store are not judged by it") {
        CHECK(tracker.OnResponse(4) == EraVerdict::kCurrent);
        CHECK(tracker.OnResponse(6) == EraVerdict::kRestored);
      }
    }
    WHEN("a peer reports an older era") {
      CHECK_FALSE(tracker.OnPeerReport(3));
    }
  }
  GIVEN("a node that has not reached the store yet") {
    CHECK_FALSE(tracker.OnPeerReport(5));
  }
}

}  // namespace
}  // namespace verbenastile
