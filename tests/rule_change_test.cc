#include "core/rule_change.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/change_quota.h"
#include "support.h"

namespace verbenastile {
namespace {

using Outcome = ReportChange::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UnixSeconds kNow = 1'800'000'000;

Rule MakeRule(const std::string& id, const std::string& group = "") {
  Rule rule;
  rule.id = id;
  rule.match.group = group;
  return rule;
}

// The platform as the change sees it.
struct World {
  HeadRead read;

  explicit World(std::vector<std::string> rules) {
    read.resource_version = "1";
    read.now = kNow;
    read.head.generation = 7;
    for (const std::string& id : rules) {
      read.document.rules.push_back(MakeRule(id));
    }
  }

  // Somebody else's change takes effect.
  void Change(const Operation& operation, const std::string& id) {
    AuditEntry entry;
    entry.generation_before = read.head.generation;
    entry.generation_after = ++read.head.generation;
    entry.operation_id = id;
    entry.who = "rival";
    entry.when = FormatUtc(kNow);
    const auto changed =
        MustSucceed([&] { return ApplyOperation(read.document, operation); });
    entry.difference = Difference(operation, read.document, changed);
    read.document = changed;
    read.resource_version += "x";
    read.trail.push_back(entry);
  }
};

ChangeRequest Request(Operation operation, Time deadline = Time(seconds(10))) {
  ChangeRequest request;
  request.operation = std::move(operation);
  request.operation_id = "ours";
  request.deadline = deadline;
  return request;
}

template <typename T>
T Must(ChangeAction action) {
  REQUIRE(std::holds_alternative<T>(action));
  return std::get<T>(std::move(action));
}

// Leads the change to the write of the head.
WriteHead LeadToHead(RuleChange& change, const World& world) {
  Must<WriteParts>(change.OnEvent(world.read, Time{}));
  return Must<WriteHead>(change.OnEvent(PartsWritten{}, Time{}));
}

SCENARIO("an operator changes rules while others do") {
  World world({"a", "b"});
  RuleChange change(Request(AddRule{MakeRule("n"), {"b", ""}}), 1);
  Must<ReadHead>(change.Start(Time{}));

  GIVEN("a head that is written at once") {
    const WriteHead write = LeadToHead(change, world);
    THEN("it is one generation on, with its entry, on the version read") {
      CHECK(write.resource_version == "1");
      CHECK(write.head.generation == 8);
      REQUIRE(write.head.audit.size() == 1);
      CHECK(write.head.audit[0].operation_id == "ours");
      CHECK(write.head.audit[0].difference == std::vector<std::string>{"+n"});
      CHECK(Must<ReportChange>(change.OnEvent(HeadWritten{}, Time{})).outcome ==
            Outcome::kMade);
    }
  }

  GIVEN("a race that is lost") {
    LeadToHead(change, world);
    Must<WaitBeforeRetry>(change.OnEvent(HeadConflict{}, Time{}));
    CHECK(Must<ReadHead>(change.OnEvent(WaitOver{}, Time{})).trail_above == 7);
    WHEN("the other change does not touch ours") {
      world.Change(RetireRule{"a"}, "theirs");
      THEN("ours is rebased on it") {
        const WriteHead write = LeadToHead(change, world);
        CHECK(write.head.generation == 9);
        CHECK(write.resource_version == "1x");
      }
    }
    WHEN("the other change took the rule that ours stands before") {
      world.Change(RetireRule{"b"}, "theirs");
      THEN("ours is refused and theirs is shown") {
        const auto report =
            Must<ReportChange>(change.OnEvent(world.read, Time{}));
        CHECK(report.outcome == Outcome::kConflict);
        REQUIRE(report.rivals.size() == 1);
        CHECK(report.rivals[0].operation_id == "theirs");
      }
    }
  }

  GIVEN("a write whose answer is lost") {
    const WriteHead write = LeadToHead(change, world);
    Must<WaitBeforeRetry>(
        change.OnEvent(HeadOutcomeUnknown{"timeout"}, Time{}));
    change.OnEvent(WaitOver{}, Time{});
    WHEN("it had taken effect") {
      world.read.head = write.head;
      world.read.trail = write.head.audit;
      THEN("it is reported as made, once") {
        const auto report =
            Must<ReportChange>(change.OnEvent(world.read, Time{}));
        CHECK(report.outcome == Outcome::kMade);
        CHECK(report.generation == 8);
      }
    }
    WHEN("the head is the same when the time is up") {
      const auto report = Must<ReportChange>(
          change.OnEvent(PlatformUnavailable{"down"}, Time(seconds(10))));
      THEN("the outcome is not known, and its base is told") {
        CHECK(report.outcome == Outcome::kUnknown);
        CHECK(report.unsettled_base == 7);
        CHECK(OutcomeOf("ours", 7, 7, {}) == LateOutcome::kOpen);
        CHECK(OutcomeOf("ours", 7, 8, {}) == LateOutcome::kNotMade);
        CHECK(OutcomeOf("ours", 7, 8, write.head.audit) == LateOutcome::kMade);
      }
    }
    WHEN("another generation without it is seen before the platform fails") {
      world.Change(RetireRule{"a"}, "theirs");
      Must<WriteParts>(change.OnEvent(world.read, Time{}));
      const auto report = Must<ReportChange>(
          change.OnEvent(PlatformUnavailable{"down"}, Time(seconds(10))));
      THEN("it is known not to be made: its write can take effect no more") {
        CHECK(report.outcome == Outcome::kNotMade);
      }
    }
  }
}

SCENARIO("operators touch the same rule") {
  World world({"a", "b", "c"});
  const auto outcome_after = [&](Operation ours, const Operation& theirs) {
    World raced = world;
    RuleChange change(Request(std::move(ours)), 1);
    change.Start(Time{});
    LeadToHead(change, raced);
    change.OnEvent(HeadConflict{}, Time{});
    change.OnEvent(WaitOver{}, Time{});
    raced.Change(theirs, "theirs");
    const ChangeAction action = change.OnEvent(raced.read, Time{});
    const auto* report = std::get_if<ReportChange>(&action);
    return report == nullptr ? Outcome::kMade : report->outcome;
  };
  Rule changed = MakeRule("a");
  changed.match.path_prefix = "/x";

  CHECK(outcome_after(MoveRule{"a", {"c", ""}}, MoveRule{"a", {}}) ==
        Outcome::kConflict);
  CHECK(outcome_after(MoveRule{"a", {"", "c"}}, MoveRule{"b", {}}) ==
        Outcome::kMade);
  CHECK(outcome_after(RetireRule{"a"}, UpdateRule{changed}) ==
        Outcome::kConflict);
  CHECK(outcome_after(UpdateRule{changed}, RetireRule{"a"}) ==
        Outcome::kConflict);
  CHECK(outcome_after(MoveRule{"a", {"c", ""}}, UpdateRule{changed}) ==
        Outcome::kMade);
  CHECK(outcome_after(ReplaceDocument{}, RetireRule{"a"}) ==
        Outcome::kConflict);
}

SCENARIO("a group floods the rules with changes") {
  World world({});
  Group group;
  group.name = "gyms";
  group.quota.changes_per_minute = 2;
  world.read.document.groups.push_back(group);
  AuditEntry entry;
  entry.groups = {"gyms"};
  entry.when = FormatUtc(kNow - 30);
  world.read.trail = {entry, entry};

  GIVEN("two changes in the last minute, which is its quota") {
    RuleChange change(Request(AddRule{MakeRule("n", "gyms"), {}}), 1);
    THEN("the third is refused") {
      const auto report =
          Must<ReportChange>(change.OnEvent(world.read, Time{}));
      CHECK(report.outcome == Outcome::kNotMade);
      CHECK(report.reason.find("its quota is 2") != std::string::npos);
    }
  }
  GIVEN("another owner") {
    RuleChange change(Request(AddRule{MakeRule("n"), {}}), 1);
    THEN("its change is not held up") {
      Must<WriteParts>(change.OnEvent(world.read, Time{}));
    }
  }
  GIVEN("entries by a clock that is an hour fast") {
    world.read.trail[0].when = FormatUtc(kNow + 3'600);
    const std::vector<std::string> groups = {"gyms"};
    THEN("they lock nobody out") {
      CHECK_FALSE(FindChangeExcess(world.read.document, groups,
                                   world.read.trail, kNow));
    }
  }
}

SCENARIO("the trail outgrows the head") {
  RulesHead head;
  std::optional<AuditPage> page;
  for (std::size_t i = 0; i <= kMaxHeadAuditEntries; ++i) {
    AuditEntry entry;
    entry.generation_after = i + 1;
    entry.operation_id = "op" + std::to_string(i);
    head.audit.push_back(entry);
    page = SpillOldEntries(head);
    CHECK(page.has_value() == (i == kMaxHeadAuditEntries));
  }
  THEN("the older half is in a page that the head names") {
    REQUIRE(page);
    CHECK(head.audit_page == page->name);
    CHECK(page->entries.front().generation_after == 1);
    CHECK(page->entries.back().generation_after + 1 ==
          head.audit.front().generation_after);
    CHECK(MustSucceed([&] {
            return ParseAuditPage(page->name, ToJson(*page));
          }).entries.size() == page->entries.size());
  }
  THEN("a page under a false name is refused") {
    CHECK_FALSE(ErrorTextOf([&] {
                  return ParseAuditPage("other", ToJson(*page));
                }).empty());
  }
}

SCENARIO("lists of chunks are led back by splices") {
  const std::vector<std::vector<std::string>> lists = {
      {}, {"a"}, {"a", "b", "c"}, {"a", "x", "c"}, {"x"}, {"a", "a"}, {"c"}};
  for (const auto& before : lists) {
    for (const auto& after : lists) {
      CHECK(UndoSplice(MakeSplice(before, after), after) == before);
    }
  }
  CHECK_FALSE(UndoSplice({3, 1, {}}, {"a"}).has_value());
}

SCENARIO("wall-clock times are written and read") {
  CHECK(FormatUtc(0) == "1970-01-01T00:00:00Z");
  CHECK(ParseUtc(FormatUtc(kNow)) == kNow);
  CHECK(ParseUtc("1970-01-02") == 86'400);
  for (const char* bad : {"", "yesterday", "2026-13-01", "2026-02-30",
                          "2026-01-01T25:00:00Z", "2026-01-01 00:00:00Z"}) {
    CHECK_FALSE(ParseUtc(bad).has_value());
  }
}

}  // namespace
}  // namespace verbenastile
