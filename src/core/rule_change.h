// A state machine for one change of the accepted rules. It reads the head,
// applies an operation, and writes the new head with a conditional update. At
// any time it knows whether the change was made, was not made, or may still be
// made.
//
// A write whose response was lost may take effect late, but, since the update
// is conditional, only while the head is still the one that the write was based
// on. The state machine remembers that base generation until a later head
// decides the outcome: the change was made if its operation id is in the audit
// trail, and cannot be made any more if there is a newer generation without it.
#ifndef CORE_RULE_CHANGE_H_
#define CORE_RULE_CHANGE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/audit_trail.h"
#include "core/operations.h"
#include "core/rules_head.h"
#include "core/utc_time.h"

namespace verbenastile {

// Who makes a change, and why; written to the audit trail.
struct ChangeAuthor {
  std::string who;
  std::string from;
  std::string reason;
};

// The change to make. The defaults suit an operation on a single rule.
struct ChangeRequest {
  Operation operation;
  std::string operation_id;
  ChangeAuthor author;
  // Fail unless the first head read has this generation.
  std::optional<Generation> expect_generation;
  // `ReplaceDocument` only: also overwrite generations that were accepted after
  // the first read.
  bool force = false;
  // Skip the check against the groups' quotas of changes per minute.
  bool exempt_from_quota = false;
  // When to stop retrying. With the default, only one attempt is made.
  Time deadline{};
};

// Events: the results of actions, passed to `RuleChange::OnEvent`.
struct HeadRead {
  std::string resource_version;  // Empty if there is no head yet.
  RulesHead head;
  RuleDocument document;
  // At least the requested entries and those of the last minute, newest last.
  std::vector<AuditEntry> trail;
  UnixSeconds now = 0;  // The tool's wall clock.
};
struct PartsWritten {};
struct HeadWritten {};
struct HeadConflict {};  // The head changed since it was read.
// The write of the head was sent, but no response arrived.
struct HeadOutcomeUnknown {
  std::string reason;
};
// Nothing was written: the platform is unreachable or asked to retry later.
// Also covers a lost response to `WriteParts`, because the names of those
// objects are derived from their content and writing them again is harmless.
struct PlatformUnavailable {
  std::string reason;
};
// The platform rejected the request; a retry would not succeed.
struct PlatformRefused {
  std::string reason;
};
struct WaitOver {};

using ChangeEvent = std::variant<HeadRead,
                                 PartsWritten,
                                 HeadWritten,
                                 HeadConflict,
                                 HeadOutcomeUnknown,
                                 PlatformUnavailable,
                                 PlatformRefused,
                                 WaitOver>;

// Actions for the caller to perform. Each action but `ReportChange` results in
// exactly one event.
struct ReadHead {
  // Read the entries above this generation, besides those of the last minute.
  std::optional<Generation> trail_above;
};
// Whether `entry` is needed for `action`. The caller checks entries from the
// newest to the oldest and stops at the first that is not needed.
bool NeedsEntry(const ReadHead& action,
                const AuditEntry& entry,
                UnixSeconds now);

// Create the objects that the new head refers to.
struct WriteParts {
  std::vector<RulesChunk> chunks;
  std::optional<AuditPage> page;
};
struct WriteHead {
  std::string resource_version;  // Empty to create the head.
  RulesHead head;
};
struct WaitBeforeRetry {
  Duration duration{0};
};
// The change has ended with this outcome.
struct ReportChange {
  enum class Outcome {
    kMade,       // Made exactly once, in force from `generation`.
    kUnchanged,  // No difference to the accepted rules; nothing written.
    kConflict,   // Not made: it conflicts with another change.
    kInvalid,    // Not made: the operation or its result is invalid.
    kNotMade,    // Not made: platform failure, conflicts until the
                 // deadline, or an exhausted quota.
    kUnknown,    // May still be made, while `unsettled_base` is in force.
  };

  Outcome outcome = Outcome::kNotMade;
  Generation generation = 0;
  std::vector<std::string> difference;
  std::string reason;
  std::vector<AuditEntry> conflicting_entries;  // The conflicting changes.
  std::vector<ConfigFault> faults;              // Set for `kInvalid`.
  Generation unsettled_base = 0;                // Set for `kUnknown`.
  unsigned attempts = 0;
};

using ChangeAction = std::
    variant<ReadHead, WriteParts, WriteHead, WaitBeforeRetry, ReportChange>;

// Whether `outcome` means that this operation was not and will not be made.
bool IsNotMade(ReportChange::Outcome outcome);

class RuleChange {
 public:
  RuleChange(ChangeRequest request, std::uint64_t seed);

  // Returns the first action.
  ChangeAction Start(Time now);
  // Returns the next action after the previous one resulted in `event`.
  ChangeAction OnEvent(ChangeEvent event, Time now);

  const std::string& operation_id() const { return request_.operation_id; }

 private:
  // The head to write, and the resource version that the write is based on.
  struct Plan {
    std::string resource_version;
    RulesHead head;
    std::vector<std::string> difference;
  };
  struct Visitor;

  ChangeAction OnHead(HeadRead read, Time now);
  ChangeAction PlanChange(HeadRead read);
  ChangeAction PlanWrite(const HeadRead& read, const RuleDocument& changed);
  ChangeAction OnConflict(Time now);
  ChangeAction OnUnknown(const std::string& reason, Time now);
  ChangeAction OnUnavailable(const std::string& reason, Time now);
  ChangeAction RetryOrGiveUp(Duration wait, Time now);
  std::optional<ReportChange> FindConflict(const HeadRead& read) const;
  std::optional<ReportChange> FindStaleBase(const HeadRead& read) const;
  void ResolveUnknown(const HeadRead& read);
  ReportChange MakeReport(ReportChange::Outcome outcome,
                          std::string reason) const;
  ReadHead MakeReadHead() const;
  Duration WaitAfterConflict();
  Duration WaitAfterFailure();
  Duration Jitter(Duration bound);

  ChangeRequest request_;
  std::mt19937_64 random_;
  std::optional<Generation> first_generation_;
  // The base generation of a write of this change that may still take effect.
  std::optional<Generation> unsettled_base_;
  std::optional<Plan> plan_;
  std::string last_reason_;
  unsigned attempts_ = 0;
  unsigned conflicts_ = 0;
  unsigned failures_ = 0;
};

// The outcome of an operation that was first reported as `kUnknown`, from a
// later read of the head. `kOpen`: it may still be made.
enum class LateOutcome { kMade, kNotMade, kOpen };

// `base` is the generation that the operation's write was based on, `head` the
// newest generation, and `trail` holds the entries above `base`.
LateOutcome ResolveOutcome(std::string_view operation_id,
                           Generation base,
                           Generation head,
                           std::span<const AuditEntry> trail);

}  // namespace verbenastile

#endif  // CORE_RULE_CHANGE_H_
