#include <catch2/catch.hpp>

#include "core/instance_tracker.h"

namespace verbenastile {
namespace {

constexpr Time kNow = Time(std::chrono::seconds(10));
const SocketAddress kSlot = {"10.1.0.9", 8080};

InstanceReport ReportOf(const char* id, std::uint64_t sequence) {
  InstanceReport report;
  report.id = id;
  report.service = "booking";
  report.address = kSlot;
  report.slots = 6;
  report.sequence = sequence;
  return report;
}

InstanceReport LeavingReportOf(const char* id, std::uint64_t sequence) {
  InstanceReport report = ReportOf(id, sequence);
  report.leaving = true;
  return report;
}

SCENARIO("a node tracks the instance in its slot") {
  InstanceTracker tracker(kSlot, "booking");
  CHECK_FALSE(tracker.serves());

  GIVEN("a first report") {
    REQUIRE(tracker.OnReport(ReportOf("i-1", 4), kNow) ==
            ReportVerdict::kChanged);
    CHECK(tracker.serves());
    THEN("the next one changes nothing") {
      CHECK(tracker.OnReport(ReportOf("i-1", 5), kNow) ==
            ReportVerdict::kUnchanged);
    }
    THEN("a delayed report of the same instance is stale") {
      CHECK(tracker.OnReport(LeavingReportOf("i-1", 3), kNow) ==
            ReportVerdict::kStale);
      CHECK(tracker.serves());
    }
    THEN("a report with another address is foreign") {
      InstanceReport report = ReportOf("i-9", 1);
      report.address.port = 8081;
      CHECK(tracker.OnReport(report, kNow) == ReportVerdict::kForeign);
      CHECK(tracker.report()->id == "i-1");
    }
    WHEN("the instance is replaced at its address") {
      REQUIRE(tracker.OnReport(ReportOf("i-2", 1), kNow) ==
              ReportVerdict::kChanged);
      THEN("a delayed report of the old instance is stale") {
        CHECK(tracker.OnReport(ReportOf("i-1", 9), kNow) ==
              ReportVerdict::kStale);
        CHECK(tracker.report()->id == "i-2");
      }
    }
    WHEN("the instance leaves") {
      REQUIRE(tracker.OnReport(LeavingReportOf("i-1", 5), kNow) ==
              ReportVerdict::kChanged);
      CHECK(tracker.state() == InstanceState::kLeaving);
      CHECK_FALSE(tracker.serves());
    }
    WHEN("it deregisters without announcing that it leaves") {
      REQUIRE(tracker.OnDeregistered({"i-1"}, kNow) == ReportVerdict::kChanged);
      THEN("a delayed report does not make it serve again") {
        CHECK(tracker.OnReport(ReportOf("i-1", 6), kNow) ==
              ReportVerdict::kStale);
        CHECK(tracker.state() == InstanceState::kGone);
      }
      THEN("another instance takes the slot") {
        CHECK(tracker.OnReport(ReportOf("i-2", 1), kNow) ==
              ReportVerdict::kChanged);
        CHECK(tracker.serves());
      }
    }
    WHEN("its address refuses connections") {
      CHECK(tracker.OnConnectFailed(kNow));
      CHECK_FALSE(tracker.serves());
      THEN("it serves again after its next report") {
        CHECK(tracker.OnReport(ReportOf("i-1", 5), kNow) ==
              ReportVerdict::kChanged);
        CHECK(tracker.serves());
      }
    }
  }

  GIVEN("instances that report their start time") {
    InstanceReport report = ReportOf("i-1", 40);
    report.started_ms = 1'000;
    tracker.OnReport(report, kNow);
    WHEN("one restarts under the same id, with a new sequence") {
      report.started_ms = 2'000;
      report.sequence = 1;
      CHECK(tracker.OnReport(report, kNow) == ReportVerdict::kChanged);
      THEN("a delayed report of the first run is stale") {
        report.started_ms = 1'000;
        report.sequence = 41;
        CHECK(tracker.OnReport(report, kNow) == ReportVerdict::kStale);
      }
    }
    WHEN("it deregisters and restarts under the same id") {
      tracker.OnDeregistered({"i-1"}, kNow);
      report.started_ms = 2'000;
      CHECK(tracker.OnReport(report, kNow) == ReportVerdict::kChanged);
      CHECK(tracker.serves());
    }
  }

  // Found in a fault-injection run: the node was restarted, its first message
  // from the instance was the deregistration, and a delayed heartbeat arrived
  // after it.
  GIVEN("a deregistration as the first message of an instance") {
    REQUIRE(tracker.OnDeregistered({"i-1"}, kNow) == ReportVerdict::kChanged);
    CHECK(tracker.OnReport(ReportOf("i-1", 23), kNow) == ReportVerdict::kStale);
    CHECK_FALSE(tracker.serves());
  }

  // Guards against an instance that is in use again because a report from
  // before it left arrives after its response.
  GIVEN("an instance that says in a response that it leaves") {
    REQUIRE(tracker.OnReport(ReportOf("i-1", 4), kNow) ==
            ReportVerdict::kChanged);
    REQUIRE(tracker.OnLeavingResponse("i-1", kNow) == ReportVerdict::kChanged);
    CHECK(tracker.state() == InstanceState::kLeaving);
    CHECK(tracker.said_leaving_in_response());
    CHECK(tracker.OnLeavingResponse("i-1", kNow) == ReportVerdict::kUnchanged);
    THEN("a later report that it serves is stale") {
      CHECK(tracker.OnReport(ReportOf("i-1", 5), kNow) ==
            ReportVerdict::kStale);
      CHECK(tracker.state() == InstanceState::kLeaving);
    }
    THEN("its first report that it leaves is a change, the next one is not") {
      CHECK(tracker.OnReport(LeavingReportOf("i-1", 5), kNow) ==
            ReportVerdict::kChanged);
      CHECK(tracker.OnReport(LeavingReportOf("i-1", 6), kNow) ==
            ReportVerdict::kUnchanged);
      CHECK(tracker.OnDeregistered({"i-1"}, kNow) == ReportVerdict::kChanged);
    }
    THEN("another instance at the address serves") {
      CHECK(tracker.OnReport(ReportOf("i-2", 1), kNow) ==
            ReportVerdict::kChanged);
      CHECK(tracker.serves());
      CHECK_FALSE(tracker.said_leaving_in_response());
      CHECK(tracker.OnLeavingResponse("i-1", kNow) == ReportVerdict::kForeign);
      CHECK(tracker.serves());
    }
  }

  GIVEN("a peer that returns that an instance leaves") {
    WHEN("the node was restarted and has no report yet") {
      tracker.OnLeavingPeerNotice({"i-1"}, kNow);
      THEN("reports that it serves are stale") {
        CHECK(tracker.OnReport(ReportOf("i-1", 9), kNow) ==
              ReportVerdict::kStale);
      }
    }
    WHEN("the instance has reported to this process that it stays") {
      tracker.OnReport(LeavingReportOf("i-1", 4), kNow);
      tracker.OnReport(ReportOf("i-1", 5), kNow);
      THEN("the peer's notice is older") {
        CHECK(tracker.OnLeavingPeerNotice({"i-1"}, kNow) ==
              ReportVerdict::kUnchanged);
        CHECK(tracker.serves());
      }
    }
  }

  // Guards against an instance that is in use again after a restart of its
  // node, because a delayed report arrived before the node's record was read.
  GIVEN("a report that arrives before the record of an earlier run") {
    tracker.OnReport(ReportOf("i-1", 6), kNow);
    REQUIRE(tracker.serves());
    WHEN("the record is from after that report") {
      tracker.RestoreDeparted({"i-1"}, false, 7, kNow);
      CHECK(tracker.state() == InstanceState::kLeaving);
    }
    WHEN("the instance had deregistered") {
      tracker.RestoreDeparted({"i-1"}, true, 3, kNow);
      CHECK(tracker.state() == InstanceState::kGone);
    }
    WHEN("the record is from before that report, or of another instance") {
      tracker.RestoreDeparted({"i-1"}, false, 5, kNow);
      tracker.RestoreDeparted({"i-2"}, true, 9, kNow);
      CHECK(tracker.serves());
    }
  }

  // Guards against an instance that left, started again under its id, and is
  // shut out because another process or peer says that the id has left
  // (review/3).
  GIVEN("an instance that starts again under the id that has left") {
    const InstanceRun earlier{"i-1", 1'000};
    InstanceReport report = ReportOf("i-1", 1);
    report.started_ms = 2'000;
    const auto check_serves = [&] {
      CHECK(tracker.OnReport(report, kNow) == ReportVerdict::kChanged);
      CHECK(tracker.serves());
    };
    WHEN("the earlier run deregistered from an earlier process") {
      tracker.RestoreDeparted(earlier, true, 7, kNow);
      check_serves();
      THEN("a delayed report of the earlier run is stale") {
        report.started_ms = 1'000;
        report.sequence = 9;
        CHECK(tracker.OnReport(report, kNow) == ReportVerdict::kStale);
      }
    }
    WHEN("a peer returns that the earlier run leaves") {
      tracker.OnLeavingPeerNotice(earlier, kNow);
      check_serves();
    }
    WHEN("a peer returns it, or it is restored, after the report") {
      check_serves();
      CHECK(tracker.OnLeavingPeerNotice(earlier, kNow) ==
            ReportVerdict::kForeign);
      CHECK_FALSE(tracker.RestoreDeparted(earlier, true, 7, kNow));
      CHECK(tracker.serves());
    }
    WHEN("the earlier run's deregistration comes late") {
      check_serves();
      CHECK(tracker.OnDeregistered(earlier, kNow) == ReportVerdict::kForeign);
      CHECK(tracker.serves());
    }
  }

  // Guards against a departure that is forgotten with the second process that
  // has not heard it from the instance (rule DRAIN, review/8).
  GIVEN("a departure that another process told, and no report") {
    CHECK_FALSE(tracker.departed_before_report());
    WHEN("the store told it") {
      tracker.RestoreDeparted({"i-1", 1'000}, true, 7, kNow);
      CHECK(tracker.departed_before_report() ==
            DepartedInstance{{"i-1", 1'000}, true, 7, false});
    }
    WHEN("a peer told it") {
      tracker.OnLeavingPeerNotice({"i-1", 1'000}, kNow);
      CHECK(tracker.departed_before_report() ==
            DepartedInstance{{"i-1", 1'000}, false, 0, true});
    }
    WHEN("another instance reports") {
      tracker.RestoreDeparted({"i-1"}, true, 7, kNow);
      tracker.OnReport(ReportOf("i-2", 1), kNow);
      CHECK_FALSE(tracker.departed_before_report());
    }
  }

  GIVEN("state restored from an earlier run of the node") {
    tracker.RestoreDeparted({"i-1"}, false, 7, kNow);
    tracker.RestoreDeparted({"i-2"}, true, 3, kNow);
    THEN("reports from before the instance left are stale") {
      CHECK(tracker.OnReport(ReportOf("i-1", 7), kNow) ==
            ReportVerdict::kStale);
      CHECK(tracker.OnReport(ReportOf("i-2", 9), kNow) ==
            ReportVerdict::kStale);
    }
    THEN("a later report of an instance that had not ended is accepted") {
      CHECK(tracker.OnReport(ReportOf("i-1", 8), kNow) ==
            ReportVerdict::kChanged);
    }
  }
}

// Guards against a report of another writer, without a start time, that hides
// what the instance says (rules DRAIN and RECOVER, review/7 and review/4).
SCENARIO("a report without a start time does not replace one that has it") {
  constexpr std::uint64_t kStarted = 1'700'000'000'000;
  InstanceTracker tracker(kSlot, "booking");
  const auto report_of = [](const char* id, std::uint64_t sequence,
                            std::uint64_t started_ms) {
    InstanceReport report = ReportOf(id, sequence);
    report.started_ms = started_ms;
    return report;
  };
  GIVEN("an instance that states when it started") {
    REQUIRE(tracker.OnReport(report_of("i-1", 4, kStarted), kNow) ==
            ReportVerdict::kChanged);
    WHEN("one comes that looks like its own, and is ahead of it") {
      CHECK(tracker.OnReport(report_of("i-1", 900, 0), kNow) ==
            ReportVerdict::kForeign);
      THEN("it is heard when it leaves") {
        InstanceReport leaving = report_of("i-1", 5, kStarted);
        leaving.leaving = true;
        CHECK(tracker.OnReport(leaving, kNow) == ReportVerdict::kChanged);
        CHECK(tracker.is_leaving());
        CHECK(tracker.OnReport(report_of("i-1", 901, 0), kNow) ==
              ReportVerdict::kForeign);
        CHECK(tracker.is_leaving());
      }
    }
    WHEN("one comes of another instance") {
      CHECK(tracker.OnReport(report_of("i-9", 1, 0), kNow) ==
            ReportVerdict::kForeign);
      CHECK(tracker.report()->id == "i-1");
    }
    WHEN("its address refuses connections") {
      REQUIRE(tracker.OnConnectFailed(kNow));
      THEN("one that states no start may have replaced it") {
        CHECK(tracker.OnReport(report_of("i-9", 1, 0), kNow) ==
              ReportVerdict::kChanged);
      }
    }
  }
  GIVEN("a report without a start time that comes first") {
    REQUIRE(tracker.OnReport(report_of("i-1", 900, 0), kNow) ==
            ReportVerdict::kChanged);
    THEN("the instance that states its start takes its place") {
      CHECK(tracker.OnReport(report_of("i-1", 4, kStarted), kNow) ==
            ReportVerdict::kChanged);
      CHECK(tracker.report()->sequence == 4);
    }
  }
}

// Guards against a report of another writer that ends the service of a sound
// instance for good (rule Fault, review/13).
SCENARIO("a report of another writer does not end an instance's service") {
  constexpr Duration kInterval = std::chrono::milliseconds(870);
  constexpr std::uint64_t kStarted = 1'700'000'000'000;
  const bool states_start = GENERATE(true, false);
  CAPTURE(states_start);
  InstanceTracker tracker(kSlot, "booking");
  tracker.SetKnownServices({"booking", "catalogue"});
  Time now = kNow;
  std::uint64_t sequence = 0;
  const auto report_of = [&](const char* id, std::uint64_t number) {
    InstanceReport report = ReportOf(id, number);
    report.started_ms = states_start ? kStarted : 0;
    return report;
  };
  // The instance reports until it serves. Returns how often.
  const auto reports_until_it_serves = [&] {
    int reports = 0;
    do {
      now += kInterval;
      tracker.OnReport(report_of("i-1", ++sequence), now);
      ++reports;
    } while (reports < 20 &&
             !(tracker.serves() && tracker.report()->id == "i-1" &&
               tracker.report()->sequence == sequence));
    return reports;
  };
  REQUIRE(reports_until_it_serves() == 1);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(reports_until_it_serves() == 1);
  }
  InstanceReport forged = ReportOf("i-forged", 1);
  forged.started_ms = kStarted + 60'000;

  GIVEN("reports with a service that nobody names") {
    forged.service = "nightly-report";
    const int count = GENERATE(1, 2, 12);
    for (int i = 0; i < count; ++i) {
      forged.sequence = i + 1;
      now += kInterval;
      CHECK(tracker.OnReport(forged, now) == ReportVerdict::kForeign);
    }
    CHECK(tracker.serves());
    CHECK(tracker.report()->id == "i-1");
    CHECK(tracker.service() == "booking");
    CHECK(reports_until_it_serves() == 1);
  }
  GIVEN("one with a service that the slot does not have") {
    forged.service = "catalogue";
    forged.leaving = GENERATE(true, false);
    CHECK(tracker.OnReport(forged, now) == ReportVerdict::kForeign);
    CHECK(tracker.serves());
    CHECK(reports_until_it_serves() == 1);
  }
  GIVEN("one that looks like that of a replacement") {
    forged.leaving = GENERATE(true, false);
    if (!states_start) {
      forged.started_ms = GENERATE(0, 1) * kStarted;
    }
    REQUIRE(tracker.OnReport(forged, now) == ReportVerdict::kChanged);
    THEN("the instance is back after three reports") {
      CHECK(reports_until_it_serves() <= 3);
      AND_WHEN("the other writer goes on between its reports") {
        int served = 0;
        for (int i = 0; i < 12; ++i) {
          now += kInterval / 2;
          ++forged.sequence;
          tracker.OnReport(forged, now);
          now += kInterval / 2;
          tracker.OnReport(report_of("i-1", ++sequence), now);
          served += tracker.report()->id == "i-1" ? 1 : 0;
        }
        CHECK(served == 12);
      }
    }
    THEN("it is back after two if it answers that it is another one") {
      tracker.OnIdentityMismatch("i-forged", now);
      CHECK(reports_until_it_serves() <= 2);
    }
    THEN("delayed reports that come together do not bring it back") {
      for (int i = 0; i < 9; ++i) {
        now += std::chrono::milliseconds(20);
        tracker.OnReport(report_of("i-1", ++sequence), now);
      }
      CHECK(tracker.report()->id == "i-forged");
    }
    THEN("delayed reports do not replace one that goes on") {
      for (int i = 0; i < 9 && !forged.leaving; ++i) {
        now += kInterval;
        tracker.OnReport(report_of("i-1", ++sequence), now);
        ++forged.sequence;
        tracker.OnReport(forged, now);
        CHECK(tracker.report()->id == "i-forged");
        CHECK(tracker.serves());
      }
    }
  }
  GIVEN("one that replaces it after it said that it leaves") {
    InstanceReport leaving = report_of("i-1", ++sequence);
    leaving.leaving = true;
    REQUIRE(tracker.OnReport(leaving, now) == ReportVerdict::kChanged);
    REQUIRE(tracker.OnReport(forged, now) == ReportVerdict::kChanged);
    THEN("its reports from before that do not bring it back") {
      for (std::uint64_t i = 1; i < sequence; ++i) {
        now += kInterval;
        CHECK(tracker.OnReport(report_of("i-1", i), now) ==
              ReportVerdict::kStale);
      }
      CHECK(tracker.report()->id == "i-forged");
    }
  }
  GIVEN("one in its own name that is ahead of it") {
    InstanceReport ahead = report_of("i-1", sequence + 1'000'000);
    REQUIRE(tracker.OnReport(ahead, now) == ReportVerdict::kUnchanged);
    CHECK(reports_until_it_serves() <= 3);
    THEN("it is heard when it leaves") {
      InstanceReport leaving = report_of("i-1", ++sequence);
      leaving.leaving = true;
      CHECK(tracker.OnReport(leaving, now) == ReportVerdict::kChanged);
      CHECK(tracker.is_leaving());
      AND_WHEN("reports from before it left come late") {
        for (std::uint64_t i = 1; i < sequence; ++i) {
          now += kInterval;
          tracker.OnReport(report_of("i-1", i), now);
          CHECK(tracker.is_leaving());
        }
      }
    }
  }
  GIVEN("a deregistration of another instance") {
    CHECK(tracker.OnDeregistered({"i-0"}, now) == ReportVerdict::kForeign);
    CHECK(tracker.serves());
    THEN("no report of it counts any more") {
      CHECK(tracker.OnReport(ReportOf("i-0", 1), now) == ReportVerdict::kStale);
    }
  }
}

SCENARIO("an instance is served whose service comes and goes") {
  InstanceTracker tracker(kSlot, "booking");
  GIVEN("no configuration yet") {
    CHECK(tracker.OnReport(ReportOf("i-1", 1), kNow) ==
          ReportVerdict::kChanged);
    CHECK(tracker.serves());
  }
  GIVEN("a configuration that does not name it") {
    tracker.SetKnownServices({"catalogue"});
    CHECK(tracker.OnReport(ReportOf("i-1", 1), kNow) ==
          ReportVerdict::kChanged);
    CHECK(tracker.serves());
  }
  GIVEN("settings that name another service than it does") {
    tracker.SetKnownServices({"booking", "catalogue"});
    InstanceReport report = ReportOf("i-1", 1);
    report.service = "catalogue";
    Time now = kNow;
    int reports = 1;
    while (tracker.OnReport(report, now) != ReportVerdict::kChanged &&
           reports < 20) {
      CHECK(tracker.service() == "booking");
      now += std::chrono::milliseconds(1'500);
      ++report.sequence;
      ++reports;
    }
    THEN("its reports outweigh them when there is no other") {
      CHECK(reports == 3);
      CHECK(tracker.serves());
      CHECK(tracker.service() == "catalogue");
    }
  }
}

}  // namespace
}  // namespace verbenastile
