// Explains which rule matches a request, and why the rules before it do not.
#ifndef CORE_EXPLAIN_H_
#define CORE_EXPLAIN_H_

#include <string>
#include <vector>

#include "core/route_table.h"

namespace verbenastile {

// A rule that does not match, with the first condition that fails.
struct SkippedRule {
  std::string id;
  std::string reason;
};

struct Explanation {
  std::vector<SkippedRule> skipped_rules;  // In rule order.
  const Rule* matching_rule = nullptr;     // Null when no rule matches.
};

// Returns why `request` does not satisfy `match`; empty when it does.
std::string MismatchReason(const RuleMatch& match, const RequestView& request);

// The result points into `document` and must not outlive it.
Explanation Explain(const RuleDocument& document, const RequestView& request);

}  // namespace verbenastile

#endif  // CORE_EXPLAIN_H_
