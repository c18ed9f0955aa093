// Decides which nodes maintain a failure domain's roster at the platform, and
// when it must be rewritten.
#ifndef CORE_ROSTER_MENDING_H_
#define CORE_ROSTER_MENDING_H_

#include <optional>
#include <string_view>
#include <vector>

#include "core/member_directory.h"
#include "core/roster.h"

namespace verbenastile {

// Maximum number of members in a roster.
constexpr std::size_t kMaxSeeds = 8;
// Number of members of a failure domain that maintain its roster.
constexpr std::size_t kRosterKeepers = 2;

// Returns the alive and suspect members of `domain`, ordered by a hash of their
// names. Nodes with the same members compute the same order, and a member that
// comes or goes does not reorder the others.
std::vector<const Member*> StableOrder(const MemberDirectory& directory,
                                       std::string_view domain);

// Whether `self` maintains its failure domain's roster.
bool IsRosterKeeper(const MemberDirectory& directory, const Member& self);

// Returns the roster that should replace `known`, or nothing if `known` is
// valid: each seed is running at its listed address, and none is missing.
std::optional<Roster> MendedRoster(const Roster& known,
                                   const MemberDirectory& directory,
                                   const Member& self);

}  // namespace verbenastile

#endif  // CORE_ROSTER_MENDING_H_
