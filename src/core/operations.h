// Changes to the rules as operations on a document. An operation can be applied
// again to a newer document after a conflicting write.
#ifndef CORE_OPERATIONS_H_
#define CORE_OPERATIONS_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/rules.h"

namespace verbenastile {

// The position for a rule: before the rule `before`, after the rule `after`, or
// at the end if both are empty.
struct RulePlace {
  std::string before;
  std::string after;
};

struct AddRule {
  Rule rule;
  RulePlace place;
};

struct MoveRule {
  std::string id;
  RulePlace place;
};

struct RetireRule {
  std::string id;
};

// Replaces the rule of the same id, keeping its position.
struct UpdateRule {
  Rule rule;
};

// Replaces the whole document. `name` describes the operation in the audit
// trail, such as "apply" or "rollback to 7".
struct ReplaceDocument {
  RuleDocument document;
  std::string name = "apply";
};

using Operation =
    std::variant<AddRule, MoveRule, RetireRule, UpdateRule, ReplaceDocument>;

// The operation cannot be applied to the current document.
struct OperationError {
  std::string reason;
};

// Returns `document` with `operation` applied. Errors: `OperationError` when a
// rule that the operation refers to does not exist, or the rule to add already
// does; `ConfigError` when the resulting document is invalid.
leaf::result<RuleDocument> ApplyOperation(const RuleDocument& document,
                                          const Operation& operation);

// The id of the rule that `operation` changes; empty for `ReplaceDocument`.
std::string_view TargetRuleId(const Operation& operation);

// A short description for the audit trail, such as "add pay".
std::string Describe(const Operation& operation);

// Lists the differences between `before` and `after`: "+ID" for an added rule,
// "-ID" removed, "~ID" modified, ">ID" moved. Services and groups appear as
// "service NAME" and "group NAME".
std::vector<std::string> Difference(const RuleDocument& before,
                                    const RuleDocument& after);

// Like the overload above, except that a `MoveRule` always lists the rule that
// it moved. Positions alone cannot tell which of two neighbours moved.
std::vector<std::string> Difference(const Operation& operation,
                                    const RuleDocument& before,
                                    const RuleDocument& after);

// The groups affected by a change, sorted: owners of rules that were added,
// removed, modified or moved, and groups whose own definition changed.
// `difference` is the result of `Difference` for the two documents.
std::vector<std::string> AffectedGroups(
    const RuleDocument& before,
    const RuleDocument& after,
    const std::vector<std::string>& difference);

}  // namespace verbenastile

#endif  // CORE_OPERATIONS_H_
