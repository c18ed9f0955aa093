#include "core/explain.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenastile {
namespace {

std::string Mismatch(std::string_view part,
                     std::string_view wanted,
                     std::string_view actual) {
  return fmt::format("{} is \"{}\", not \"{}\"", part, actual, wanted);
}

const HeaderView* FindHeaderView(const RequestView& request,
                                 std::string_view name) {
  const auto found = std::find_if(
      request.headers.begin(), request.headers.end(),
      [&](const HeaderView& header) { return header.name == name; });
  return found == request.headers.end() ? nullptr : &*found;
}

std::string WhyNotHeader(const HeaderMatch& wanted,
                         const RequestView& request) {
  const HeaderView* header = FindHeaderView(request, wanted.name);
  if (header == nullptr) {
    return fmt::format("there is no header {}", wanted.name);
  }
  return Mismatch("header " + wanted.name, wanted.value, header->value);
}

}  // namespace

std::string WhyNot(const RuleMatch& match, const RequestView& request) {
  struct Part {
    std::string_view name;
    std::string_view wanted;
    std::string_view actual;
  };
  const Part parts[] = {{"group", match.group, request.group},
                        {"service", match.service, request.service},
                        {"host", match.host, request.host},
                        {"method", match.method, request.method}};
  for (const Part& part : parts) {
    if (!part.wanted.empty() && part.wanted != part.actual) {
      return Mismatch(part.name, part.wanted, part.actual);
    }
  }
  if (!request.path.starts_with(match.path_prefix)) {
    return fmt::format("path \"{}\" does not begin with \"{}\"", request.path,
                       match.path_prefix);
  }
  for (const HeaderMatch& header : match.headers) {
    RuleMatch alone;
    alone.headers = {header};
    if (!Matches(alone, request)) {
      return WhyNotHeader(header, request);
    }
  }
  return {};
}

Explanation Explain(const RuleDocument& document, const RequestView& request) {
  Explanation explanation;
  for (const Rule& rule : document.rules) {
    std::string reason = WhyNot(rule.match, request);
    if (reason.empty()) {
      explanation.decides = &rule;
      break;
    }
    explanation.passed_over.push_back({rule.id, std::move(reason)});
  }
  return explanation;
}

}  // namespace verbenastile
