// Access control for requests to a node's admin address that change its state.
#ifndef CORE_ADMIN_ACCESS_H_
#define CORE_ADMIN_ACCESS_H_

#include <string_view>

namespace verbenastile {

enum class AccessVerdict {
  kAllowed,
  kTokenMissing,  // HTTP status 401.
  kTokenWrong,    // HTTP status 403.
};

// A request that changes the node's state. `authorization` is the value of the
// Authorization header, or empty.
struct AccessQuery {
  bool from_loopback = false;
  std::string_view authorization;
};

// If `token` is set, every such request must carry it as "Bearer TOKEN".
// Otherwise, only requests from loopback addresses are allowed.
AccessVerdict CheckAdminAccess(const AccessQuery& query,
                               std::string_view token);

// Compares two strings in time that depends only on their lengths, so that
// timing reveals nothing about the token.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace verbenastile

#endif  // CORE_ADMIN_ACCESS_H_
