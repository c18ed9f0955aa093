// One change of the accepted rules, as a state machine: it reads the head,
// applies an operation, writes under a conditional update, and knows at each
// moment whether the change was made, was not made, or may still be made.
//
// A write whose answer was lost may take effect late, but only while the head
// is the one that it was based on: the update is conditional. So the machine
// remembers that base until a later head settles the question, either by the
// operation's id in the trail or by another generation without it.
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

// What is asked for. The defaults suit a single operation.
struct ChangeRequest {
  Operation operation;
  std::string operation_id;
  ChangeAuthor author;
  // Refuse unless this is the generation in force at first sight.
  std::optional<Generation> expect_generation;
  // `ReplaceDocument` only: take the place of newer generations too.
  bool force = false;
  // Whether the changes per minute of each group are counted.
  bool exempt_from_rate = false;
  // When to give up; the zero time makes a single attempt.
  Time deadline{};
};

// What happened, for `RuleChange::OnEvent`.
struct HeadRead {
  std::string resource_version;  // Empty: there is no head yet.
  RulesHead head;
  RuleDocument document;
  // The entries that were asked for and those of the last minute at least;
  // newest last.
  std::vector<AuditEntry> trail;
  UnixSeconds now = 0;  // The tool's wall clock.
};
struct PartsWritten {};
struct HeadWritten {};
struct HeadConflict {};  // The head is another one by now.
// The write of the head was sent and not answered.
struct HeadOutcomeUnknown {
  std::string reason;
};
// Nothing was done: the platform cannot be reached or asks to come later. For
// parts, whose names are made from content, a lost answer counts as this too.
struct PlatformUnavailable {
  std::string reason;
};
// The platform will not do it, now or later.
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

// What to do next. Exactly one event answers each action but `ReportChange`.
struct ReadHead {
  // Entries above this generation are needed, besides those of the last minute.
  std::optional<Generation> trail_above;
};
// Whether `entry` belongs into the answer to `wanted`; entries are offered from
// the newest on, until the first that does not.
bool NeedsEntry(const ReadHead& wanted,
                const AuditEntry& entry,
                UnixSeconds now);

struct WriteParts {
  std::vector<RulesChunk> chunks;
  std::optional<AuditPage> page;
};
struct WriteHead {
  std::string resource_version;  // Empty: create it.
  RulesHead head;
};
struct WaitBeforeRetry {
  Duration duration{0};
};
// The end.
struct ReportChange {
  enum class Outcome {
    kMade,       // In force from `generation` on; once, whatever was lost.
    kUnchanged,  // The rules are like that already; nothing was written.
    kConflict,   // Not made: another change stands against it.
    kInvalid,    // Not made: the outcome would have faults.
    kNotMade,    // Not made: the platform, or too many lost races.
    kUnknown,    // May still be made; see `unsettled_base`.
  };

  Outcome outcome = Outcome::kNotMade;
  Generation generation = 0;
  std::vector<std::string> difference;
  std::string reason;
  std::vector<AuditEntry> rivals;   // The other side of a conflict.
  std::vector<ConfigFault> faults;  // Of `kInvalid`.
  Generation unsettled_base = 0;    // Of `kUnknown`.
  unsigned attempts = 0;
};

using ChangeAction = std::
    variant<ReadHead, WriteParts, WriteHead, WaitBeforeRetry, ReportChange>;

// Whether `outcome` says that the change is not in force by this operation.
bool IsNotMade(ReportChange::Outcome outcome);

class RuleChange {
 public:
  RuleChange(ChangeRequest request, std::uint64_t seed);

  // The first action.
  ChangeAction Start(Time now);
  ChangeAction OnEvent(ChangeEvent event, Time now);

  const std::string& operation_id() const { return request_.operation_id; }

 private:
  // The head that the next write is based on, and what is to be written.
  struct Plan {
    std::string resource_version;
    RulesHead head;
    std::vector<std::string> difference;
  };
  struct Visitor;

  ChangeAction OnHead(HeadRead read, Time now);
  ChangeAction PlanChange(HeadRead read);
  ChangeAction Build(const HeadRead& read, const RuleDocument& changed);
  ChangeAction OnConflict(Time now);
  ChangeAction OnUnknown(const std::string& reason, Time now);
  ChangeAction OnUnavailable(const std::string& reason, Time now);
  ChangeAction RetryOrGiveUp(Duration wait, Time now);
  std::optional<ReportChange> FindConflict(const HeadRead& read) const;
  std::optional<ReportChange> FindMovedBase(const HeadRead& read) const;
  void SettleUnknown(const HeadRead& read);
  ReportChange Refuse(ReportChange::Outcome outcome, std::string reason) const;
  ReadHead MakeRead() const;
  Duration WaitAfterRace();
  Duration WaitAfterFailure();
  Duration Jitter(Duration bound);

  ChangeRequest request_;
  std::mt19937_64 random_;
  std::optional<Generation> first_generation_;
  // The base of a write of ours that may still take effect.
  std::optional<Generation> unsettled_base_;
  std::optional<Plan> plan_;
  std::string last_reason_;
  unsigned attempts_ = 0;
  unsigned races_ = 0;
  unsigned failures_ = 0;
};

// What a later look says about an operation that was reported as not known.
enum class LateOutcome { kMade, kNotMade, kOpen };

// `trail` holds the entries above generation `base`, which the write was based
// on; `head` is the newest generation.
LateOutcome OutcomeOf(std::string_view operation_id,
                      Generation base,
                      Generation head,
                      std::span<const AuditEntry> trail);

}  // namespace verbenastile

#endif  // CORE_RULE_CHANGE_H_
