// Who may make changing calls at a node's admin address.
#ifndef CORE_ADMIN_ACCESS_H_
#define CORE_ADMIN_ACCESS_H_

#include <string_view>

namespace verbenastile {

enum class AccessVerdict {
  kAllowed,
  kTokenMissing,  // 401
  kTokenWrong,    // 403
};

// One changing call. `authorization` is the header's value, empty when there
// is none.
struct AccessQuery {
  bool from_loopback = false;
  std::string_view authorization;
};

// With a token, every changing call needs it as "Bearer TOKEN". Without one,
// calls from loopback addresses are allowed and all others are not.
AccessVerdict CheckAdminAccess(const AccessQuery& query,
                               std::string_view token);

// Whether the texts are equal; the time taken depends on their lengths alone.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace verbenastile

#endif  // CORE_ADMIN_ACCESS_H_
