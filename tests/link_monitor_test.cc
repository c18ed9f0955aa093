#include <catch2/catch.hpp>

#include "core/link_monitor.h"

namespace verbenastile {
namespace {

constexpr Time kStart = Time(std::chrono::seconds(100));
constexpr Duration kMs = std::chrono::milliseconds(1);

SCENARIO("the probe rate of idle links is bounded") {
  CHECK(IdleProbeDelay(9) == 1'000 * kMs);
  CHECK(IdleProbeDelay(80) == 4'000 * kMs);
  // 694 machines: 20 probes per second.
  CHECK(IdleProbeDelay(693) >= std::chrono::seconds(693) / 20);
  CHECK(PeerSilenceTimeout(80) > IdleProbeDelay(80));

  LinkMonitor watch;
  LinkMonitor::Query query{kStart, false, 80};
  CHECK(watch.Check(query, kStart + 4'000 * kMs) == LinkVerdict::kHealthy);
  CHECK(watch.Check(query, kStart + 4'001 * kMs) == LinkVerdict::kProbe);
  CHECK(watch.Check(query, kStart + 4'100 * kMs) == LinkVerdict::kHealthy);
  WHEN("the probe is answered") {
    watch.OnFrameReceived();
    query.last_heard = kStart + 4'200 * kMs;
    THEN("no new probe is due for a while") {
      CHECK(watch.Check(query, kStart + 8'000 * kMs) == LinkVerdict::kHealthy);
    }
  }
  WHEN("the probe is not answered") {
    THEN("the link is broken") {
      CHECK(watch.Check(query, kStart + 5'201 * kMs) == LinkVerdict::kHealthy);
      CHECK(watch.Check(query, kStart + 5'202 * kMs) == LinkVerdict::kBroken);
    }
    THEN("the time for which this process was paused does not count") {
      watch.OnProcessPaused(kStart + 9'000 * kMs);
      CHECK(watch.Check(query, kStart + 9'100 * kMs) == LinkVerdict::kHealthy);
      CHECK(watch.Check(query, kStart + 10'300 * kMs) == LinkVerdict::kBroken);
    }
  }
}

SCENARIO("busy and suspected links are probed after a short silence") {
  LinkMonitor watch;
  LinkMonitor::Query query{kStart, true, 80};
  const bool busy = GENERATE(true, false);
  query.busy = busy;
  if (!busy) {
    watch.OnPeerSuspected();
  }
  CHECK(watch.Check(query, kStart + 300 * kMs) == LinkVerdict::kHealthy);
  CHECK(watch.Check(query, kStart + 301 * kMs) == LinkVerdict::kProbe);
  CHECK(watch.Check(query, kStart + 1'502 * kMs) == LinkVerdict::kBroken);
}

SCENARIO("calls that may not run again outlast a silence of the peer") {
  LinkMonitor watch;
  LinkMonitor::Query query{kStart, true, 80, true};
  CHECK(watch.Check(query, kStart + 301 * kMs) == LinkVerdict::kProbe);
  CHECK(watch.Check(query, kStart + 1'502 * kMs) == LinkVerdict::kSilent);
  WHEN("the peer answers after a pause") {
    watch.OnFrameReceived();
    query.last_heard = kStart + 2'000 * kMs;
    CHECK(watch.Check(query, kStart + 2'100 * kMs) == LinkVerdict::kHealthy);
  }
  WHEN("the calls end without an answer") {
    query.has_non_idempotent = false;
    CHECK(watch.Check(query, kStart + 2'100 * kMs) == LinkVerdict::kBroken);
  }
}

SCENARIO("new calls avoid a peer that is slow to answer a probe") {
  LinkMonitor watch;
  const LinkMonitor::Query query{kStart, true, 80};
  CHECK(watch.Check(query, kStart + 301 * kMs) == LinkVerdict::kProbe);
  CHECK_FALSE(watch.IsDoubtful(kStart + 451 * kMs));
  CHECK(watch.IsDoubtful(kStart + 452 * kMs));
  WHEN("it answers") {
    watch.OnFrameReceived();
    CHECK_FALSE(watch.IsDoubtful(kStart + 600 * kMs));
  }
}

SCENARIO("a frame of the peer clears a suspicion") {
  LinkMonitor watch;
  watch.OnPeerSuspected();
  CHECK(watch.IsDoubtful(kStart));
  watch.OnFrameReceived();
  CHECK_FALSE(watch.IsDoubtful(kStart));
  CHECK(watch.Check({kStart, false, 80}, kStart + 3'000 * kMs) ==
        LinkVerdict::kHealthy);
}

SCENARIO("a new link is broken without a first frame") {
  LinkMonitor watch;
  watch.OnOpened(kStart);
  CHECK(watch.Check({kStart, false, 9}, kStart + 1'200 * kMs) ==
        LinkVerdict::kHealthy);
  CHECK(watch.Check({kStart, false, 9}, kStart + 1'201 * kMs) ==
        LinkVerdict::kBroken);
}

}  // namespace
}  // namespace verbenastile
