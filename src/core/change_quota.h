// The share of changes of each group: how many of them in a minute.
#ifndef CORE_CHANGE_QUOTA_H_
#define CORE_CHANGE_QUOTA_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/rules_head.h"
#include "core/utc_time.h"

namespace verbenastile {

// The window that changes are counted in, in seconds.
constexpr UnixSeconds kChangeWindow = 60;

// A group that has used up its changes.
struct ChangeExcess {
  std::string group;
  std::size_t made = 0;
  std::size_t allowed = 0;
};

// The first of `groups` that may not change anything now. `before` is the
// document in force: a change does not lift its own quota. `trail` holds the
// entries of the last window at least. `now` is the clock of the operator's
// tool; entries that are further than the window from it, on either side, do
// not count, so that a wrong clock makes the quota wider and never locks
// anybody out.
std::optional<ChangeExcess> FindChangeExcess(
    const RuleDocument& before,
    std::span<const std::string> groups,
    std::span<const AuditEntry> trail,
    UnixSeconds now);

// Whether `entry` lies in the window around `now`.
bool InChangeWindow(const AuditEntry& entry, UnixSeconds now);

}  // namespace verbenastile

#endif  // CORE_CHANGE_QUOTA_H_
