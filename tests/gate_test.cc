// The gate with a real instance's connection, byte by byte.
#include <catch2/catch.hpp>

#include "mesh/gate.h"
#include "net_support.h"

namespace verbenastile {
namespace {

constexpr CallHeaderNames kNames = {
    .request_id = "X-Id",
    .deadline_ms = "X-Deadline",
    .signature = "X-Signature",
    .expected_instance = "X-Expect",
    .not_executed = "X-Not-Run",
    .retry_after = "Retry-After",
    .caller_service = "X-Caller",
};

struct GateFixture {
  GateFixture() : tracker(listener.address()) {
    loop.Call([this] {
      Gate::Init init;
      init.io = &loop.io;
      init.tracker = &tracker;
      init.metrics = &metrics;
      init.headers = kNames;
      init.configuration = [] { return PeerConfiguration{1, std::nullopt}; };
      init.leaving_start_time = [] { return std::chrono::milliseconds(800); };
      init.on_unreachable = [this] { ++unreachable; };
      init.link = [] { return LinkState{}; };
      gate = std::make_unique<Gate>(init);
      Report(1, false);
      return 0;
    });
  }
  ~GateFixture() {
    loop.Call([this] {
      gate.reset();
      return 0;
    });
  }

  void Report(std::uint64_t sequence, bool leaving) {
    InstanceReport report;
    report.id = "i-1";
    report.service = "booking";
    report.address = listener.address();
    report.slots = 1;
    report.sequence = sequence;
    report.leaving = leaving;
    tracker.OnReport(report, SteadyNow());
    gate->OnInstanceChanged();
  }

  using Replies = std::shared_ptr<std::vector<LinkBody>>;

  Replies Start(bool idempotent, std::string_view service = "booking") {
    auto replies = std::make_shared<std::vector<LinkBody>>();
    GateCall call;
    call.service = service;
    call.caller_service = "library";
    call.request_id = "r" + std::to_string(++last);
    call.rule = "rule";
    call.method = idempotent ? "GET" : "POST";
    call.target = "/p/x?y=z";
    call.headers = {{"Host", "a.example"}, {"X-Id", call.request_id}};
    call.remaining = std::chrono::seconds(10);
    call.objective = std::chrono::seconds(5);
    call.idempotent = idempotent;
    last_call = loop.Call([&] {
      return gate->Start(
          std::move(call), AnswerPath::kLink,
          [replies](LinkBody body) { replies->push_back(std::move(body)); });
    });
    return replies;
  }
  // The reply number `index`, once it has come.
  LinkBody Reply(const Replies& replies, std::size_t index = 0) {
    while (loop.Call([&] { return replies->size(); }) <= index) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return loop.Call([&] { return (*replies)[index]; });
  }

  RawListener listener;
  LoopThread loop;
  Metrics metrics;
  InstanceTracker tracker;
  std::unique_ptr<Gate> gate;
  int unreachable = 0;
  int last = 0;
  CallId last_call = 0;
};

std::string Answer(std::string_view headers, std::string_view body) {
  return "HTTP/1.1 200 OK\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

SCENARIO("the gate passes calls to the instance") {
  GateFixture fixture;

  GIVEN("a call") {
    const auto replies = fixture.Start(true);
    RawConnection instance = fixture.listener.Accept();
    const std::string request = instance.ReadRequest();
    THEN("it says who is meant, who calls, and what time is left") {
      CHECK(request.starts_with("GET /p/x?y=z HTTP/1.1\r\n"));
      CHECK(request.find("X-Expect: i-1\r\n") != std::string::npos);
      CHECK(request.find("X-Caller: library\r\n") != std::string::npos);
      CHECK(request.find("X-Deadline: 99") != std::string::npos);
    }
    WHEN("the instance answers") {
      instance.Write(Answer("X-Signature: s\r\nX-Id: r1\r\n", "yes"));
      const LinkBody reply = fixture.Reply(replies);
      const auto& answer = std::get<GateResponse>(reply);
      CHECK(answer.body == "yes");
      CHECK(answer.last);
      CHECK(FindHeader(answer.headers, "X-Signature") == "s");
    }
    WHEN("a success comes without a signature") {
      instance.Write(Answer("X-Id: r1\r\n", "no"));
      CHECK(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
    }
    WHEN("the instance says that it did not run it") {
      instance.Write(
          "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      const LinkBody reply = fixture.Reply(replies);
      CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kShed);
    }
    WHEN("another instance has the address") {
      instance.Write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
      const LinkBody reply = fixture.Reply(replies);
      CHECK(std::get<GateRefusal>(reply).reason == RefusalReason::kNoInstance);
      THEN("it gets no more calls until the next report") {
        const LinkBody next = fixture.Reply(fixture.Start(true));
        CHECK(std::get<GateRefusal>(next).reason == RefusalReason::kNoInstance);
        CHECK(fixture.loop.Call([&] { return fixture.unreachable; }) == 1);
      }
    }
    WHEN("the connection closes without an answer") {
      instance.Close();
      THEN("it may have run") {
        CHECK(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
      }
    }
    WHEN("the caller leaves") {
      fixture.loop.Call([&] {
        fixture.gate->Cancel(fixture.last_call);
        return 0;
      });
      THEN("the instance's connection is closed") {
        CHECK(instance.AtEnd());
      }
    }
  }
  GIVEN("a call that may not be repeated, whose caller leaves") {
    const auto replies = fixture.Start(false);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    fixture.loop.Call([&] {
      fixture.gate->Cancel(fixture.last_call);
      return 0;
    });
    THEN("it is left to end at the instance") {
      instance.Write(Answer("X-Signature: s\r\nX-Id: r1\r\n", "done"));
      while (fixture.loop.Call([&] { return fixture.gate->active(); }) > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      CHECK(fixture.loop.Call([&] { return replies->empty(); }));
    }
  }
  GIVEN("more calls than slots") {
    const auto first = fixture.Start(true);
    RawConnection instance = fixture.listener.Accept();
    instance.ReadRequest();
    const auto second = fixture.Start(true);
    THEN("the second waits for the first") {
      CHECK_FALSE(fixture.listener.TryAccept().has_value());
      instance.Write(Answer("X-Signature: s\r\nX-Id: r1\r\n", "1"));
      instance.ReadRequest();
      instance.Write(Answer("X-Signature: s\r\nX-Id: r2\r\n", "2"));
      CHECK(std::get<GateResponse>(fixture.Reply(second)).body == "2");
    }
  }
  GIVEN("an instance that leaves") {
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

}  // namespace
}  // namespace verbenastile
