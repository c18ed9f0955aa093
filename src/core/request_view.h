// The attributes of a request that rules match, and the matching itself.
#ifndef CORE_REQUEST_VIEW_H_
#define CORE_REQUEST_VIEW_H_

#include <span>
#include <string_view>

#include "config/rules.h"

namespace verbenastile {

// One header of a request; `name` is in lower case.
struct HeaderView {
  std::string_view name;
  std::string_view value;
};

// The attributes of a request that rules match. Does not own its strings.
struct RequestView {
  std::string_view group;
  std::string_view service;  // The logical service that the caller addresses.
  std::string_view host;     // Lower case, without a port.
  std::string_view path;     // Without the query.
  std::string_view method;
  std::span<const HeaderView> headers;
};

// Whether `request` fulfils all conditions of `match`. Empty ones always hold.
bool Matches(const RuleMatch& match, const RequestView& request);

}  // namespace verbenastile

#endif  // CORE_REQUEST_VIEW_H_
