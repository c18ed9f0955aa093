#include "core/change_quota.h"

#include <algorithm>
#include <cstdlib>

namespace verbenastile {
namespace {

const Group* FindGroup(const RuleDocument& document, const std::string& name) {
  const auto found =
      std::find_if(document.groups.begin(), document.groups.end(),
                   [&](const Group& group) { return group.name == name; });
  return found == document.groups.end() ? nullptr : &*found;
}

std::size_t CountChanges(const std::string& group,
                         std::span<const AuditEntry> trail,
                         UnixSeconds now) {
  return static_cast<std::size_t>(
      std::count_if(trail.begin(), trail.end(), [&](const AuditEntry& entry) {
        return std::find(entry.groups.begin(), entry.groups.end(), group) !=
                   entry.groups.end() &&
               InChangeWindow(entry, now);
      }));
}

}  // namespace

bool InChangeWindow(const AuditEntry& entry, UnixSeconds now) {
  const auto when = ParseUtc(entry.when);
  return when && std::abs(*when - now) < kChangeWindow;
}

std::optional<ExceededQuota> FindExceededQuota(
    const RuleDocument& before,
    std::span<const std::string> groups,
    std::span<const AuditEntry> trail,
    UnixSeconds now) {
  for (const std::string& name : groups) {
    const Group* group = FindGroup(before, name);
    if (group == nullptr) {
      continue;
    }
    const std::size_t made = CountChanges(name, trail, now);
    if (made >= group->quota.changes_per_minute) {
      return ExceededQuota{name, made, group->quota.changes_per_minute};
    }
  }
  return std::nullopt;
}

}  // namespace verbenastile
