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

// IDs of the calls that `actions` start, in order.
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

using CallIds = std::vector<CallId>;

SCENARIO("admission shares the slots of an upstream between groups") {
  AdmissionLimits limits;
  limits.max_queued_per_group = 4;
  limits.max_queued = 6;
  Admission admission(1, limits);
  REQUIRE(admission.Offer(OfferOf(1, "flood"), kStart).verdict ==
          AdmissionVerdict::kAdmitted);

  GIVEN("one group with many queued calls, and a call of another group") {
    for (CallId id = 2; id <= 5; ++id) {
      REQUIRE(admission.Offer(OfferOf(id, "flood"), kStart).verdict ==
              AdmissionVerdict::kQueued);
    }
    REQUIRE(admission.Offer(OfferOf(10, "rowing"), kStart).verdict ==
            AdmissionVerdict::kQueued);
    THEN("the call of the other group is served next") {
      CHECK(Started(admission.OnEnded(1, kStart + kMillisecond)) ==
            CallIds{10});
      CHECK(admission.busy() == 1);
    }
    THEN("further calls of the first group are refused by its queue limit") {
      const auto result = admission.Offer(OfferOf(6, "flood"), kStart);
      CHECK(result.refusal == AdmissionRefusal::kGroupQueueFull);
    }
    THEN("a full queue evicts a call of the group with the longest queue") {
      REQUIRE(admission.Offer(OfferOf(11, "rugby"), kStart).verdict ==
              AdmissionVerdict::kQueued);
      const auto result = admission.Offer(OfferOf(12, "cubesat"), kStart);
      CHECK(result.verdict == AdmissionVerdict::kQueued);
      CHECK(Refused(result.actions) == CallIds{5});
      CHECK(admission.queued() == 6);
    }
  }
  GIVEN("calls of different priorities in one group") {
    AdmissionOffer low = OfferOf(2, "flood");
    low.priority = Priority::kLow;
    admission.Offer(low, kStart);
    CallId running = 1;
    THEN("a call of low priority is overtaken a bounded number of times") {
      std::uint32_t bypasses = 0;
      for (CallId id = 100; running != low.id; ++id, ++bypasses) {
        AdmissionOffer high = OfferOf(id, "flood");
        high.priority = Priority::kHigh;
        admission.Offer(high, kStart);
        const CallIds next = Started(admission.OnEnded(running, kStart));
        REQUIRE(next.size() == 1);
        running = next[0];
      }
      CHECK(bypasses == limits.max_bypasses + 1);
    }
  }
  GIVEN("a known service time") {
    admission.OnEnded(1, kStart + 100 * kMillisecond);
    const Time now = kStart + 100 * kMillisecond;
    admission.Offer(OfferOf(2, "flood"), now);
    AdmissionOffer urgent = OfferOf(3, "flood");
    THEN("a call that would miss its deadline is refused on arrival") {
      urgent.deadline = now + 150 * kMillisecond;
      CHECK(admission.Offer(urgent, now).refusal ==
            AdmissionRefusal::kWouldMissDeadline);
    }
    THEN("a queued call is refused once it can no longer meet its deadline") {
      urgent.deadline = now + 250 * kMillisecond;
      REQUIRE(admission.Offer(urgent, now).verdict ==
              AdmissionVerdict::kQueued);
      CHECK(Refused(admission.Tick(now + 100 * kMillisecond)).empty());
      CHECK(Refused(admission.Tick(now + 200 * kMillisecond)) == CallIds{3});
      CHECK(admission.queued() == 0);
    }
  }
  GIVEN("a caller that cancels") {
    admission.Offer(OfferOf(2, "flood"), kStart);
    THEN("a queued call is reported as not run") {
      CHECK(admission.OnCancelled(2, kStart) == CancelVerdict::kNotRun);
      CHECK(admission.queued() == 0);
    }
    THEN("a running call holds its slot until the upstream has finished it") {
      CHECK(admission.OnCancelled(1, kStart) == CancelVerdict::kRunning);
      CHECK(admission.busy() == 1);
      CHECK(Started(admission.OnEnded(1, kStart)) == CallIds{2});
    }
  }
  GIVEN("a draining node") {
    admission.Offer(OfferOf(2, "flood"), kStart);
    admission.Drain();
    THEN("new calls are refused and queued ones still run") {
      CHECK(admission.Offer(OfferOf(3, "flood"), kStart).refusal ==
            AdmissionRefusal::kDraining);
      CHECK(Started(admission.OnEnded(1, kStart)) == CallIds{2});
    }
  }
  GIVEN("a slot count that rises and falls") {
    admission.Offer(OfferOf(2, "flood"), kStart);
    admission.Offer(OfferOf(3, "flood"), kStart);
    CHECK(Started(admission.SetSlots(2, kStart)) == CallIds{2});
    CHECK(Started(admission.SetSlots(1, kStart)).empty());
    CHECK(Started(admission.OnEnded(1, kStart)).empty());
    CHECK(Started(admission.OnEnded(2, kStart)) == CallIds{3});
  }
}

SCENARIO("queued calls that cannot end in time are refused while that helps") {
  Admission admission(1);
  Time now = kStart;
  const auto offer = [&](CallId id, std::string_view call_class,
                         Duration time) {
    AdmissionOffer call = OfferOf(id, "travel");
    call.call_class = call_class;
    call.deadline = now + time;
    return admission.Offer(call, now).verdict;
  };
  GIVEN("a call that needs longer than one that is due before it") {
    offer(1, "page", kSecond);
    now += 20 * kMillisecond;
    admission.OnEnded(1, now);
    offer(2, "film", kSecond);
    now += 300 * kMillisecond;
    admission.OnEnded(2, now);
    offer(3, "stream", 60 * kSecond);
    REQUIRE(offer(4, "page", 900 * kMillisecond) == AdmissionVerdict::kQueued);
    REQUIRE(offer(5, "film", kSecond) == AdmissionVerdict::kQueued);
    THEN("it is refused first, once it has too little time left") {
      CHECK(Refused(admission.Tick(now + 650 * kMillisecond)).empty());
      CHECK(Refused(admission.Tick(now + 710 * kMillisecond)) == CallIds{5});
    }
  }
  GIVEN("a queued call of which only the deadline is known") {
    offer(1, "stream", 60 * kSecond);
    REQUIRE(offer(2, "page", kSecond) == AdmissionVerdict::kQueued);
    THEN("its refusal still reaches the caller's node before the deadline") {
      CHECK(Refused(admission.Tick(now + 930 * kMillisecond)).empty());
      CHECK(Refused(admission.Tick(now + 945 * kMillisecond)) == CallIds{2});
    }
  }
}

SCENARIO("a large number of short-lived groups") {
  AdmissionLimits limits;
  limits.max_idle_groups = 10;
  Admission admission(2, limits);
  // A long-running call keeps the upstream busy, so that no busy period ends.
  admission.Offer(OfferOf(1, "stream"), kStart);
  for (CallId id = 2; id < 1'000; ++id) {
    const std::string group = "group-" + std::to_string(id);
    admission.Offer(OfferOf(id, group), kStart);
    admission.OnEnded(id, kStart + kMillisecond);
    admission.Tick(kStart + kMillisecond);
  }
  THEN("the number of tracked groups stays bounded") {
    CHECK(admission.group_count() <= 2 * limits.max_idle_groups + 1);
    CHECK(admission.busy() == 1);
  }
}

SCENARIO("service times with a high variance within one group") {
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
  THEN("a call with only the mean service time left is refused") {
    now += 380 * kMillisecond;
    CHECK(Refused(admission.OnEnded(running, now)) == CallIds{waiting.id});
  }
  THEN("a call with time for most service times starts") {
    now += 150 * kMillisecond;
    CHECK(Started(admission.OnEnded(running, now)) == CallIds{waiting.id});
  }
}

SCENARIO("the debt of a group after a stream of one hour") {
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
  THEN("its group waits for the other one, for about `max_debt`") {
    Time now = end;
    CallIds running = Started(admission.OnEnded(1, now));
    CHECK(running == CallIds{3});
    CallId next = 100;
    while (running != CallIds{2}) {
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
