// Roster of a failure domain, stored at the platform: a bounded list of seed
// members through which a new node joins the fleet.
#ifndef CORE_ROSTER_H_
#define CORE_ROSTER_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "core/member_directory.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// A roster or an entry of it cannot be parsed.
struct RosterError {
  std::string reason;
};

// The roster of one failure domain.
struct Roster {
  std::vector<Member> members;
};

nlohmann::json ToJson(const Member& member);
// Errors: `RosterError`.
leaf::result<Member> ParseMember(const nlohmann::json& entry);

nlohmann::json ToJson(const Roster& roster);
// Errors: `RosterError`.
leaf::result<Roster> ParseRoster(const nlohmann::json& spec);

// Adds `member` to `roster`, or replaces the entry with the same name. Returns
// whether the roster changed.
bool PutMember(Roster& roster, const Member& member);

}  // namespace verbenastile

#endif  // CORE_ROSTER_H_
