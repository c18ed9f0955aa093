#include <catch2/catch.hpp>

#include "core/admission.h"

namespace verbenastile {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Time kStart = Time(kSecond);

AdmissionOffer OfferOf(CallId id, std::string_view group) {
  AdmissionOffer offer;
  offer.id = id;
  offer.group = group;
  offer.deadline = kStart + 60 * kSecond;
  return offer;
}

// The calls that `actions` start, in order.
std::vector<CallId> Started(const AdmissionActions& actions) {
  std::vector<CallId> started;
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      started.push_back(start->id);
    }
  }
  return started;
}

std::vector<CallId> Refused(const AdmissionActions& actions) {
  std::vector<CallId> refused;
  for (const AdmissionAction& action : actions) {
    if (const auto* refusal = std::get_if<RefuseCall>(&action)) {
      refused.push_back(refusal->id);
    }
  }
  return refused;
}

using Ids = std::vector<CallId>;

SCENARIO("calls share an upstream's slots") {
  AdmissionLimits limits;
  limits.max_queued_of_group = 4;
  limits.max_queued = 6;
  Admission admission(1, limits);
  REQUIRE(admission.Offer(OfferOf(1, "flood"), kStart).verdict ==
          AdmissionVerdict::kAdmitted);

  GIVEN("a flood that waits when another group comes") {
    for (CallId id = 2; id <= 5; ++id) {
      REQUIRE(admission.Offer(OfferOf(id, "flood"), kStart).verdict ==
              AdmissionVerdict::kQueued);
    }
    REQUIRE(admission.Offer(OfferOf(10, "rowing"), kStart).verdict ==
            AdmissionVerdict::kQueued);
    THEN("the other group is next") {
      CHECK(Started(admission.OnEnded(1, kStart + kMillisecond)) == Ids{10});
      CHECK(admission.busy() == 1);
    }
    THEN("the flood's own queue is full, with nothing run") {
      const auto result = admission.Offer(OfferOf(6, "flood"), kStart);
      CHECK(result.refusal == AdmissionRefusal::kGroupQueueFull);
    }
    THEN("a full queue takes a place from the longest one") {
      REQUIRE(admission.Offer(OfferOf(11, "rugby"), kStart).verdict ==
              AdmissionVerdict::kQueued);
      const auto result = admission.Offer(OfferOf(12, "cubesat"), kStart);
      CHECK(result.verdict == AdmissionVerdict::kQueued);
      CHECK(Refused(result.actions) == Ids{5});
      CHECK(admission.queued() == 6);
    }
  }
  GIVEN("calls of one group with priorities") {
    AdmissionOffer low = OfferOf(2, "flood");
    low.priority = Priority::kLow;
    admission.Offer(low, kStart);
    CallId running = 1;
    THEN("a low one is passed over so often and not more") {
      std::uint32_t passed = 0;
      for (CallId id = 100; running != low.id; ++id, ++passed) {
        AdmissionOffer high = OfferOf(id, "flood");
        high.priority = Priority::kHigh;
        admission.Offer(high, kStart);
        const Ids next = Started(admission.OnEnded(running, kStart));
        REQUIRE(next.size() == 1);
        running = next[0];
      }
      CHECK(passed == limits.max_passed_over + 1);
    }
  }
  GIVEN("what the slot's calls take is known") {
    admission.OnEnded(1, kStart + 100 * kMillisecond);
    const Time now = kStart + 100 * kMillisecond;
    admission.Offer(OfferOf(2, "flood"), now);
    AdmissionOffer hurried = OfferOf(3, "flood");
    THEN("a call that would miss its deadline is refused at once") {
      hurried.deadline = now + 150 * kMillisecond;
      CHECK(admission.Offer(hurried, now).refusal ==
            AdmissionRefusal::kWouldMissDeadline);
    }
    THEN("a call whose deadline nears in the queue is refused there") {
      hurried.deadline = now + 250 * kMillisecond;
      REQUIRE(admission.Offer(hurried, now).verdict ==
              AdmissionVerdict::kQueued);
      CHECK(Refused(admission.Tick(now + 100 * kMillisecond)).empty());
      CHECK(Refused(admission.Tick(now + 200 * kMillisecond)) == Ids{3});
      CHECK(admission.queued() == 0);
    }
  }
  GIVEN("a caller that goes away") {
    admission.Offer(OfferOf(2, "flood"), kStart);
    THEN("a waiting call has not run") {
      CHECK(admission.OnCancelled(2, kStart) == CancelVerdict::kNotRun);
      CHECK(admission.queued() == 0);
    }
    THEN("a running call holds its slot until the upstream is done") {
      CHECK(admission.OnCancelled(1, kStart) == CancelVerdict::kRunning);
      CHECK(admission.busy() == 1);
      CHECK(Started(admission.OnEnded(1, kStart)) == Ids{2});
    }
  }
  GIVEN("a drain") {
    admission.Offer(OfferOf(2, "flood"), kStart);
    admission.Drain();
    THEN("new calls are refused and waiting ones still run") {
      CHECK(admission.Offer(OfferOf(3, "flood"), kStart).refusal ==
            AdmissionRefusal::kDraining);
      CHECK(Started(admission.OnEnded(1, kStart)) == Ids{2});
    }
  }
  GIVEN("more and fewer slots") {
    admission.Offer(OfferOf(2, "flood"), kStart);
    admission.Offer(OfferOf(3, "flood"), kStart);
    CHECK(Started(admission.SetSlots(2, kStart)) == Ids{2});
    CHECK(Started(admission.SetSlots(1, kStart)).empty());
    CHECK(Started(admission.OnEnded(1, kStart)).empty());
    CHECK(Started(admission.OnEnded(2, kStart)) == Ids{3});
  }
}

SCENARIO("ever new groups come and go") {
  AdmissionLimits limits;
  limits.max_idle_groups = 10;
  Admission admission(2, limits);
  // One call runs all the time, so that the upstream is never idle.
  admission.Offer(OfferOf(1, "stream"), kStart);
  for (CallId id = 2; id < 1'000; ++id) {
    const std::string group = "group-" + std::to_string(id);
    admission.Offer(OfferOf(id, group), kStart);
    admission.OnEnded(id, kStart + kMillisecond);
    admission.Tick(kStart + kMillisecond);
  }
  THEN("the memory stays bounded") {
    CHECK(admission.group_count() <= 2 * limits.max_idle_groups + 1);
    CHECK(admission.busy() == 1);
  }
}

SCENARIO("calls of one group take very different times") {
  Admission admission(1);
  Time now = kStart;
  CallId id = 0;
  for (int i = 0; i < 100; ++i) {
    admission.Offer(OfferOf(++id, "video"), now);
    now += i % 2 == 0 ? 10 * kMillisecond : 190 * kMillisecond;
    admission.OnEnded(id, now);
  }
  admission.Offer(OfferOf(++id, "video"), now);
  const CallId running = id;
  AdmissionOffer waiting = OfferOf(++id, "video");
  waiting.deadline = now + 500 * kMillisecond;
  REQUIRE(admission.Offer(waiting, now).verdict == AdmissionVerdict::kQueued);
  THEN("one that has only the mean of them left does not start") {
    now += 380 * kMillisecond;
    CHECK(Refused(admission.OnEnded(running, now)) == Ids{waiting.id});
  }
  THEN("one that has enough for most of them does") {
    now += 150 * kMillisecond;
    CHECK(Started(admission.OnEnded(running, now)) == Ids{waiting.id});
  }
}

SCENARIO("a stream that held a slot for an hour") {
  Admission admission(1);
  admission.Offer(OfferOf(1, "video"), kStart);
  const Time end = kStart + 3'600 * kSecond;
  for (Time now = kStart; now < end; now += kSecond) {
    admission.Tick(now);
  }
  const auto offer = [&](CallId id, std::string_view group) {
    AdmissionOffer later = OfferOf(id, group);
    later.deadline = end + 3'600 * kSecond;
    admission.Offer(later, end);
  };
  offer(2, "video");
  offer(3, "rowing");
  THEN("its group waits for the other, but not for an hour") {
    Time now = end;
    Ids running = Started(admission.OnEnded(1, now));
    CHECK(running == Ids{3});
    CallId next = 100;
    while (running != Ids{2}) {
      AdmissionOffer more = OfferOf(next, "rowing");
      more.deadline = end + 3'600 * kSecond;
      admission.Offer(more, now);
      ++next;
      now += 100 * kMillisecond;
      running = Started(admission.OnEnded(running.at(0), now));
    }
    CHECK(now - end <= 11 * kSecond);
  }
}

}  // namespace
}  // namespace verbenastile
