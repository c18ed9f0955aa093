// What the nodes of a failure domain run, added up on the way to its readers.
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
// Laggards that are named; the others are only counted.
constexpr std::size_t kMaxNamedLaggards = 8;
// Generations that are counted apart; older ones are counted with the oldest.
constexpr std::size_t kMaxCountedGenerations = 8;

// A node that does not run the newest generation; 0 when it runs none or is
// not heard.
struct Laggard {
  std::string name;
  Generation generation = 0;

  bool operator==(const Laggard&) const = default;
};

// A part of a failure domain, or the whole of it.
struct DomainView {
  std::string failure_domain;
  Generation newest = 0;
  std::uint32_t nodes = 0;
  std::map<Generation, std::uint32_t> counts;  // Nodes by generation.
  std::vector<Laggard> laggards;
  Refusal refusal;  // The newest refused generation; 0 for none.
  std::uint32_t refused_by = 0;
  // Nodes that see another history at the platform than the one in force.
  std::uint32_t other_history = 0;

  bool operator==(const DomainView&) const = default;

  // Nodes that run `generation` or a newer one.
  std::uint32_t AtLeast(Generation generation) const;
};

// The failure domains that a node or an operator's tool knows of.
struct FleetView {
  std::map<std::string, DomainView, std::less<>> domains;
};

// Adds the nodes of `part` to `sum`, and keeps the bounds above.
void AddTo(DomainView& sum, const DomainView& part);

// Names those of `nodes` that are behind `view.newest`, within the bound.
void NameLaggards(DomainView& view, const std::vector<Laggard>& nodes);

nlohmann::json ToJson(const DomainView& view);
// Errors: `HeadError`.
leaf::result<DomainView> ParseDomainView(const nlohmann::json& status);

}  // namespace verbenastile

#endif  // CORE_FLEET_VIEW_H_
