// What rules look at in a request, and whether one holds for it.
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

// What rules look at; the views must outlive the decision only.
struct RequestView {
  std::string_view group;
  std::string_view service;  // The logical service the caller asks for.
  std::string_view host;     // Lower case, without a port.
  std::string_view path;     // Without the query.
  std::string_view method;
  std::span<const HeaderView> headers;
};

// Whether `match` holds for `request`.
bool Matches(const RuleMatch& match, const RequestView& request);

}  // namespace verbenastile

#endif  // CORE_REQUEST_VIEW_H_
