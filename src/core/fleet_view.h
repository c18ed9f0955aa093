// Rollout status of a failure domain: the generations its nodes run, aggregated
// along the reporting tree.
#ifndef CORE_FLEET_VIEW_H_
#define CORE_FLEET_VIEW_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/config_apply.h"
#include "core/rules_head.h"

namespace verbenastile {

constexpr const char* kFleetStatusKind = "fleetstatuses";
// Maximum number of laggards listed by name; the others are only counted.
constexpr std::size_t kMaxNamedLaggards = 8;
// Maximum number of generations counted separately. Older ones are added to the
// oldest that is kept.
constexpr std::size_t kMaxCountedGenerations = 8;

// A node that does not run the newest generation. The generation is 0 if it
// runs none or has not reported.
struct Laggard {
  std::string name;
  Generation generation = 0;

  bool operator==(const Laggard&) const = default;
};

// Aggregate over all or part of a failure domain.
struct DomainView {
  std::string failure_domain;
  Generation newest = 0;
  std::uint32_t nodes = 0;
  std::map<Generation, std::uint32_t> counts;  // Nodes by generation.
  std::vector<Laggard> laggards;
  Refusal refusal;  // Newest refused generation; 0 if none.
  std::uint32_t refused_by = 0;
  // Nodes that see a history at the platform other than the one in force.
  std::uint32_t other_history = 0;

  bool operator==(const DomainView&) const = default;

  // Number of nodes that run `generation` or a newer one.
  std::uint32_t AtLeast(Generation generation) const;
};

// Status of all failure domains known to a node or an operator's tool.
struct FleetView {
  std::map<std::string, DomainView, std::less<>> domains;
};

// Adds `part` to `sum` within the limits above.
void AddTo(DomainView& sum, const DomainView& part);

// Adds those of `nodes` that are behind `view.newest` to the laggards, up to
// `kMaxNamedLaggards`.
void NameLaggards(DomainView& view, const std::vector<Laggard>& nodes);

nlohmann::json ToJson(const DomainView& view);
// Errors: `HeadError`.
leaf::result<DomainView> ParseDomainView(const nlohmann::json& status);

}  // namespace verbenastile

#endif  // CORE_FLEET_VIEW_H_
