// Tests of the rate limit that an instance names in its responses: how it is
// read, believed, kept at the instance and taken into account by other nodes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "core/admission.h"
#include "core/balancer.h"
#include "core/instance_rate_limit.h"
#include "core/peer_notices.h"
#include "core/rate_limiter.h"
#include "mesh/response_notice.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kWindow = 4 * kSecond;
constexpr Time kStart = Time(100 * kSecond);

// The platform's bound on the calls in a window.
std::size_t MaxCallsInWindow(double rate) {
  return static_cast<std::size_t>(1.5 * rate * 4 + 5);
}

std::size_t MostInWindow(const std::vector<Time>& starts) {
  std::size_t most = 0;
  for (auto first = starts.begin(); first != starts.end(); ++first) {
    const auto after = std::upper_bound(first, starts.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(after - first));
  }
  return most;
}

SCENARIO("a rate limiter spaces calls") {
  const double rate = GENERATE(0.2, 1.0, 8.5, 20.3, 400.0);
  RateLimiter limiter;
  std::vector<Time> starts;
  const auto start_all_allowed = [&](Time now) {
    while (limiter.Wait(now) == Duration::zero()) {
      limiter.OnStarted(now);
      starts.push_back(now);
    }
  };
  limiter.SetRate(rate, kStart);

  GIVEN("calls that always wait") {
    for (Time now = kStart; now < kStart + 40 * kSecond; now += kMs) {
      start_all_allowed(now);
    }
    CHECK(MostInWindow(starts) <= MaxCallsInWindow(rate));
    CHECK(static_cast<double>(starts.size()) >= 0.9 * rate * 40 - 1);
  }
  GIVEN("a pause, and then many calls") {
    start_all_allowed(kStart + 60 * kSecond);
    CHECK(static_cast<double>(starts.size()) <= rate / 4 + 1);
  }
  GIVEN("a rate that changes all the time") {
    for (Time now = kStart; now < kStart + 40 * kSecond; now += kMs) {
      limiter.SetRate(now.time_since_epoch() / kMs % 2 == 0 ? rate : rate * 0.9,
                      now);
      start_all_allowed(now);
    }
    CHECK(MostInWindow(starts) <= MaxCallsInWindow(rate));
  }
}

SCENARIO("a rate limiter lets a call through now and then at a rate of 0") {
  RateLimiter limiter;
  limiter.SetRate(0, kStart);
  CHECK(limiter.Wait(kStart) == 5 * kSecond);
  limiter.SetRate(std::nullopt, kStart);
  CHECK(limiter.Wait(kStart) == Duration::zero());
}

SCENARIO("the rate limit of a response is parsed") {
  CallHeaderNames names;
  names.rate_limit = "X-Rate-Limit";
  names.signature = "X-Signature";
  const auto parse = [&](const HttpHeaders& headers) {
    return ParseResponseNotice(headers, names).rate_limit;
  };
  GIVEN("decimal numbers") {
    const auto [text, rate] =
        GENERATE(table<const char*, double>({{"8.5", 8.5},
                                             {" 20 ", 20},
                                             {"0", 0},
                                             {"1000000000000000000000", 1e21},
                                             {"20, 7.5", 7.5}}));
    const auto notice = parse({{"x-rate-limit", text}});
    CHECK(std::get<NamedRateLimit>(notice).calls_per_second == rate);
  }
  GIVEN("values that are no decimal numbers") {
    const char* text = GENERATE("", "-3", "+3", "nan", "inf", "1e3", "0x10",
                                "5 a second", "7,", "1.2.3");
    CHECK(std::holds_alternative<InvalidRateLimit>(
        parse({{"X-Rate-Limit", text}})));
  }
  GIVEN("two headers") {
    const auto notice = parse({{"X-Rate-Limit", "9"}, {"X-Rate-Limit", "4"}});
    CHECK(std::get<NamedRateLimit>(notice).calls_per_second == 4);
    CHECK(std::holds_alternative<InvalidRateLimit>(
        parse({{"X-Rate-Limit", "nan"}, {"X-Rate-Limit", "4"}})));
  }
  GIVEN("no such header") {
    CHECK(std::holds_alternative<NoRateLimit>(parse({{"X-Signature", "s"}})));
  }
}

SCENARIO("a response tells whether the instance leaves") {
  CallHeaderNames names;
  names.leaving = "X-Leaving";
  const auto leaves = [&](const char* value) {
    const HttpHeaders headers = {{"x-leaving", value}};
    return ParseResponseNotice(headers, names).leaving;
  };
  CHECK(leaves("1"));
  CHECK(leaves(" 1 "));
  const char* other = GENERATE("", "0", "yes", "11");
  CHECK_FALSE(leaves(other));
}

SCENARIO("a node believes the rate limit that its instance names") {
  InstanceRateLimit limit;
  limit.OnInstance({"i-1"});
  const auto named = [](RateLimitNotice rate_limit) {
    return ResponseNotice{std::move(rate_limit), false, true, true};
  };
  const ResponseNotice five = named(NamedRateLimit{5});
  const ResponseNotice none = named(NoRateLimit{});
  CHECK_FALSE(limit.has_named_limit());
  REQUIRE(limit.OnResponse("i-1", five, kStart, kStart + 50 * kMs));
  REQUIRE(limit.calls_per_second() == 5);

  WHEN("a response to an earlier call, which names none, arrives later") {
    CHECK_FALSE(limit.OnResponse("i-1", none, kStart, kStart + 60 * kMs));
    CHECK(limit.calls_per_second() == 5);
  }
  WHEN("a response to a later call names none") {
    CHECK(limit.OnResponse("i-1", none, kStart + 70 * kMs, kStart + 90 * kMs));
    THEN("the limit has ended, which peers have to hear") {
      CHECK_FALSE(limit.calls_per_second().has_value());
      CHECK(limit.has_named_limit());
    }
  }
  WHEN("a response without a signature names none") {
    const ResponseNotice unsigned_none{NoRateLimit{}, false, false, true};
    CHECK_FALSE(limit.OnResponse("i-1", unsigned_none, kStart + 70 * kMs,
                                 kStart + 90 * kMs));
  }
  WHEN("a failure of the instance names none") {
    const ResponseNotice failure{NoRateLimit{}, false, true, false};
    CHECK_FALSE(
        limit.OnResponse("i-1", failure, kStart + 70 * kMs, kStart + 90 * kMs));
    CHECK(limit.calls_per_second() == 5);
  }
  WHEN("a later response has a limit that cannot be parsed") {
    const ResponseNotice invalid = named(InvalidRateLimit{"nan"});
    CHECK_FALSE(
        limit.OnResponse("i-1", invalid, kStart + 70 * kMs, kStart + 90 * kMs));
    CHECK(limit.calls_per_second() == 5);
  }
  WHEN("responses to concurrent calls name different limits") {
    const ResponseNotice nine = named(NamedRateLimit{9});
    CHECK_FALSE(limit.OnResponse("i-1", nine, kStart, kStart + 60 * kMs));
    THEN("the lower one applies, until a later call names the higher one") {
      CHECK(limit.calls_per_second() == 5);
      CHECK(
          limit.OnResponse("i-1", nine, kStart + 55 * kMs, kStart + 80 * kMs));
    }
  }
  WHEN("another instance runs at the address") {
    limit.OnInstance({"i-2"});
    THEN("it inherits nothing, and late responses do not count for it") {
      CHECK_FALSE(limit.calls_per_second().has_value());
      CHECK_FALSE(limit.OnResponse("i-1", five, kStart, kStart + 90 * kMs));
      CHECK_FALSE(limit.has_named_limit());
    }
  }
}

SCENARIO("a restarted node hears the rate limit from peers") {
  InstanceRateLimit limit;
  CHECK_FALSE(limit.OnPeerNotice({"", 3.0}));
  limit.OnInstance({"i-1"});
  CHECK_FALSE(limit.OnPeerNotice({"i-0", 3.0}));
  REQUIRE(limit.OnPeerNotice({"i-1", 8.0}));
  CHECK(limit.OnPeerNotice({"i-1", 5.0}));
  CHECK_FALSE(limit.OnPeerNotice({"i-1", 6.0}));
  CHECK(limit.calls_per_second() == 5);
  WHEN("the instance itself has responded") {
    CHECK(limit.OnResponse("i-1", {NoRateLimit{}, false, true, true}, kStart,
                           kStart));
    THEN("peers no longer count") {
      CHECK_FALSE(limit.OnPeerNotice({"i-1", 5.0}));
      CHECK_FALSE(limit.calls_per_second().has_value());
    }
  }
}

// Guards against a limit that is dropped since peers return it before the
// instance has reported.
SCENARIO("a limit that peers return early is kept until the instance reports") {
  InstanceRateLimit limit;
  CHECK_FALSE(limit.OnPeerNotice({"i-1", 8.0}));
  CHECK_FALSE(limit.OnPeerNotice({"i-1", 5.0}));
  CHECK_FALSE(limit.OnPeerNotice({"i-2", 3.0}));
  CHECK_FALSE(limit.calls_per_second());
  limit.OnInstance({"i-1"});
  CHECK(limit.calls_per_second() == 5);
  limit.OnInstance({"i-2"});
  CHECK_FALSE(limit.calls_per_second());
}

// Guards against a limit of an earlier run that is kept by the instance's id.
SCENARIO("a limit is of one run of an instance") {
  InstanceRateLimit limit;
  const InstanceNotice earlier{"i-1", 5.0, false, 1'000};
  GIVEN("an earlier run that peers tell of") {
    WHEN("they tell it before the later run reports") {
      limit.OnPeerNotice(earlier);
      limit.OnInstance({"i-1", 2'000});
      CHECK_FALSE(limit.calls_per_second());
    }
    WHEN("they tell it afterwards") {
      limit.OnInstance({"i-1", 2'000});
      CHECK_FALSE(limit.OnPeerNotice(earlier));
      CHECK_FALSE(limit.calls_per_second());
    }
    WHEN("they tell of both runs") {
      limit.OnPeerNotice({"i-1", 8.0, false, 2'000});
      limit.OnPeerNotice(earlier);
      limit.OnInstance({"i-1", 2'000});
      CHECK(limit.calls_per_second() == 8);
    }
  }
  GIVEN("a run that has named a limit") {
    limit.OnInstance({"i-1", 1'000});
    REQUIRE(limit.OnPeerNotice(earlier));
    WHEN("a later run starts under its id") {
      limit.OnInstance({"i-1", 2'000});
      CHECK_FALSE(limit.calls_per_second());
    }
    WHEN("its start time is not reported once") {
      limit.OnInstance({"i-1", 0});
      CHECK(limit.calls_per_second() == 5);
    }
  }
}

// Guards against an instance that is shut out because it left in an earlier
// run, or changed its mind.
SCENARIO("a leaving that peers return is of one run") {
  PeerNotices notices;
  notices.OnNotice("node-1", {"i-1", std::nullopt, true, 1'000}, kStart);
  const InstanceNotice leaving{"i-1", std::nullopt, true, 1'000};
  CHECK(notices.Find("node-1", "i-1") == leaving);
  WHEN("a notice of the same run does not say so") {
    notices.OnNotice("node-1", {"i-1", 5.0, false, 1'000}, kStart);
    CHECK(notices.Find("node-1", "i-1")->leaving);
  }
  WHEN("a later run names a limit") {
    notices.OnNotice("node-1", {"i-1", 5.0, false, 2'000}, kStart);
    CHECK_FALSE(notices.Find("node-1", "i-1")->leaving);
  }
  WHEN("one whose start time is not known left") {
    notices.OnNotice("node-1", {"i-2", std::nullopt, true}, kStart);
    notices.OnNotice("node-1", {"i-2", 5.0, false, 2'000}, kStart);
    THEN("a notice that names one does not say that it stays") {
      CHECK(notices.Find("node-1", "i-2")->leaving);
    }
  }
  WHEN("its process said that it stays") {
    notices.OnStays("node-1", "i-1");
    CHECK_FALSE(notices.Find("node-1", "i-1"));
  }
}

SCENARIO("peers return what they have heard about an instance") {
  PeerNotices notices;
  notices.OnNotice("node-1", {"i-1", 5.0}, kStart);
  CHECK(notices.Find("node-1", "i-1") == InstanceNotice{"i-1", 5.0});
  CHECK(notices.Find("node-1", "") == InstanceNotice{"i-1", 5.0});
  CHECK_FALSE(notices.Find("node-1", "i-2").has_value());
  CHECK_FALSE(notices.Find("node-2", "i-1").has_value());
  WHEN("the limit has ended") {
    notices.OnNotice("node-1", {"i-1", std::nullopt}, kStart);
    CHECK(notices.size() == 0);
  }
  WHEN("the instance leaves") {
    notices.OnNotice("node-1", {"i-1", std::nullopt, true}, kStart);
    THEN("that is kept until the member has another instance") {
      notices.OnNotice("node-1", {"i-1", std::nullopt}, kStart);
      CHECK(notices.Find("node-1", "i-1")->leaving);
      notices.OnNotice("node-1", {"i-2", std::nullopt}, kStart);
      CHECK(notices.size() == 0);
    }
  }
  WHEN("there are more members than are kept") {
    for (std::size_t i = 0; i < PeerNotices::kMaxMembers; ++i) {
      notices.OnNotice("other-" + std::to_string(i), {"i", 1.0},
                       kStart + kSecond);
    }
    THEN("the one heard from the longest ago is forgotten") {
      CHECK(notices.size() == PeerNotices::kMaxMembers);
      CHECK_FALSE(notices.Find("node-1", "i-1").has_value());
    }
  }
}

SCENARIO("admission keeps a rate limit below the capacity of the slots") {
  Admission admission(9);
  admission.SetRateLimit(10, kStart);
  CallId last_id = 0;
  const auto offer = [&](Priority priority, Duration due, Time now) {
    AdmissionOffer call;
    call.id = ++last_id;
    call.priority = priority;
    call.deadline = now + due;
    return admission.Offer(call, now);
  };
  Time now = kStart + kSecond;  // Calls were saved up for a short burst only.
  int admitted = 0;
  while (offer(Priority::kNormal, kSecond, now).verdict ==
         AdmissionVerdict::kAdmitted) {
    ++admitted;
  }
  CHECK(admitted == 3);
  CHECK_FALSE(admission.CanStartNow(now));
  CHECK(admission.RateLimitDelay(now) > Duration::zero());

  GIVEN("queued calls of two priorities") {
    offer(Priority::kHigh, kSecond, now);
    THEN("the more urgent one starts first, as soon as the limit allows it") {
      CHECK(admission.Tick(now).empty());
      now += 100 * kMs;
      const AdmissionActions actions = admission.Tick(now);
      REQUIRE(actions.size() == 1);
      CHECK(std::get<StartCall>(actions[0]).id == last_id);
    }
  }
  GIVEN("a call that the limit would start after its deadline") {
    const AdmissionResult result = offer(Priority::kNormal, 150 * kMs, now);
    THEN("it is refused at once, with the time until it could start") {
      CHECK(result.verdict == AdmissionVerdict::kRefused);
      CHECK(result.retry_after >= 100 * kMs);
      CHECK(result.retry_after <= 300 * kMs);
    }
  }
  GIVEN("a limit that ends") {
    admission.SetRateLimit(std::nullopt, now);
    CHECK(admission.Tick(now).size() == 1);
    CHECK(admission.CanStartNow(now));
  }
}

// Guards against nodes that each send an instance its whole rate limit.
SCENARIO("nodes spread the calls beyond an instance's rate limit") {
  constexpr int kNodes = 5;
  constexpr double kRate = 10;
  const StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("upstream_health"); });
  MemberDirectory directory;
  for (int i = 0; i < kNodes; ++i) {
    Member member;
    member.name = "node-" + std::to_string(i);
    member.incarnation = 1;
    member.failure_domain = "near";
    member.region = "north";
    member.service = "booking";
    member.slots = 9;
    directory.Put(member);
  }
  Balancer balancer({&chart, "near", "north", {}, "node-0"});
  Time now = kStart;
  balancer.Sync(directory, now);
  now += 60 * kSecond;
  const UpstreamHandle limited = balancer.HandleOf("node-1");
  const auto report = [&](std::optional<double> rate) {
    balancer.OnLoadReport(limited, {0, 0, {}, {}, rate}, now);
  };
  std::mt19937_64 random{1};
  // Of 1,000 calls in 10 s, how many go to the limited instance.
  const auto count_limited = [&] {
    int count = 0;
    for (int i = 0; i < 1'000; ++i) {
      now += 10 * kMs;
      ChooseQuery query;
      query.service = "booking";
      query.remote_cost = Duration::zero();
      query.service_time = 100 * kMs;
      query.objective = 300 * kMs;
      const UpstreamHandle chosen = balancer.Choose(query, now, random);
      balancer.OnStarted(chosen, now);
      balancer.OnEnded(chosen, AttemptOutcome::kAnswered, 100 * kMs, now);
      count += chosen == limited ? 1 : 0;
    }
    return count;
  };

  GIVEN("an instance with a rate limit") {
    report(kRate);
    const int count = count_limited();
    CHECK(count <= 10 * kRate / kNodes + 1);
    CHECK(count >= 10 * kRate / kNodes / 2);
    WHEN("the limit has ended") {
      report(std::nullopt);
      CHECK(count_limited() >= 100);
    }
  }
  GIVEN("a report that the limit delays calls") {
    balancer.OnLoadReport(limited, {0, 0, {}, 20 * kSecond, kRate}, now);
    CHECK(count_limited() == 0);
  }
}

}  // namespace
}  // namespace verbenastile
