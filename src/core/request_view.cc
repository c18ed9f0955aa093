#include "core/request_view.h"

#include <algorithm>

namespace verbenastile {
namespace {

bool MatchesText(const std::string& wanted, std::string_view actual) {
  return wanted.empty() || wanted == actual;
}

bool HasHeader(const RequestView& request, const HeaderMatch& wanted) {
  return std::any_of(request.headers.begin(), request.headers.end(),
                     [&](const HeaderView& header) {
                       return header.name == wanted.name &&
                              header.value == wanted.value;
                     });
}

}  // namespace

bool Matches(const RuleMatch& match, const RequestView& request) {
  return MatchesText(match.group, request.group) &&
         MatchesText(match.service, request.service) &&
         MatchesText(match.host, request.host) &&
         MatchesText(match.method, request.method) &&
         request.path.starts_with(match.path_prefix) &&
         std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const HeaderMatch& header) {
                       return HasHeader(request, header);
                     });
}

}  // namespace verbenastile
