// Status of a node and of the fleet as that node sees it, for operators. Every
// node can serve this page, each from its own view of the fleet.
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
  // The generation that the member last reported, if any.
  std::optional<Generation> generation;
  bool ejected = false;  // Whether this node's load balancer has ejected it.
};

// A group of callers as declared in the rules in force.
struct GroupStatus {
  std::string name;
  std::uint32_t weight = 1;
  std::size_t rules = 0;            // Number of rules that the group owns.
  std::uint32_t rules_allowed = 0;  // The group's quota of rules.
};

// The status that a node collects from its components.
struct NodeStatus {
  std::string name;
  std::string failure_domain;
  std::string region;
  std::string service;
  std::string state;  // State of the node's lifecycle.
  Generation generation = 0;
  // The newest generation that the node knows of.
  Generation newest_known = 0;
  std::string digest;
  Generation refused_generation = 0;  // 0 if none was refused.
  std::string refusal;
  std::string platform;  // State of the session with the platform.
  // Whether the platform's configuration history differs from the one in force.
  bool other_history = false;
  // Why no configuration is in force yet. Empty if one is.
  std::string waiting_for;
  std::size_t active_calls = 0;
  std::uint64_t refused_calls = 0;
  std::uint64_t violations = 0;
  std::vector<MemberStatus> members;
  std::vector<GroupStatus> groups;
  // Status of the fleet that was reported to this node through the tree.
  FleetView reported;
};

// Returns the generation of `member` according to the reports, or nullopt if
// they do not state it.
std::optional<Generation> GenerationOf(const FleetView& reported,
                                       const Member& member);

// Counts over the members that share a failure domain or a service.
struct FleetPart {
  std::string name;
  std::size_t serving = 0;  // Alive or suspect.
  std::size_t suspect = 0;
  std::size_t leaving = 0;
  std::size_t dead = 0;
  std::size_t ejected = 0;
  // Range over the members that accept calls and have reported a generation; 0
  // if there are none.
  Generation oldest = 0;
  Generation newest = 0;
};

// Both return their parts sorted by name.
std::vector<FleetPart> ByFailureDomain(const NodeStatus& status);
std::vector<FleetPart> ByService(const NodeStatus& status);

// Returns whether the node can reach neither the platform nor any other member.
bool IsCutOff(const NodeStatus& status);

// Returns by how many generations the node is behind the newest one it knows
// of.
Generation Lag(const NodeStatus& status);

nlohmann::json ToJson(const NodeStatus& status);

// Formats the JSON returned by `ToJson` as text for operators.
std::string RenderStatus(const nlohmann::json& status);

}  // namespace verbenastile

#endif  // NODE_STATUS_PAGE_H_
