#include "core/crash_suspects.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "core/broken_calls.h"
#include "core/request_digest.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

const Digest kGuilty = DigestOf(std::string_view("guilty"));
const Digest kInnocent = DigestOf(std::string_view("innocent"));

CrashId Crash(std::uint64_t number) {
  return {"node-" + std::to_string(number % 3), number};
}

// The evidence of nodes that each saw one crash under `request`.
std::vector<CrashEvidence> SeparateCrashes(const Digest& request,
                                           std::uint64_t count) {
  std::vector<CrashEvidence> evidence;
  for (std::uint64_t number = 1; number <= count; ++number) {
    CrashSuspects node;
    const CrashedCall running[] = {{request, false}};
    evidence.push_back(node.OnCrash(Crash(number), running, Time()).front());
  }
  return evidence;
}

// Guards against a request that ends instances and is known to none of the
// nodes, as each has seen a part of its crashes (incident BUDGET).
SCENARIO("nodes sum up the crashes under a request") {
  CrashSuspects suspects;
  auto evidence = SeparateCrashes(kGuilty, 5);

  GIVEN("one crash, told twice") {
    CHECK(suspects.Merge(evidence[0], Time()).added);
    CHECK_FALSE(suspects.Merge(evidence[0], Time()).added);
    THEN("the request runs as any other") {
      CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kSuspect);
    }
  }
  GIVEN("two crashes") {
    suspects.Merge(evidence[1], Time());
    const MergeResult second = suspects.Merge(evidence[0], Time());
    THEN("the node that knows of one should hear of the other") {
      CHECK(second.sender_is_behind);
      CHECK(suspects.Known(kGuilty)->crashes.size() == 2);
      CHECK_FALSE(
          suspects.Merge(*suspects.Known(kGuilty), Time()).sender_is_behind);
    }
    THEN("it is on trial, and other requests are not") {
      CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kOnTrial);
      CHECK(suspects.Judge(kInnocent) == SuspectVerdict::kUnsuspected);
    }
    WHEN("an instance ends while it is on trial there") {
      const CrashedCall running[] = {{kGuilty, true}, {kInnocent, false}};
      suspects.OnCrash(Crash(9), running, Time());
      THEN("it is blocked, and what ran beside it is not") {
        CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kBlocked);
        CHECK(suspects.Judge(kInnocent) == SuspectVerdict::kSuspect);
      }
    }
    WHEN("it completes") {
      const auto cleared = suspects.OnCompleted(kGuilty, Time());
      REQUIRE(cleared.has_value());
      THEN("it is clear, also for a node that hears of old crashes later") {
        CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kUnsuspected);
        CHECK_FALSE(suspects.Merge(evidence[0], Time()).added);
        CHECK(suspects.Merge(evidence[0], Time()).sender_is_behind);
        CHECK(suspects.Known(kGuilty) == cleared);
        CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kUnsuspected);
        CrashSuspects other;
        other.Merge(*cleared, Time());
        other.Merge(evidence[0], Time());
        CHECK(other.Judge(kGuilty) == SuspectVerdict::kUnsuspected);
      }
      THEN("later crashes count from the beginning") {
        const CrashedCall running[] = {{kGuilty, false}};
        suspects.OnCrash(Crash(7), running, Time());
        CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kSuspect);
      }
    }
  }
  GIVEN("the same evidence in any order") {
    std::sort(evidence.begin(), evidence.end(), [](auto& a, auto& b) {
      return a.crashes.front() < b.crashes.front();
    });
    CrashSuspects first;
    CrashSuspects second;
    for (std::size_t i = 0; i < evidence.size(); ++i) {
      first.Merge(evidence[i], Time());
      second.Merge(evidence[evidence.size() - 1 - i], Time());
    }
    CHECK(first.Shared() == second.Shared());
    CHECK(first.CrashesOf(kGuilty).size() == 5);
  }
}

// Guards against requests that are refused for good because they ran on
// instances that ended for another reason, such as a loss of power.
SCENARIO("crashes at once block no request before its trial") {
  CrashSuspects suspects;
  const std::uint64_t crashes = GENERATE(3, 5, 40);
  for (const CrashEvidence& evidence : SeparateCrashes(kInnocent, crashes)) {
    suspects.Merge(evidence, Time());
  }
  CHECK(suspects.Judge(kInnocent) == SuspectVerdict::kOnTrial);
  WHEN("it completes") {
    suspects.OnCompleted(kInnocent, Time());
    CHECK(suspects.Judge(kInnocent) == SuspectVerdict::kUnsuspected);
  }
  WHEN("the instance that tries it ends as well") {
    const CrashedCall running[] = {{kInnocent, true}};
    suspects.OnCrash(Crash(99), running, Time());
    CHECK(suspects.Judge(kInnocent) == SuspectVerdict::kBlocked);
  }
}

SCENARIO("a request that is on trial runs at one member") {
  MemberDirectory directory;
  const auto put = [&](const char* name, const char* service, bool serving) {
    Member member;
    member.name = name;
    member.service = service;
    member.serving = serving;
    directory.Put(member);
  };
  put("a", "booking", true);
  put("b", "booking", true);
  put("c", "library", true);
  put("d", "booking", false);
  const Member* chosen = TrialMember(directory, "booking", kGuilty);
  REQUIRE(chosen != nullptr);
  CHECK((chosen->name == "a" || chosen->name == "b"));
  CHECK(TrialMember(directory, "catalogue", kGuilty) == nullptr);

  WHEN("that member's instance has ended") {
    const std::string ended = chosen->name;
    put(ended.c_str(), "booking", false);
    const Member* next = TrialMember(directory, "booking", kGuilty);
    REQUIRE(next != nullptr);
    CHECK(next->name != ended);
  }
}

SCENARIO("what is kept and told of suspects is bounded") {
  CrashSuspects suspects;
  for (const CrashEvidence& evidence : SeparateCrashes(kGuilty, 60)) {
    suspects.Merge(evidence, Time());
  }
  CHECK(suspects.CrashesOf(kGuilty).size() == CrashSuspects::kMaxCrashesKept);
  for (std::uint64_t i = 0; i < 3 * CrashSuspects::kMaxSuspects; ++i) {
    const Digest request = DigestOf(std::to_string(i));
    for (const CrashEvidence& evidence : SeparateCrashes(request, 1 + i % 2)) {
      suspects.Merge(evidence, Time(i * kMs));
    }
  }
  CHECK(suspects.size() == CrashSuspects::kMaxSuspects);
  CHECK(suspects.Shared().size() == CrashSuspects::kMaxShared);
  THEN("those with the most crashes stay") {
    CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kOnTrial);
    CHECK(suspects.Shared().front().request == kGuilty);
  }
}

SCENARIO("a node tells the store what it has seen itself") {
  CrashSuspects suspects;
  for (const CrashEvidence& evidence : SeparateCrashes(kGuilty, 3)) {
    suspects.Merge(evidence, Time());
  }
  const auto seen = suspects.SeenBy("node-1");
  REQUIRE(seen.size() == 1);
  CHECK(seen.front().crashes == std::vector<CrashId>{Crash(1)});
  CHECK(suspects.SeenBy("node-7").empty());
}

SCENARIO("operators clear and block requests") {
  CrashSuspects suspects;
  CrashSuspects peer;
  peer.Merge(suspects.Convict(kGuilty, Time()), Time());
  CHECK(suspects.Judge(kGuilty) == SuspectVerdict::kBlocked);
  CHECK(peer.Judge(kGuilty) == SuspectVerdict::kBlocked);
  peer.Merge(suspects.Clear(kGuilty, Time()), Time());
  CHECK(peer.Judge(kGuilty) == SuspectVerdict::kUnsuspected);
}

SCENARIO("requests are told apart by their content") {
  const RequestContent request{"booking", "a.example", "GET", "/p/x", ""};
  CHECK(DigestOf(request) == DigestOf(RequestContent(request)));
  RequestContent other = request;
  other.caller_service = "library";
  CHECK(DigestOf(other) != DigestOf(request));
  other = request;
  other.target = "/p/x?y";
  CHECK(DigestOf(other) != DigestOf(request));
  other = request;
  other.body = "b";
  CHECK(DigestOf(other) != DigestOf(request));
}

SCENARIO("the calls that an instance ran when it ended") {
  BrokenCalls calls;
  const Time end = Time() + std::chrono::seconds(10);
  const auto add = [&](const char* id, Duration before, bool cancelled) {
    BrokenCall call;
    call.request_id = id;
    call.broken_at = end - before;
    call.cancelled = cancelled;
    calls.Add(call);
  };
  add("lost long before", 900 * kMs, false);
  add("cancelled long before", 900 * kMs, true);
  add("cancelled just before", 300 * kMs, true);
  add("broken", 2 * kMs, false);
  add("broken last", 0 * kMs, false);
  const auto running = calls.TakeOnInstanceEnd(end + 15 * kMs);
  REQUIRE(running.size() == 3);
  CHECK(running[0].request_id == "cancelled just before");
  CHECK(running[1].request_id == "broken");
  CHECK(running[2].request_id == "broken last");
  CHECK(calls.empty());
}

}  // namespace
}  // namespace verbenastile
