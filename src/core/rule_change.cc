#include "core/rule_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "core/change_quota.h"

namespace verbenastile {
namespace {

using Outcome = ReportChange::Outcome;

// The bound of the random wait after a conflict halves after every few
// conflicts, so that a change that has lost often is retried sooner than
// others.
constexpr Duration kMaxConflictWait = std::chrono::milliseconds(320);
constexpr Duration kMinConflictWait = std::chrono::milliseconds(20);
constexpr unsigned kConflictsPerHalving = 3;
// The bound of the random wait after a platform failure doubles each time.
constexpr Duration kInitialFailureWait = std::chrono::milliseconds(20);
constexpr unsigned kMaxDoublings = 5;

bool HasDifference(const AuditEntry& entry,
                   std::string_view kinds,
                   std::string_view id) {
  return std::any_of(entry.difference.begin(), entry.difference.end(),
                     [&](const std::string& name) {
                       return kinds.find(name[0]) != std::string_view::npos &&
                              std::string_view(name).substr(1) == id;
                     });
}

// The kinds of difference that conflict with an operation on the same rule.
struct ConflictingKinds {
  std::string_view operator()(const AddRule&) const { return "+"; }
  std::string_view operator()(const MoveRule&) const { return "->"; }
  std::string_view operator()(const RetireRule&) const { return "-~"; }
  std::string_view operator()(const UpdateRule&) const { return "-~"; }
  std::string_view operator()(const ReplaceDocument&) const { return ""; }
};

// The rules that an operation positions its rule next to.
struct AnchorRules {
  std::vector<std::string> operator()(const AddRule& add) const {
    return {add.place.before, add.place.after};
  }
  std::vector<std::string> operator()(const MoveRule& move) const {
    return {move.place.before, move.place.after};
  }
  std::vector<std::string> operator()(const RetireRule&) const { return {}; }
  std::vector<std::string> operator()(const UpdateRule&) const { return {}; }
  std::vector<std::string> operator()(const ReplaceDocument&) const {
    return {};
  }
};

// Returns the entries above `base` that conflict with `operation`.
std::vector<AuditEntry> FindConflictingEntries(
    const Operation& operation,
    Generation base,
    std::span<const AuditEntry> trail) {
  const auto kinds = std::visit(ConflictingKinds{}, operation);
  const auto anchors = std::visit(AnchorRules{}, operation);
  std::vector<AuditEntry> rivals;
  for (const AuditEntry& entry : trail) {
    const bool anchor_removed = std::any_of(
        anchors.begin(), anchors.end(),
        [&](const std::string& id) { return HasDifference(entry, "-", id); });
    if (entry.generation_after > base &&
        (anchor_removed ||
         HasDifference(entry, kinds, TargetRuleId(operation)))) {
      rivals.push_back(entry);
    }
  }
  return rivals;
}

std::vector<AuditEntry> EntriesAbove(Generation base,
                                     std::span<const AuditEntry> trail) {
  std::vector<AuditEntry> newer;
  std::copy_if(
      trail.begin(), trail.end(), std::back_inserter(newer),
      [&](const AuditEntry& entry) { return entry.generation_after > base; });
  return newer;
}

AuditEntry MakeEntry(const ChangeRequest& request,
                     const HeadRead& read,
                     const RuleDocument& changed,
                     const std::vector<std::string>& difference,
                     const Snapshot& snapshot) {
  AuditEntry entry;
  entry.generation_before = read.head.generation;
  entry.generation_after = snapshot.generation;
  entry.operation_id = request.operation_id;
  entry.operation = Describe(request.operation);
  entry.who = request.author.who;
  entry.from = request.author.from;
  entry.when = FormatUtc(read.now);
  entry.reason = request.author.reason;
  entry.groups = AffectedGroups(read.document, changed, difference);
  entry.difference = difference;
  if (entry.difference.size() > kMaxDifferenceNames) {
    entry.difference_omitted = entry.difference.size() - kMaxDifferenceNames;
    entry.difference.resize(kMaxDifferenceNames);
  }
  entry.digest = snapshot.digest;
  return entry;
}

std::vector<std::string> NamesOf(std::span<const RulesChunk> chunks) {
  std::vector<std::string> names;
  for (const RulesChunk& chunk : chunks) {
    names.push_back(chunk.name);
  }
  return names;
}

// The chunks whose names are not in `known`, the previous head's list.
std::vector<RulesChunk> NewChunks(std::vector<RulesChunk> chunks,
                                  const std::vector<std::string>& known) {
  std::erase_if(chunks, [&](const RulesChunk& chunk) {
    return std::find(known.begin(), known.end(), chunk.name) != known.end();
  });
  return chunks;
}

}  // namespace

bool NeedsEntry(const ReadHead& action,
                const AuditEntry& entry,
                UnixSeconds now) {
  const bool newer =
      action.trail_above && entry.generation_after > *action.trail_above;
  return newer || InChangeWindow(entry, now);
}

bool IsNotMade(Outcome outcome) {
  return outcome != Outcome::kMade && outcome != Outcome::kUnchanged &&
         outcome != Outcome::kUnknown;
}

struct RuleChange::Visitor {
  RuleChange& change;
  Time now;

  ChangeAction operator()(HeadRead& read) {
    return change.OnHead(std::move(read), now);
  }
  ChangeAction operator()(const PartsWritten&) {
    return WriteHead{change.plan_->resource_version, change.plan_->head};
  }
  ChangeAction operator()(const HeadWritten&) {
    return ReportChange{Outcome::kMade,
                        change.plan_->head.generation,
                        change.plan_->difference,
                        {},
                        {},
                        {},
                        0,
                        change.attempts_};
  }
  ChangeAction operator()(const HeadConflict&) {
    return change.OnConflict(now);
  }
  ChangeAction operator()(const HeadOutcomeUnknown& unknown) {
    return change.OnUnknown(unknown.reason, now);
  }
  ChangeAction operator()(const PlatformUnavailable& unavailable) {
    return change.OnUnavailable(unavailable.reason, now);
  }
  ChangeAction operator()(const PlatformRefused& refused) {
    return change.MakeReport(Outcome::kNotMade, refused.reason);
  }
  ChangeAction operator()(const WaitOver&) { return change.MakeReadHead(); }
};

RuleChange::RuleChange(ChangeRequest request, std::uint64_t seed)
    : request_(std::move(request)), random_(seed) {}

ChangeAction RuleChange::Start(Time) {
  return MakeReadHead();
}

ChangeAction RuleChange::OnEvent(ChangeEvent event, Time now) {
  return std::visit(Visitor{*this, now}, event);
}

// On retries the trail must include this change's own entry and any conflicting
// ones, all of which are newer than the first generation read.
ReadHead RuleChange::MakeReadHead() const {
  return {first_generation_};
}

ChangeAction RuleChange::OnHead(HeadRead read, Time) {
  if (const AuditEntry* entry =
          FindOperation(read.trail, request_.operation_id)) {
    return ReportChange{Outcome::kMade,
                        entry->generation_after,
                        entry->difference,
                        {},
                        {},
                        {},
                        0,
                        attempts_};
  }
  ResolveUnknown(read);
  if (!first_generation_) {
    first_generation_ = read.head.generation;
    if (request_.expect_generation.value_or(read.head.generation) !=
        read.head.generation) {
      return MakeReport(
          Outcome::kConflict,
          fmt::format("generation {} is in force, not {}", read.head.generation,
                      *request_.expect_generation));
    }
  }
  ++attempts_;
  return PlanChange(std::move(read));
}

// A newer head without this change's entry means that its earlier write can no
// longer take effect.
void RuleChange::ResolveUnknown(const HeadRead& read) {
  if (unsettled_base_ && read.head.generation != *unsettled_base_) {
    unsettled_base_.reset();
  }
}

ChangeAction RuleChange::PlanChange(HeadRead read) {
  if (auto conflict = FindStaleBase(read)) {
    return std::move(*conflict);
  }
  if (auto conflict = FindConflict(read)) {
    return std::move(*conflict);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ChangeAction> {
        BOOST_LEAF_AUTO(changed,
                        ApplyOperation(read.document, request_.operation));
        return PlanWrite(read, changed);
      },
      [&](const OperationError& error) -> ChangeAction {
        return MakeReport(Outcome::kInvalid, error.reason);
      },
      [&](const ConfigError& error) -> ChangeAction {
        ReportChange report = MakeReport(
            Outcome::kInvalid, "the resulting rules would be invalid");
        report.faults = error.faults;
        return report;
      },
      [&]() -> ChangeAction {
        return MakeReport(Outcome::kInvalid, "the operation cannot be applied");
      });
}

// A whole document replaces only the generation that its author saw, unless
// forced.
std::optional<ReportChange> RuleChange::FindStaleBase(
    const HeadRead& read) const {
  const bool replaces_all =
      std::holds_alternative<ReplaceDocument>(request_.operation);
  if (!replaces_all || request_.force ||
      read.head.generation == *first_generation_) {
    return std::nullopt;
  }
  ReportChange report = MakeReport(
      Outcome::kConflict,
      fmt::format("the rules changed from generation {} to {} in the "
                  "meantime",
                  *first_generation_, read.head.generation));
  report.conflicting_entries = EntriesAbove(*first_generation_, read.trail);
  return report;
}

std::optional<ReportChange> RuleChange::FindConflict(
    const HeadRead& read) const {
  auto rivals = FindConflictingEntries(request_.operation, *first_generation_,
                                       read.trail);
  if (rivals.empty()) {
    return std::nullopt;
  }
  ReportChange report =
      MakeReport(Outcome::kConflict,
                 fmt::format("{} conflicts with a change made in the meantime",
                             Describe(request_.operation)));
  report.conflicting_entries = std::move(rivals);
  return report;
}

ChangeAction RuleChange::PlanWrite(const HeadRead& read,
                                   const RuleDocument& changed) {
  const auto difference =
      Difference(request_.operation, read.document, changed);
  if (difference.empty() && !read.resource_version.empty()) {
    // `MakeReport` turns this into `kUnknown` while an earlier write may still
    // take effect.
    ReportChange report = MakeReport(Outcome::kUnchanged, "");
    report.generation = read.head.generation;
    return report;
  }
  const Snapshot snapshot = MakeSnapshot(read.head.generation + 1, changed);
  auto chunks = SplitIntoChunks(snapshot.items);
  AuditEntry entry = MakeEntry(request_, read, changed, difference, snapshot);
  const auto excess =
      FindExceededQuota(read.document, entry.groups, read.trail, read.now);
  if (excess && !request_.exempt_from_quota) {
    return MakeReport(
        Outcome::kNotMade,
        fmt::format("group {} has made {} changes in the last minute; its "
                    "quota is {}",
                    excess->group, excess->made, excess->allowed));
  }
  Plan plan{read.resource_version, read.head, difference};
  plan.head.generation = snapshot.generation;
  plan.head.digest = snapshot.digest;
  plan.head.chunks = NamesOf(chunks);
  entry.splice = MakeSplice(read.head.chunks, plan.head.chunks);
  plan.head.audit.push_back(std::move(entry));
  auto page = SpillOldEntries(plan.head);
  if (RoughBytes(plan.head) > kMaxObjectBytes) {
    return MakeReport(Outcome::kInvalid, "the head would be too large");
  }
  plan_ = std::move(plan);
  return WriteParts{NewChunks(std::move(chunks), read.head.chunks),
                    std::move(page)};
}

ChangeAction RuleChange::OnConflict(Time now) {
  last_reason_ = "each attempt conflicted with another change";
  return RetryOrGiveUp(WaitAfterConflict(), now);
}

ChangeAction RuleChange::OnUnknown(const std::string& reason, Time now) {
  unsettled_base_ = plan_->head.generation - 1;
  last_reason_ = reason;
  return RetryOrGiveUp(WaitAfterFailure(), now);
}

ChangeAction RuleChange::OnUnavailable(const std::string& reason, Time now) {
  last_reason_ = reason;
  return RetryOrGiveUp(WaitAfterFailure(), now);
}

ChangeAction RuleChange::RetryOrGiveUp(Duration wait, Time now) {
  if (now + wait < request_.deadline) {
    return WaitBeforeRetry{wait};
  }
  return MakeReport(Outcome::kNotMade, last_reason_);
}

// Reports `kUnknown` instead of `outcome` while an earlier write of this change
// may still take effect.
ReportChange RuleChange::MakeReport(Outcome outcome, std::string reason) const {
  ReportChange report;
  report.outcome = unsettled_base_ ? Outcome::kUnknown : outcome;
  report.reason = std::move(reason);
  report.unsettled_base = unsettled_base_.value_or(0);
  report.attempts = attempts_;
  return report;
}

Duration RuleChange::WaitAfterConflict() {
  const unsigned halvings =
      std::min(conflicts_++ / kConflictsPerHalving, kMaxDoublings);
  return Jitter(std::max(kMinConflictWait, kMaxConflictWait / (1 << halvings)));
}

Duration RuleChange::WaitAfterFailure() {
  return Jitter(kInitialFailureWait *
                (1 << std::min(failures_++, kMaxDoublings)));
}

Duration RuleChange::Jitter(Duration bound) {
  boost::random::uniform_int_distribution<std::int64_t> wait(1, bound.count());
  return Duration(wait(random_));
}

LateOutcome ResolveOutcome(std::string_view operation_id,
                           Generation base,
                           Generation head,
                           std::span<const AuditEntry> trail) {
  if (FindOperation(trail, operation_id) != nullptr) {
    return LateOutcome::kMade;
  }
  return head > base ? LateOutcome::kNotMade : LateOutcome::kOpen;
}

}  // namespace verbenastile
