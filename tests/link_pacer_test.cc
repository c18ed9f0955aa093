#include <catch2/catch.hpp>

#include "core/link_pacer.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);

// 10 Mbit/s, as small machines have.
LinkPacerInit SmallLink() {
  LinkPacerInit init;
  init.link_bytes_per_second = 1'250'000;
  return init;
}

SCENARIO("large answers leave a link free for small frames") {
  LinkPacer pacer(SmallLink(), kStart);

  GIVEN("films that fill the link for a second") {
    std::size_t sent = 0;
    Time now = kStart;
    while (now < kStart + 1'000 * kMs) {
      const std::size_t piece = pacer.Take(90'000, now);
      CHECK(piece <= 8'192);  // What a small frame finds before it: 7 ms.
      sent += piece;
      now += std::max(pacer.UntilNext(now), kMs);
    }
    THEN("nine tenths of the link are used") {
      CHECK(sent > 1'100'000);
      CHECK(sent < 1'150'000);
    }
  }
  GIVEN("small frames that take a part of the link for some seconds") {
    CHECK(pacer.BytesPerSecondLeft(kStart) == 1'125'000);
    for (int i = 1; i <= 4'000; ++i) {
      pacer.OnSent(200, kStart + i * kMs);  // 200 KB a second.
    }
    THEN("forecasts for films leave it out, until the frames cease") {
      const auto left = pacer.BytesPerSecondLeft(kStart + 4'000 * kMs);
      CHECK(left > 915'000);
      CHECK(left < 945'000);
      CHECK(pacer.BytesPerSecondLeft(kStart + 20'000 * kMs) > 1'124'000);
    }
  }
  GIVEN("small frames that leave without asking") {
    REQUIRE(pacer.Take(8'192, kStart) == 8'192);
    pacer.OnSent(11'250, kStart);  // 10 ms of the link's part.
    THEN("films wait for them") {
      CHECK(pacer.Take(90'000, kStart + 9 * kMs) == 0);
      CHECK(pacer.Take(90'000, kStart + 12 * kMs) > 0);
    }
  }
  GIVEN("a long pause") {
    THEN("what it earned is bounded") {
      CHECK(pacer.Take(1'000'000, kStart + 60'000 * kMs) == 8'192);
    }
  }
  GIVEN("a burst that has left") {
    REQUIRE(pacer.Take(8'192, kStart) == 8'192);
    THEN("the next may leave at nine tenths of the link's pace") {
      CHECK(pacer.UntilNext(kStart) == Duration(7'281));
    }
  }
}

SCENARIO("a wide link is hardly paced") {
  LinkPacer pacer({}, kStart);
  CHECK(pacer.Take(200'000, kStart) == 200'000);
}

}  // namespace
}  // namespace verbenastile
