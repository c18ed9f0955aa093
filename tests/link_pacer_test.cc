#include <catch2/catch.hpp>

#include "core/link_pacer.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);

// 10 Mbit/s, a common link of small machines.
LinkPacerOptions SmallLink() {
  LinkPacerOptions init;
  init.link_bytes_per_second = 1'250'000;
  return init;
}

SCENARIO("large responses leave bandwidth for small frames") {
  LinkPacer pacer(SmallLink(), kStart);

  GIVEN("large responses that saturate the link for a second") {
    std::size_t sent = 0;
    Time now = kStart;
    while (now < kStart + 1'000 * kMs) {
      const std::size_t piece = pacer.Acquire(90'000, now);
      CHECK(piece <= 8'192);  // A small frame queues for at most 7 ms.
      sent += piece;
      now += std::max(pacer.TimeUntilBurst(now), kMs);
    }
    THEN("nine tenths of the bandwidth are used") {
      CHECK(sent > 1'100'000);
      CHECK(sent < 1'150'000);
    }
  }
  GIVEN("small frames that use part of the bandwidth for some seconds") {
    CHECK(pacer.AvailableBytesPerSecond(kStart) == 1'125'000);
    for (int i = 1; i <= 4'000; ++i) {
      pacer.OnUnpacedSent(200, kStart + i * kMs);  // 200 KB a second.
    }
    THEN("the available bandwidth excludes that part until the frames stop") {
      const auto left = pacer.AvailableBytesPerSecond(kStart + 4'000 * kMs);
      CHECK(left > 915'000);
      CHECK(left < 945'000);
      CHECK(pacer.AvailableBytesPerSecond(kStart + 20'000 * kMs) > 1'124'000);
    }
  }
  GIVEN("small frames that are sent without asking") {
    REQUIRE(pacer.Acquire(8'192, kStart) == 8'192);
    pacer.OnUnpacedSent(11'250, kStart);  // 10 ms of the paced bandwidth.
    THEN("large responses wait for them") {
      CHECK(pacer.Acquire(90'000, kStart + 9 * kMs) == 0);
      CHECK(pacer.Acquire(90'000, kStart + 12 * kMs) > 0);
    }
  }
  GIVEN("a long pause") {
    THEN("the burst is bounded") {
      CHECK(pacer.Acquire(1'000'000, kStart + 60'000 * kMs) == 8'192);
    }
  }
  GIVEN("a burst that was sent") {
    REQUIRE(pacer.Acquire(8'192, kStart) == 8'192);
    THEN("the next one is due at nine tenths of the bandwidth") {
      CHECK(pacer.TimeUntilBurst(kStart) == Duration(7'281));
    }
  }
}

SCENARIO("a fast link is hardly paced") {
  LinkPacer pacer({}, kStart);
  CHECK(pacer.Acquire(200'000, kStart) == 200'000);
}

}  // namespace
}  // namespace verbenastile
