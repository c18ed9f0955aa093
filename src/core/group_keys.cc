#include "core/group_keys.h"

namespace verbenastile {

GroupKeys::GroupKeys(std::span<const Group> groups) {
  for (std::size_t i = 0; i < groups.size(); ++i) {
    for (const std::string& key : groups[i].keys) {
      group_by_key_.emplace(DigestOf(key), static_cast<std::uint32_t>(i));
    }
  }
}

std::optional<std::size_t> GroupKeys::Find(std::string_view key) const {
  const auto found = group_by_key_.find(DigestOf(key));
  if (found == group_by_key_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace verbenastile
