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

// The accepted rules as the platform holds them.
struct PlatformRules {
  HeadRead read;

  explicit PlatformRules(std::vector<std::string> rules) {
    read.resource_version = "1";
    read.now = kNow;
    read.head.generation = 7;
    for (const std::string& id : rules) {
      read.document.rules.push_back(MakeRule(id));
    }
  }

  // Applies another operator's change.
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
T Expect(ChangeAction action) {
  REQUIRE(std::holds_alternative<T>(action));
  return std::get<T>(std::move(action));
}

// Advances the change until it writes the head.
WriteHead AdvanceToHeadWrite(RuleChange& change,
                             const PlatformRules& platform) {
  Expect<WriteParts>(change.OnEvent(platform.read, Time{}));
  return Expect<WriteHead>(change.OnEvent(PartsWritten{}, Time{}));
}

SCENARIO("a rule change under concurrent changes and lost responses") {
  PlatformRules platform({"a", "b"});
  RuleChange change(Request(AddRule{MakeRule("n"), {"b", ""}}), 1);
  Expect<ReadHead>(change.Start(Time{}));

  GIVEN("no concurrent change") {
    const WriteHead write = AdvanceToHeadWrite(change, platform);
    THEN(
        "the write is conditional, with the next generation and its audit "
        "entry") {
      CHECK(write.resource_version == "1");
      CHECK(write.head.generation == 8);
      REQUIRE(write.head.audit.size() == 1);
      CHECK(write.head.audit[0].operation_id == "ours");
      CHECK(write.head.audit[0].difference == std::vector<std::string>{"+n"});
      CHECK(
          Expect<ReportChange>(change.OnEvent(HeadWritten{}, Time{})).outcome ==
          Outcome::kMade);
    }
  }

  GIVEN("a write that conflicts with another change") {
    AdvanceToHeadWrite(change, platform);
    Expect<WaitBeforeRetry>(change.OnEvent(HeadConflict{}, Time{}));
    CHECK(Expect<ReadHead>(change.OnEvent(WaitOver{}, Time{})).trail_above ==
          7);
    WHEN("the other change is independent") {
      platform.Change(RetireRule{"a"}, "theirs");
      THEN("the operation is applied again on top of it") {
        const WriteHead write = AdvanceToHeadWrite(change, platform);
        CHECK(write.head.generation == 9);
        CHECK(write.resource_version == "1x");
      }
    }
    WHEN("the other change removed the rule that gives the position") {
      platform.Change(RetireRule{"b"}, "theirs");
      THEN("the change fails and reports the conflicting one") {
        const auto report =
            Expect<ReportChange>(change.OnEvent(platform.read, Time{}));
        CHECK(report.outcome == Outcome::kConflict);
        REQUIRE(report.conflicting_entries.size() == 1);
        CHECK(report.conflicting_entries[0].operation_id == "theirs");
      }
    }
  }

  GIVEN("a write whose response is lost") {
    const WriteHead write = AdvanceToHeadWrite(change, platform);
    Expect<WaitBeforeRetry>(
        change.OnEvent(HeadOutcomeUnknown{"timeout"}, Time{}));
    change.OnEvent(WaitOver{}, Time{});
    WHEN("the write has taken effect") {
      platform.read.head = write.head;
      platform.read.trail = write.head.audit;
      THEN("the change is reported as made and not written again") {
        const auto report =
            Expect<ReportChange>(change.OnEvent(platform.read, Time{}));
        CHECK(report.outcome == Outcome::kMade);
        CHECK(report.generation == 8);
      }
    }
    WHEN("the head is unchanged at the deadline") {
      const auto report = Expect<ReportChange>(
          change.OnEvent(PlatformUnavailable{"down"}, Time(seconds(10))));
      THEN("the outcome is unknown and the report gives the base generation") {
        CHECK(report.outcome == Outcome::kUnknown);
        CHECK(report.unsettled_base == 7);
        CHECK(ResolveOutcome("ours", 7, 7, {}) == LateOutcome::kOpen);
        CHECK(ResolveOutcome("ours", 7, 8, {}) == LateOutcome::kNotMade);
        CHECK(ResolveOutcome("ours", 7, 8, write.head.audit) ==
              LateOutcome::kMade);
      }
    }
    WHEN("a newer generation without it is read before the platform fails") {
      platform.Change(RetireRule{"a"}, "theirs");
      Expect<WriteParts>(change.OnEvent(platform.read, Time{}));
      const auto report = Expect<ReportChange>(
          change.OnEvent(PlatformUnavailable{"down"}, Time(seconds(10))));
      THEN(
          "the change is reported as not made: the write can no longer apply") {
        CHECK(report.outcome == Outcome::kNotMade);
      }
    }
  }
}

SCENARIO("concurrent operations on the same rule") {
  PlatformRules platform({"a", "b", "c"});
  const auto outcome_after = [&](Operation operation, const Operation& other) {
    PlatformRules changed_platform = platform;
    RuleChange change(Request(std::move(operation)), 1);
    change.Start(Time{});
    AdvanceToHeadWrite(change, changed_platform);
    change.OnEvent(HeadConflict{}, Time{});
    change.OnEvent(WaitOver{}, Time{});
    changed_platform.Change(other, "theirs");
    const ChangeAction action = change.OnEvent(changed_platform.read, Time{});
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

SCENARIO("the quota of changes per minute of a group") {
  PlatformRules platform({});
  Group group;
  group.name = "gyms";
  group.quota.changes_per_minute = 2;
  platform.read.document.groups.push_back(group);
  AuditEntry entry;
  entry.groups = {"gyms"};
  entry.when = FormatUtc(kNow - 30);
  platform.read.trail = {entry, entry};

  GIVEN("a group that has used up its quota of two changes") {
    RuleChange change(Request(AddRule{MakeRule("n", "gyms"), {}}), 1);
    THEN("its next change is rejected") {
      const auto report =
          Expect<ReportChange>(change.OnEvent(platform.read, Time{}));
      CHECK(report.outcome == Outcome::kNotMade);
      CHECK(report.reason.find("its quota is 2") != std::string::npos);
    }
  }
  GIVEN("a change by another owner") {
    RuleChange change(Request(AddRule{MakeRule("n"), {}}), 1);
    THEN("it is not limited") {
      Expect<WriteParts>(change.OnEvent(platform.read, Time{}));
    }
  }
  GIVEN("an entry whose clock is an hour ahead") {
    platform.read.trail[0].when = FormatUtc(kNow + 3'600);
    const std::vector<std::string> groups = {"gyms"};
    THEN("it does not count towards the quota") {
      CHECK_FALSE(FindExceededQuota(platform.read.document, groups,
                                    platform.read.trail, kNow));
    }
  }
}

SCENARIO("old audit entries move from the head to a page") {
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
  THEN("the head refers to a page with the older half") {
    REQUIRE(page);
    CHECK(head.audit_page == page->name);
    CHECK(page->entries.front().generation_after == 1);
    CHECK(page->entries.back().generation_after + 1 ==
          head.audit.front().generation_after);
    CHECK(MustSucceed([&] {
            return ParseAuditPage(page->name, ToJson(*page));
          }).entries.size() == page->entries.size());
  }
  THEN("a page whose content does not match its name is rejected") {
    CHECK_FALSE(ErrorTextOf([&] {
                  return ParseAuditPage("other", ToJson(*page));
                }).empty());
  }
}

SCENARIO("undoing a splice restores the previous chunk list") {
  const std::vector<std::vector<std::string>> lists = {
      {}, {"a"}, {"a", "b", "c"}, {"a", "x", "c"}, {"x"}, {"a", "a"}, {"c"}};
  for (const auto& before : lists) {
    for (const auto& after : lists) {
      CHECK(UndoSplice(MakeSplice(before, after), after) == before);
    }
  }
  CHECK_FALSE(UndoSplice({3, 1, {}}, {"a"}).has_value());
}

SCENARIO("wall-clock times are formatted and parsed") {
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
