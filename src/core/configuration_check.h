// Checks a configuration before it is sent: entries that never match, limits
// that contradict each other, and what differs from another configuration.
// Errors that make it invalid are found by `FindFaults` (config/rules.h).
#ifndef CORE_CONFIGURATION_CHECK_H_
#define CORE_CONFIGURATION_CHECK_H_

#include <string>
#include <vector>

#include "config/rules.h"

namespace verbenastile {

// One finding; names the rule, group or service that it is about. Keys of
// groups never appear in it.
struct ConfigurationFinding {
  std::string subject;  // Such as "rule payments".
  std::string text;

  bool operator==(const ConfigurationFinding&) const = default;
};

// Entries without effect: rules behind ones that match all of their requests,
// targets of weight 0, services that no rule routes to, groups that no caller
// can prove to belong to.
std::vector<ConfigurationFinding> FindUnusedEntries(
    const RuleDocument& document);

// Limits that cannot hold together, or that make each other pointless.
std::vector<ConfigurationFinding> FindContradictions(
    const RuleDocument& document);

// What changes from `before` to `after`, in the order services, groups, rules.
std::vector<ConfigurationFinding> FindDifferences(const RuleDocument& before,
                                                  const RuleDocument& after);

}  // namespace verbenastile

#endif  // CORE_CONFIGURATION_CHECK_H_
