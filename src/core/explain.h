// Why a request is decided by one rule and passed over by others.
#ifndef CORE_EXPLAIN_H_
#define CORE_EXPLAIN_H_

#include <string>
#include <vector>

#include "core/route_table.h"

namespace verbenastile {

// A rule that did not match, and the first reason why.
struct PassedOver {
  std::string id;
  std::string reason;
};

struct Explanation {
  std::vector<PassedOver> passed_over;  // In the order of the rules.
  const Rule* decides = nullptr;        // Null: no rule matches.
};

// Why `match` does not hold for `request`; empty when it holds.
std::string WhyNot(const RuleMatch& match, const RequestView& request);

// Valid while `document` is.
Explanation Explain(const RuleDocument& document, const RequestView& request);

}  // namespace verbenastile

#endif  // CORE_EXPLAIN_H_
