#include "core/weighted_round_robin.h"

#include <algorithm>

namespace verbenastile {
namespace {

// When more rules than this have a state, all states are dropped. Their
// rotations then start anew.
constexpr std::size_t kMaxRuleStates = 20'000;

bool SameServices(const std::vector<std::string>& services,
                  const RouteAction& route) {
  return std::equal(services.begin(), services.end(), route.targets.begin(),
                    route.targets.end(),
                    [](const std::string& service, const RouteTarget& target) {
                      return service == target.service;
                    });
}

}  // namespace

std::string_view WeightedRoundRobin::Next(std::string_view id,
                                          const RouteAction& route) {
  if (route.targets.size() < 2) {
    return route.targets.empty() ? std::string_view()
                                 : std::string_view(route.targets[0].service);
  }
  if (states_.size() > kMaxRuleStates) {
    states_.clear();
  }
  auto found = states_.find(id);
  if (found == states_.end()) {
    found = states_.emplace(id, RuleState{}).first;
  }
  RuleState& state = found->second;
  if (!SameServices(state.services, route)) {
    state = {};
    for (const RouteTarget& target : route.targets) {
      state.services.push_back(target.service);
    }
    state.current_weights.assign(route.targets.size(), 0);
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.targets.size(); ++i) {
    state.current_weights[i] += route.targets[i].weight;
    total += route.targets[i].weight;
    best = state.current_weights[i] > state.current_weights[best] ? i : best;
  }
  state.current_weights[best] -= total;
  return route.targets[best].service;
}

}  // namespace verbenastile
