// Limits the number of rule changes that each group can make per minute.
#ifndef CORE_CHANGE_QUOTA_H_
#define CORE_CHANGE_QUOTA_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/rules_head.h"
#include "core/utc_time.h"

namespace verbenastile {

// The window over which changes are counted, in seconds.
constexpr UnixSeconds kChangeWindow = 60;

// A group that has used up its quota.
struct ExceededQuota {
  std::string group;
  std::size_t made = 0;
  std::size_t allowed = 0;
};

// Returns the first of `groups` that has used up its quota. Quotas are taken
// from `before`, the document in force, so that a change cannot raise its own
// quota. `trail` must contain at least the entries of the last window. `now` is
// the clock of the operator's tool. Entries a window or more before or after
// it are not counted, so that a wrong clock can loosen the quota but never
// locks anyone out.
std::optional<ExceededQuota> FindExceededQuota(
    const RuleDocument& before,
    std::span<const std::string> groups,
    std::span<const AuditEntry> trail,
    UnixSeconds now);

// Whether the time of `entry` is less than a window before or after `now`.
bool InChangeWindow(const AuditEntry& entry, UnixSeconds now);

}  // namespace verbenastile

#endif  // CORE_CHANGE_QUOTA_H_
