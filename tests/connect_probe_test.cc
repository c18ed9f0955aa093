#include "io/connect_probe.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>

#include "net_support.h"

namespace verbenastile {
namespace {

SCENARIO("a probe tells whether anything listens at an address") {
  RawListener listener;
  LoopThread loop;
  auto probe = std::make_unique<ConnectProbe>(loop.io);
  std::promise<ConnectResult> result;
  const auto start = [&] {
    loop.Call([&] {
      probe->Start(listener.address(), std::chrono::seconds(5),
                   [&](ConnectResult found) { result.set_value(found); });
      return 0;
    });
  };

  WHEN("something does") {
    start();
    CHECK(result.get_future().get() == ConnectResult::kAccepted);
    CHECK_FALSE(loop.Call([&] { return probe->active(); }));
  }
  WHEN("nothing does") {
    listener.Close();
    start();
    CHECK(result.get_future().get() == ConnectResult::kRefused);
  }
  WHEN("it is destroyed while the connection is made") {
    loop.Call([&] {
      probe->Start(listener.address(), std::chrono::seconds(5),
                   [](ConnectResult) { FAIL("a destroyed probe ended"); });
      probe.reset();
      return 0;
    });
    THEN("nothing runs any more") {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      CHECK(loop.Call([] { return true; }));
    }
  }
  loop.Call([&] {
    probe.reset();
    return 0;
  });
}

}  // namespace
}  // namespace verbenastile
