#include "core/explain.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenastile {
namespace {

std::string DescribeMismatch(std::string_view condition,
                             std::string_view expected,
                             std::string_view actual) {
  return fmt::format("{} is \"{}\", not \"{}\"", condition, actual, expected);
}

const HeaderView* FindHeader(const RequestView& request,
                             std::string_view name) {
  const auto found = std::find_if(
      request.headers.begin(), request.headers.end(),
      [&](const HeaderView& header) { return header.name == name; });
  return found == request.headers.end() ? nullptr : &*found;
}

std::string DescribeHeaderMismatch(const HeaderMatch& expected,
                                   const RequestView& request) {
  const HeaderView* header = FindHeader(request, expected.name);
  if (header == nullptr) {
    return fmt::format("there is no header {}", expected.name);
  }
  return DescribeMismatch("header " + expected.name, expected.value,
                          header->value);
}

}  // namespace

std::string MismatchReason(const RuleMatch& match, const RequestView& request) {
  struct Condition {
    std::string_view name;
    std::string_view expected;
    std::string_view actual;
  };
  const Condition conditions[] = {{"group", match.group, request.group},
                                  {"service", match.service, request.service},
                                  {"host", match.host, request.host},
                                  {"method", match.method, request.method}};
  for (const Condition& condition : conditions) {
    if (!condition.expected.empty() && condition.expected != condition.actual) {
      return DescribeMismatch(condition.name, condition.expected,
                              condition.actual);
    }
  }
  if (!request.path.starts_with(match.path_prefix)) {
    return fmt::format("path \"{}\" does not begin with \"{}\"", request.path,
                       match.path_prefix);
  }
  for (const HeaderMatch& header : match.headers) {
    RuleMatch single;
    single.headers = {header};
    if (!Matches(single, request)) {
      return DescribeHeaderMismatch(header, request);
    }
  }
  return {};
}

Explanation Explain(const RuleDocument& document, const RequestView& request) {
  Explanation explanation;
  for (const Rule& rule : document.rules) {
    std::string reason = MismatchReason(rule.match, request);
    if (reason.empty()) {
      explanation.matching_rule = &rule;
      break;
    }
    explanation.skipped_rules.push_back({rule.id, std::move(reason)});
  }
  return explanation;
}

}  // namespace verbenastile
