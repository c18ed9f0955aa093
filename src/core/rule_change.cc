#include "core/rule_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "core/change_quota.h"

namespace verbenastile {
namespace {

using Outcome = ReportChange::Outcome;

// Bounds of the wait after a lost race, which shrinks, so that who has lost
// often goes first.
constexpr Duration kLongestRaceWait = std::chrono::milliseconds(320);
constexpr Duration kShortestRaceWait = std::chrono::milliseconds(20);
constexpr unsigned kRacesToHalve = 3;
// Bounds of the wait when the platform fails, which grows.
constexpr Duration kFirstFailureWait = std::chrono::milliseconds(20);
constexpr unsigned kMaxDoublings = 5;

bool Names(const AuditEntry& entry,
           std::string_view kinds,
           std::string_view id) {
  return std::any_of(entry.difference.begin(), entry.difference.end(),
                     [&](const std::string& name) {
                       return kinds.find(name[0]) != std::string_view::npos &&
                              std::string_view(name).substr(1) == id;
                     });
}

// Which kinds of difference at the same rule stand against an operation.
struct RivalKinds {
  std::string_view operator()(const AddRule&) const { return "+"; }
  std::string_view operator()(const MoveRule&) const { return "->"; }
  std::string_view operator()(const RetireRule&) const { return "-~"; }
  std::string_view operator()(const UpdateRule&) const { return "-~"; }
  std::string_view operator()(const ReplaceDocument&) const { return ""; }
};

// The rules that an operation needs to be there.
struct NeededRules {
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

// Entries above `base` that stand against `operation`.
std::vector<AuditEntry> FindRivals(const Operation& operation,
                                   Generation base,
                                   std::span<const AuditEntry> trail) {
  const auto kinds = std::visit(RivalKinds{}, operation);
  const auto needed = std::visit(NeededRules{}, operation);
  std::vector<AuditEntry> rivals;
  for (const AuditEntry& entry : trail) {
    const bool anchor_gone = std::any_of(
        needed.begin(), needed.end(),
        [&](const std::string& id) { return Names(entry, "-", id); });
    if (entry.generation_after > base &&
        (anchor_gone || Names(entry, kinds, RuleOf(operation)))) {
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
  entry.groups = TouchedGroups(read.document, changed, difference);
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

// Chunks that the head before does not name.
std::vector<RulesChunk> NewChunks(std::vector<RulesChunk> chunks,
                                  const std::vector<std::string>& known) {
  std::erase_if(chunks, [&](const RulesChunk& chunk) {
    return std::find(known.begin(), known.end(), chunk.name) != known.end();
  });
  return chunks;
}

}  // namespace

bool NeedsEntry(const ReadHead& wanted,
                const AuditEntry& entry,
                UnixSeconds now) {
  const bool newer =
      wanted.trail_above && entry.generation_after > *wanted.trail_above;
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
    return change.Refuse(Outcome::kNotMade, refused.reason);
  }
  ChangeAction operator()(const WaitOver&) { return change.MakeRead(); }
};

RuleChange::RuleChange(ChangeRequest request, std::uint64_t seed)
    : request_(std::move(request)), random_(seed) {}

ChangeAction RuleChange::Start(Time) {
  return MakeRead();
}

ChangeAction RuleChange::OnEvent(ChangeEvent event, Time now) {
  return std::visit(Visitor{*this, now}, event);
}

// The trail has to show our own entry and every rival's.
ReadHead RuleChange::MakeRead() const {
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
  SettleUnknown(read);
  if (!first_generation_) {
    first_generation_ = read.head.generation;
    if (request_.expect_generation.value_or(read.head.generation) !=
        read.head.generation) {
      return Refuse(
          Outcome::kConflict,
          fmt::format("generation {} is in force, not {}", read.head.generation,
                      *request_.expect_generation));
    }
  }
  ++attempts_;
  return PlanChange(std::move(read));
}

// A newer head without our entry means that our write can never take effect.
void RuleChange::SettleUnknown(const HeadRead& read) {
  if (unsettled_base_ && read.head.generation != *unsettled_base_) {
    unsettled_base_.reset();
  }
}

ChangeAction RuleChange::PlanChange(HeadRead read) {
  if (auto conflict = FindMovedBase(read)) {
    return std::move(*conflict);
  }
  if (auto conflict = FindConflict(read)) {
    return std::move(*conflict);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ChangeAction> {
        BOOST_LEAF_AUTO(changed,
                        ApplyOperation(read.document, request_.operation));
        return Build(read, changed);
      },
      [&](const OperationError& error) -> ChangeAction {
        return Refuse(Outcome::kInvalid, error.reason);
      },
      [&](const ConfigError& error) -> ChangeAction {
        ReportChange report =
            Refuse(Outcome::kInvalid, "the outcome would have faults");
        report.faults = error.faults;
        return report;
      },
      [&]() -> ChangeAction {
        return Refuse(Outcome::kInvalid, "the operation cannot be applied");
      });
}

// A whole document is meant for the generation that its author saw.
std::optional<ReportChange> RuleChange::FindMovedBase(
    const HeadRead& read) const {
  const bool whole =
      std::holds_alternative<ReplaceDocument>(request_.operation);
  if (!whole || request_.force || read.head.generation == *first_generation_) {
    return std::nullopt;
  }
  ReportChange report =
      Refuse(Outcome::kConflict,
             fmt::format("the rules went from generation {} to {} meanwhile",
                         *first_generation_, read.head.generation));
  report.rivals = EntriesAbove(*first_generation_, read.trail);
  return report;
}

std::optional<ReportChange> RuleChange::FindConflict(
    const HeadRead& read) const {
  auto rivals = FindRivals(request_.operation, *first_generation_, read.trail);
  if (rivals.empty()) {
    return std::nullopt;
  }
  ReportChange report =
      Refuse(Outcome::kConflict,
             fmt::format("{} meets another change that was made meanwhile",
                         Describe(request_.operation)));
  report.rivals = std::move(rivals);
  return report;
}

ChangeAction RuleChange::Build(const HeadRead& read,
                               const RuleDocument& changed) {
  const auto difference =
      Difference(request_.operation, read.document, changed);
  if (difference.empty() && !read.resource_version.empty()) {
    // While a write of ours is open, even this is not the last word.
    ReportChange report = Refuse(Outcome::kUnchanged, "");
    report.generation = read.head.generation;
    return report;
  }
  const Snapshot snapshot = MakeSnapshot(read.head.generation + 1, changed);
  auto chunks = SplitIntoChunks(snapshot.items);
  AuditEntry entry = MakeEntry(request_, read, changed, difference, snapshot);
  const auto excess =
      FindChangeExcess(read.document, entry.groups, read.trail, read.now);
  if (excess && !request_.exempt_from_rate) {
    return Refuse(
        Outcome::kNotMade,
        fmt::format("group {} has made {} changes in the last minute, its "
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
    return Refuse(Outcome::kInvalid, "the head would be too large");
  }
  plan_ = std::move(plan);
  return WriteParts{NewChunks(std::move(chunks), read.head.chunks),
                    std::move(page)};
}

ChangeAction RuleChange::OnConflict(Time now) {
  last_reason_ = "other operators changed the rules each time";
  return RetryOrGiveUp(WaitAfterRace(), now);
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
  return Refuse(Outcome::kNotMade, last_reason_);
}

// Turns into "not known" while a write of ours may still take effect.
ReportChange RuleChange::Refuse(Outcome outcome, std::string reason) const {
  ReportChange report;
  report.outcome = unsettled_base_ ? Outcome::kUnknown : outcome;
  report.reason = std::move(reason);
  report.unsettled_base = unsettled_base_.value_or(0);
  report.attempts = attempts_;
  return report;
}

Duration RuleChange::WaitAfterRace() {
  const unsigned halvings = std::min(races_++ / kRacesToHalve, kMaxDoublings);
  return Jitter(
      std::max(kShortestRaceWait, kLongestRaceWait / (1 << halvings)));
}

Duration RuleChange::WaitAfterFailure() {
  return Jitter(kFirstFailureWait *
                (1 << std::min(failures_++, kMaxDoublings)));
}

Duration RuleChange::Jitter(Duration bound) {
  boost::random::uniform_int_distribution<std::int64_t> wait(1, bound.count());
  return Duration(wait(random_));
}

LateOutcome OutcomeOf(std::string_view operation_id,
                      Generation base,
                      Generation head,
                      std::span<const AuditEntry> trail) {
  if (FindOperation(trail, operation_id) != nullptr) {
    return LateOutcome::kMade;
  }
  return head > base ? LateOutcome::kNotMade : LateOutcome::kOpen;
}

}  // namespace verbenastile
