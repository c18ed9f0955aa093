// Tests the inbound proxy against an instance that is simulated on a raw
// socket, so that the bytes on the connection are checked.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "core/request_digest.h"
#include "inbound_proxy_fixture.h"

namespace verbenastile {
namespace {

SCENARIO("the inbound proxy forwards calls to the instance") {
  InboundProxyFixture fixture;

  GIVEN("a call") {
    const auto replies = fixture.Start(true);
    RawConnection instance = fixture.listener.Accept();
    const std::string request = instance.ReadRequest();
    THEN("the request names the instance, the caller and the time left") {
      CHECK(request.starts_with("GET /p/x?y=z HTTP/1.1\r\n"));
      CHECK(request.find("X-Expect: i-1\r\n") != std::string::npos);
      CHECK(request.find("X-Caller: library\r\n") != std::string::npos);
      CHECK(request.find("X-Deadline: 99") != std::string::npos);
    }
    WHEN("the instance sends a signed response") {
      instance.Write(OkResponse("X-Signature: s\r\nX-Id: r1\r\n", "yes"));
      const LinkBody reply = fixture.Reply(replies);
      const auto& answer = std::get<GateResponse>(reply);
      CHECK(answer.body == "yes");
      CHECK(answer.last);
      CHECK(FindHeader(answer.headers, "X-Signature") == "s");
    }
    WHEN("a successful response has no signature") {
      instance.Write(OkResponse("X-Id: r1\r\n", "no"));
      CHECK(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
    }
    WHEN("the instance reports that it did not run the call") {
      instance.Write(
          "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      const LinkBody reply = fixture.Reply(replies);
      CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kShed);
    }
    WHEN("another instance answers at the address") {
      instance.Write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
      const LinkBody reply = fixture.Reply(replies);
      CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kNoInstance);
      THEN("no calls are sent to the address until the next report") {
        const LinkBody next = fixture.Reply(fixture.Start(true));
        CHECK(std::get<GateRefusal>(next).reason == RefusalReason::kNoInstance);
        CHECK(fixture.loop.Call([&] { return fixture.unreachable_events; }) ==
              1);
      }
    }
    WHEN("the connection closes without a response") {
      instance.Close();
      THEN("the call is reported as possibly run") {
        CHECK(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
      }
    }
    WHEN("the caller cancels the call") {
      fixture.loop.Call([&] {
        fixture.proxy->Cancel(fixture.last_call_id, CancelCause::kCancelled);
        return 0;
      });
      THEN("the connection to the instance is closed") {
        CHECK(instance.AtEnd());
      }
    }
  }
  GIVEN("a call that waits for the only slot, and that the caller cancels") {
    fixture.Start(true);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    fixture.Start(false);
    THEN("it is known not to have run") {
      CHECK_FALSE(fixture.loop.Call([&] {
        return fixture.proxy->Cancel(fixture.last_call_id,
                                     CancelCause::kCancelled);
      }));
    }
  }
  GIVEN("a call that is not idempotent and that the caller cancels") {
    const auto replies = fixture.Start(false);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    fixture.loop.Call([&] {
      fixture.proxy->Cancel(fixture.last_call_id, CancelCause::kCancelled);
      return 0;
    });
    THEN("it completes at the instance") {
      instance.Write(OkResponse("X-Signature: s\r\nX-Id: r1\r\n", "done"));
      while (fixture.loop.Call([&] { return fixture.proxy->active(); }) > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      CHECK(fixture.loop.Call([&] { return replies->empty(); }));
    }
  }
  GIVEN("a cancelled call that is not idempotent and whose answer never ends") {
    fixture.Start(false);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    fixture.loop.Call([&] {
      fixture.proxy->Cancel(fixture.last_call_id, CancelCause::kCancelled);
      return 0;
    });
    instance.Write("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\n\r\n");
    const std::string part(65'536, 'x');
    THEN("the connection is closed after a bounded number of bytes") {
      std::size_t sent = 0;
      while (fixture.loop.Call([&] { return fixture.proxy->active(); }) > 0) {
        REQUIRE(sent < 64'000'000);
        instance.Write(part);
        sent += part.size();
      }
      AND_THEN("the slot is free again") {
        const auto next = fixture.Start(true);
        RawConnection second = fixture.listener.Accept();
        second.ReadRequest();
        second.Write(OkResponse("X-Signature: s\r\nX-Id: r2\r\n", "2"));
        CHECK(std::get<GateResponse>(fixture.Reply(next)).body == "2");
      }
    }
  }
  GIVEN("a call that is not idempotent and whose answer trickles on") {
    fixture.remaining = std::chrono::milliseconds(100);
    const auto replies = fixture.Start(false);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    instance.Write("HTTP/1.1 200 OK\r\nX-Slow: ");
    THEN("the call is broken off some time after its deadline") {
      while (fixture.loop.Call([&] { return replies->empty(); })) {
        instance.Write("x");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      CHECK(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
      CHECK(fixture.loop.Call([&] { return fixture.proxy->active(); }) == 0);
    }
  }
  GIVEN("a refusal of the instance whose body never ends") {
    const auto replies = fixture.Start(false);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    instance.Write("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: r1\r\n\r\n");
    const std::string part(65'536, 'x');
    THEN("the call is reported as not run after a bounded number of bytes") {
      std::size_t sent = 0;
      while (fixture.loop.Call([&] { return replies->empty(); })) {
        REQUIRE(sent < 64'000'000);
        instance.Write(part);
        sent += part.size();
      }
      CHECK(std::get<GateRefusal>(fixture.Reply(replies)).reason ==
            RefusalReason::kShed);
    }
  }
  GIVEN("more calls than slots") {
    const auto first = fixture.Start(true);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    const auto second = fixture.Start(true);
    THEN("the second call waits for the slot of the first") {
      CHECK_FALSE(fixture.listener.TryAccept().has_value());
      instance.Write(OkResponse("X-Signature: s\r\nX-Id: r1\r\n", "1"));
      instance.ReadRequest();
      instance.Write(OkResponse("X-Signature: s\r\nX-Id: r2\r\n", "2"));
      CHECK(std::get<GateResponse>(fixture.Reply(second)).body == "2");
    }
  }
  GIVEN("an instance that is leaving") {
    fixture.loop.Call([&] {
      fixture.Report(2, true);
      return 0;
    });
    const LinkBody reply = fixture.Reply(fixture.Start(true));
    CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kLeaving);
  }
  GIVEN("a call for another service") {
    const LinkBody reply = fixture.Reply(fixture.Start(true, "library"));
    CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kOtherService);
  }
}

// Guards against callers that are told "not run" for a request that ran (rule
// REFUSED), since the instance wrote the refusal of an earlier one once more.
SCENARIO("an instance writes a refusal once more") {
  InboundProxyFixture fixture;
  const std::string refusal =
      "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: r1\r\n"
      "Content-Length: 0\r\n\r\n";
  const auto refused = fixture.Start(false);
  RawConnection instance = fixture.listener.Accept();
  instance.ReadRequest();
  instance.Write(refusal);
  REQUIRE(std::get<GateRefusal>(fixture.Reply(refused)).reason ==
          RefusalReason::kShed);
  const auto next = fixture.Start(false);
  REQUIRE(instance.ReadRequest().starts_with("POST"));

  WHEN("it comes before the answer to the next call") {
    instance.Write(refusal + OkResponse("X-Signature: s\r\nX-Id: r2\r\n", "2"));
    THEN("the next call has its own answer") {
      CHECK(std::get<GateResponse>(fixture.Reply(next)).body == "2");
    }
  }
  WHEN("it names no request") {
    instance.Write(
        "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    THEN("the next call may have run") {
      CHECK(std::holds_alternative<GateFailure>(fixture.Reply(next)));
    }
  }
  WHEN("it comes, and the connection ends") {
    instance.Write(refusal);
    instance.Close();
    THEN("the next call may have run") {
      CHECK(std::holds_alternative<GateFailure>(fixture.Reply(next)));
    }
  }
}

// The same where a request carries no id that a response could name.
SCENARIO("a call without an id has a connection of its own") {
  InboundProxyFixture fixture;
  const auto first = fixture.Start(false);
  RawConnection instance = fixture.listener.Accept();
  instance.ReadRequest();
  instance.Write(OkResponse("X-Signature: s\r\nX-Id: r1\r\n", "1"));
  fixture.Reply(first);
  fixture.request_id = "";
  const auto next = fixture.Start(false);
  RawConnection fresh = fixture.listener.Accept();
  fresh.ReadRequest();
  fresh.Write(OkResponse("X-Signature: s\r\n", "2"));
  CHECK(std::get<GateResponse>(fixture.Reply(next)).body == "2");
}

// The instance ends while it works on the request that it accepted; another one
// takes its place after the node has noticed.
void EndInstance(InboundProxyFixture& fixture,
                 RawConnection& instance,
                 std::string_view next_id) {
  instance.ReadRequest();
  fixture.listener.Close();
  instance.Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fixture.listener.Reopen();
  fixture.loop.Call([&] {
    fixture.Report(1, false, next_id);
    return 0;
  });
}

// Guards against a request that ends each instance that runs it and that is
// handed to the next one again and again (incident BUDGET).
SCENARIO("a request under which three instances ended is not run again") {
  InboundProxyFixture fixture;
  for (const std::string_view next_id : {"i-2", "i-3", "i-4"}) {
    const auto replies = fixture.Start(true);
    RawConnection instance = fixture.listener.Accept();
    EndInstance(fixture, instance, next_id);
    REQUIRE(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
  }

  WHEN("it comes once more") {
    const auto replies = fixture.Start(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    THEN("it is refused as not run") {
      REQUIRE_FALSE(fixture.listener.TryAccept().has_value());
      REQUIRE(std::holds_alternative<GateRefusal>(fixture.Reply(replies)));
    }
  }
}

// Guards against innocent requests that are refused because they ran beside one
// that ends instances, and against ends that no request caused.
SCENARIO("an instance ended while requests ran") {
  InboundProxyFixture fixture;
  const auto verdict = [&](const char* target) {
    return fixture.loop.Call([&] {
      return fixture.suspects.Judge(
          DigestOf({"library", "a.example", "GET", target, ""}));
    });
  };
  const auto first = fixture.Start(true);
  RawConnection instance = fixture.listener.Accept();

  GIVEN("that it had not announced") {
    EndInstance(fixture, instance, "i-2");
    fixture.Reply(first);
    REQUIRE(verdict("/p/x?y=z") == SuspectVerdict::kSuspect);
    CHECK(fixture.loop.Call([&] { return fixture.announced.size(); }) == 1);
    WHEN("the request completes at the next instance") {
      const auto next = fixture.Start(true);
      RawConnection second = fixture.listener.Accept();
      second.ReadRequest();
      second.Write(OkResponse("X-Signature: s\r\nX-Id: r2\r\n", "2"));
      REQUIRE(std::get<GateResponse>(fixture.Reply(next)).body == "2");
      THEN("nothing counts against it, and peers hear that") {
        CHECK(verdict("/p/x?y=z") == SuspectVerdict::kUnsuspected);
        CHECK(fixture.loop.Call([&] { return fixture.announced.size(); }) == 2);
      }
    }
    WHEN("it is on trial, and another copy comes while it runs") {
      fixture.loop.Call([&] {
        const CrashedCall running[] = {
            {DigestOf({"library", "a.example", "GET", "/p/x?y=z", ""}), false}};
        fixture.suspects.OnCrash({"other", 1}, running, SteadyNow());
        return 0;
      });
      const auto trial = fixture.Start(true);
      RawConnection second = fixture.listener.Accept();
      second.ReadRequest();
      const LinkBody copy = fixture.Reply(fixture.Start(true));
      THEN("the copy is refused, and runs after the first completed") {
        REQUIRE(std::holds_alternative<GateRefusal>(copy));
        CHECK(std::get<GateRefusal>(copy).reason ==
              RefusalReason::kCrashSuspect);
        second.Write(OkResponse("X-Signature: s\r\nX-Id: r2\r\n", "2"));
        fixture.Reply(trial);
        fixture.Start(true);
        CHECK(second.ReadRequest().starts_with("GET"));
      }
    }
  }
  GIVEN("that it had announced") {
    fixture.loop.Call([&] {
      fixture.Report(2, true);
      return 0;
    });
    EndInstance(fixture, instance, "i-2");
    fixture.Reply(first);
    CHECK(verdict("/p/x?y=z") == SuspectVerdict::kUnsuspected);
  }
  GIVEN("a connection that broke while the instance lives") {
    instance.ReadRequest();
    instance.Close();
    fixture.Reply(first);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(verdict("/p/x?y=z") == SuspectVerdict::kUnsuspected);
  }
}

// Guards against an instance that gets the calls of all nodes although it
// named the rate that it takes from them together (incident LIMIT).
SCENARIO("an instance gets no more calls than the rate limit that it named") {
  InboundProxyFixture fixture;
  constexpr double kNamedRate = 5;
  constexpr Duration kWindow = std::chrono::seconds(4);
  // The platform's bound: one and a half times the named rate, plus five calls.
  constexpr std::size_t kMaxCallsInWindow = 35;
  constexpr std::size_t kMinCallsInWindow = 10;  // Half of the named rate.

  GIVEN("an instance that names a rate limit in all of its responses") {
    std::vector<Time> arrivals;
    std::thread instance([&] {
      RawConnection connection = fixture.listener.Accept();
      while (connection.ReadRequest().starts_with("GET")) {
        arrivals.push_back(SteadyNow());
        connection.Write(OkResponse(fmt::format("X-Signature: s\r\nX-Id: r\r\n"
                                                "X-Rate-Limit: {}\r\n",
                                                kNamedRate),
                                    "yes"));
      }
    });
    WHEN("many more calls arrive for longer than a window") {
      fixture.request_id = "r";
      const Time end = SteadyNow() + kWindow + std::chrono::milliseconds(500);
      while (SteadyNow() < end) {
        fixture.Start(true);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
      fixture.loop.Call([&] {
        fixture.proxy.reset();
        return 0;
      });
      instance.join();
      THEN("every window from the first response on keeps the limit") {
        REQUIRE(arrivals.size() > 1);
        for (auto first = arrivals.begin() + 1; first != arrivals.end();
             ++first) {
          const auto after =
              std::upper_bound(first, arrivals.end(), *first + kWindow);
          REQUIRE(static_cast<std::size_t>(after - first) <= kMaxCallsInWindow);
        }
        AND_THEN("the instance is not starved") {
          CHECK(arrivals.size() >= kMinCallsInWindow);
        }
      }
    }
  }
}

// Guards against a restarted node that lets the calls of all peers pass until
// its instance has responded.
SCENARIO("a restarted node keeps the rate limit that peers have heard") {
  InboundProxyFixture fixture;
  fixture.notice = InstanceNotice{"i-1", 0.5};
  fixture.remaining = std::chrono::seconds(1);
  const LinkBody reply = fixture.Reply(fixture.Start(true));
  REQUIRE(std::holds_alternative<GateRefusal>(reply));
  const auto& refusal = std::get<GateRefusal>(reply);
  CHECK(refusal.reason == RefusalReason::kBusy);
  CHECK(refusal.retry_delay > std::chrono::milliseconds(1'500));
  CHECK(refusal.load.notice == fixture.notice);

  GIVEN("a notice about another instance") {
    InboundProxyFixture other;
    other.notice = InstanceNotice{"i-0", 0.5};
    other.Start(true);
    CHECK(other.listener.Accept().ReadRequest().starts_with("GET"));
  }
}

// Guards against calls to an instance that said in a response that it leaves,
// while its heartbeats are late or cut off (DRAIN).
SCENARIO(
    "an instance that says in a response that it leaves gets no new calls") {
  InboundProxyFixture fixture;
  const auto first = fixture.Start(true);
  RawConnection instance = fixture.listener.Accept();
  instance.ReadRequest();

  GIVEN("a response that says so") {
    instance.Write(
        OkResponse("X-Signature: s\r\nX-Id: r1\r\nX-Leaving: 1\r\n", "1"));
    REQUIRE(std::get<GateResponse>(fixture.Reply(first)).body == "1");
    THEN("the next call is refused as not run") {
      const LinkBody reply = fixture.Reply(fixture.Start(true));
      REQUIRE(std::holds_alternative<GateRefusal>(reply));
      CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kLeaving);
      CHECK(fixture.loop.Call([&] { return fixture.leaving_events; }) == 1);
      AND_THEN("a heartbeat from before does not bring it back") {
        fixture.loop.Call([&] {
          fixture.Report(2, false);
          return 0;
        });
        const LinkBody next = fixture.Reply(fixture.Start(true));
        CHECK(std::get<GateRefusal>(next).reason == RefusalReason::kLeaving);
      }
    }
  }
  GIVEN("a response of another instance that says so") {
    instance.Write(
        "HTTP/1.1 421 X\r\nX-Id: r1\r\nX-Leaving: 1\r\n"
        "Content-Length: 0\r\n\r\n");
    fixture.Reply(first);
    CHECK(fixture.loop.Call([&] { return fixture.leaving_events; }) == 0);
  }
}

// Guards against a restarted node that sends calls to an instance whose leaving
// only its peers remember (DRAIN, "in touch or not").
SCENARIO("a restarted node hears from peers that its instance leaves") {
  InboundProxyFixture fixture;
  fixture.notice = InstanceNotice{"i-1", std::nullopt, true};
  const LinkBody reply = fixture.Reply(fixture.Start(true));
  REQUIRE(std::holds_alternative<GateRefusal>(reply));
  const auto& refusal = std::get<GateRefusal>(reply);
  CHECK(refusal.reason == RefusalReason::kLeaving);
  CHECK(refusal.load.notice == fixture.notice);
}

// Guards against calls that wait while another service takes over the address,
// and run there (rule ROUTE, review/11).
SCENARIO("a waiting call does not run at an instance of another service") {
  const bool idempotent = GENERATE(true, false);
  const int waiting = GENERATE(1, 2, 7);
  CAPTURE(idempotent, waiting);
  InboundProxyFixture fixture;
  const auto running = fixture.Start(true);
  RawConnection instance = fixture.listener.Accept();
  instance.ReadRequest();
  std::vector<InboundProxyFixture::Replies> queued;
  queued.reserve(waiting);
  for (int i = 0; i < waiting; ++i) {
    queued.push_back(fixture.Start(idempotent));
  }
  const auto change_settings = [&] {
    fixture.loop.Call([&] {
      fixture.tracker.SetSettingsService("catalogue", SteadyNow());
      fixture.proxy->OnInstanceChanged();
      return 0;
    });
  };
  const auto report = [&] {
    fixture.loop.Call([&] {
      fixture.Report(1, false, "i-2", "catalogue");
      return 0;
    });
  };
  const auto check_refused = [&](RefusalReason reason) {
    for (const auto& replies : queued) {
      const LinkBody reply = fixture.Reply(replies);
      CHECK(std::get<GateRefusal>(reply).reason == reason);
    }
    CHECK(fixture.loop.Call([&] { return running->empty(); }));
    // The slot is free again.
    instance.Write(OkResponse("X-Signature: s\r\nX-Id: r1\r\n", "1"));
    fixture.Reply(running);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK_FALSE(fixture.listener.TryAccept());
  };
  WHEN("the settings change, and then the instance") {
    change_settings();
    report();
    check_refused(RefusalReason::kOtherService);
  }
  WHEN("the settings change, and no instance has reported yet") {
    change_settings();
    check_refused(RefusalReason::kOtherService);
  }
  WHEN("an instance reports again and again, and the settings stay") {
    fixture.loop.Call([&] {
      fixture.tracker.SetKnownServices({"booking", "catalogue"});
      return 0;
    });
    for (int i = 1; i <= 3; ++i) {
      fixture.loop.Call([&] {
        fixture.Report(i, false, "i-2", "catalogue");
        return 0;
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(260));
    }
    check_refused(RefusalReason::kOtherService);
  }
  WHEN("the instance deregisters") {
    fixture.loop.Call([&] {
      fixture.tracker.OnDeregistered({"i-1"}, SteadyNow());
      fixture.proxy->OnInstanceChanged();
      return 0;
    });
    check_refused(RefusalReason::kLeaving);
  }
  WHEN("the instance has been leaving for too long") {
    fixture.loop.Call([&] {
      fixture.Report(2, true);
      return 0;
    });
    check_refused(RefusalReason::kLeaving);
  }
  WHEN("its address refuses connections") {
    fixture.loop.Call([&] {
      fixture.tracker.OnConnectFailed(SteadyNow());
      fixture.proxy->OnInstanceChanged();
      return 0;
    });
    check_refused(RefusalReason::kNoInstance);
  }
  WHEN("another instance of the same service takes over the address") {
    fixture.loop.Call([&] {
      fixture.Report(1, false, "i-2");
      return 0;
    });
    THEN("the calls run there") {
      instance.Write(OkResponse("X-Signature: s\r\nX-Id: r1\r\n", "1"));
      CHECK(instance.ReadRequest().find("X-Expect: i-2") != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace verbenastile
