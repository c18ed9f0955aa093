#include "core/admin_access.h"

#include <cstddef>

namespace verbenastile {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return difference == 0;
}

AccessVerdict CheckAdminAccess(const AccessQuery& query,
                               std::string_view token) {
  if (token.empty()) {
    return query.from_loopback ? AccessVerdict::kAllowed
                               : AccessVerdict::kTokenMissing;
  }
  if (!query.authorization.starts_with(kScheme)) {
    return AccessVerdict::kTokenMissing;
  }
  return EqualInConstantTime(query.authorization.substr(kScheme.size()), token)
             ? AccessVerdict::kAllowed
             : AccessVerdict::kTokenWrong;
}

}  // namespace verbenastile
