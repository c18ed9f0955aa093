#include "core/request_view.h"

#include <algorithm>

namespace verbenastile {
namespace {

bool MatchesIfSet(const std::string& expected, std::string_view actual) {
  return expected.empty() || expected == actual;
}

bool HasHeader(const RequestView& request, const HeaderMatch& expected) {
  return std::any_of(request.headers.begin(), request.headers.end(),
                     [&](const HeaderView& header) {
                       return header.name == expected.name &&
                              header.value == expected.value;
                     });
}

}  // namespace

bool Matches(const RuleMatch& match, const RequestView& request) {
  return MatchesIfSet(match.group, request.group) &&
         MatchesIfSet(match.service, request.service) &&
         MatchesIfSet(match.host, request.host) &&
         MatchesIfSet(match.method, request.method) &&
         request.path.starts_with(match.path_prefix) &&
         std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const HeaderMatch& header) {
                       return HasHeader(request, header);
                     });
}

}  // namespace verbenastile
