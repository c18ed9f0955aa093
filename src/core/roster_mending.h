// Who keeps a failure domain's roster at the platform, and when it has to be
// written.
#ifndef CORE_ROSTER_MENDING_H_
#define CORE_ROSTER_MENDING_H_

#include <optional>
#include <string_view>
#include <vector>

#include "core/member_directory.h"
#include "core/roster.h"

namespace verbenastile {

// Members in one failure domain's roster.
constexpr std::size_t kMaxSeeds = 8;
// Members of a failure domain that keep its roster.
constexpr std::size_t kRosterKeepers = 2;

// The members of `domain` that run and stay, in an order that all nodes with
// the same members share and that changes little when members do.
std::vector<const Member*> StableOrder(const MemberDirectory& directory,
                                       std::string_view domain);

// Whether `self` keeps its failure domain's roster.
bool IsRosterKeeper(const MemberDirectory& directory, const Member& self);

// The roster that should stand in place of `known`; nothing when `known` is
// good: each seed runs where it says, and none is missing.
std::optional<Roster> MendedRoster(const Roster& known,
                                   const MemberDirectory& directory,
                                   const Member& self);

}  // namespace verbenastile

#endif  // CORE_ROSTER_MENDING_H_
