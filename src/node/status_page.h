// What a node tells operators of itself and of the fleet that it knows. Any
// node can answer; each answers from its own view.
#ifndef NODE_STATUS_PAGE_H_
#define NODE_STATUS_PAGE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet_view.h"
#include "core/member_directory.h"
#include "core/snapshot.h"

namespace verbenastile {

// One member as this node sees it.
struct MemberStatus {
  std::string name;
  std::string failure_domain;
  std::string region;
  std::string service;
  MemberState state = MemberState::kAlive;
  // The generation that the member last told; empty when it told none.
  std::optional<Generation> generation;
  bool ejected = false;  // From this node's choice of upstreams.
};

// A group of callers, as the rules in force declare it.
struct GroupStatus {
  std::string name;
  std::uint32_t weight = 1;
  std::size_t rules = 0;  // That the group owns.
  std::uint32_t rules_allowed = 0;
};

// What the parts of a node fill in.
struct NodeStatus {
  std::string name;
  std::string failure_domain;
  std::string region;
  std::string service;
  std::string state;  // Of the life cycle.
  Generation generation = 0;
  // The newest generation that the node has heard of.
  Generation newest_known = 0;
  std::string digest;
  Generation refused_generation = 0;  // 0: none.
  std::string refusal;
  std::string platform;  // State of the session with the platform.
  // The platform names another history than the one in force.
  bool other_history = false;
  std::string waiting_for;  // Why nothing is in force yet; empty otherwise.
  std::size_t active_calls = 0;
  std::uint64_t refused_calls = 0;
  std::uint64_t violations = 0;
  std::vector<MemberStatus> members;
  std::vector<GroupStatus> groups;
  FleetView reported;  // What was reported up the tree to this node.
};

// The generation of `member` as the reports tell it; empty when they do not.
std::optional<Generation> GenerationOf(const FleetView& reported,
                                       const Member& member);

// Members that share a failure domain or a service.
struct FleetPart {
  std::string name;
  std::size_t serving = 0;  // Alive or suspect.
  std::size_t suspect = 0;
  std::size_t leaving = 0;
  std::size_t dead = 0;
  std::size_t ejected = 0;
  // Over members that take work and told a generation; 0: none did.
  Generation oldest = 0;
  Generation newest = 0;
};

// By name.
std::vector<FleetPart> ByFailureDomain(const NodeStatus& status);
std::vector<FleetPart> ByService(const NodeStatus& status);

// Whether the node reaches neither the platform nor any other member.
bool IsCutOff(const NodeStatus& status);

// Generations that the node lags behind what it has heard of.
Generation Lag(const NodeStatus& status);

nlohmann::json ToJson(const NodeStatus& status);

// The page as text for operators, from the JSON that `ToJson` gave.
std::string RenderStatus(const nlohmann::json& status);

}  // namespace verbenastile

#endif  // NODE_STATUS_PAGE_H_
