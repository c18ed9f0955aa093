// Changes of the rules by operators, as operations on a document that can be
// tried again on a newer one.
#ifndef CORE_OPERATIONS_H_
#define CORE_OPERATIONS_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/rules.h"

namespace verbenastile {

// Where a rule goes: before the rule `before`, after the rule `after`, or,
// with neither, to the end.
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

// Replaces the rule of the same id; it keeps its place.
struct UpdateRule {
  Rule rule;
};

// Replaces the whole document. `name` says where it came from, such as "apply"
// or "rollback to 7".
struct ReplaceDocument {
  RuleDocument document;
  std::string name = "apply";
};

using Operation =
    std::variant<AddRule, MoveRule, RetireRule, UpdateRule, ReplaceDocument>;

// An operation that cannot be applied to the document as it is.
struct OperationError {
  std::string reason;
};

// `document` after `operation`. Errors: `OperationError` when a rule that it
// names is gone or is there already; `ConfigError` when the outcome has
// faults.
leaf::result<RuleDocument> ApplyOperation(const RuleDocument& document,
                                          const Operation& operation);

// The rule that `operation` is about; empty for `ReplaceDocument`.
std::string_view RuleOf(const Operation& operation);

// A short name such as "add pay".
std::string Describe(const Operation& operation);

// What changed from `before` to `after`: "+ID" added, "-ID" gone, "~ID" other
// content, ">ID" moved. Services and groups are named "service NAME" and
// "group NAME".
std::vector<std::string> Difference(const RuleDocument& before,
                                    const RuleDocument& after);

// As `Difference`; a move names the rule that was moved, never its neighbour.
std::vector<std::string> Difference(const Operation& operation,
                                    const RuleDocument& before,
                                    const RuleDocument& after);

// The owners of the rules and the groups that differ, sorted. `difference` is
// what `Difference` gave for the two.
std::vector<std::string> TouchedGroups(
    const RuleDocument& before,
    const RuleDocument& after,
    const std::vector<std::string>& difference);

}  // namespace verbenastile

#endif  // CORE_OPERATIONS_H_
