#include "core/target_rotation.h"

#include <algorithm>

namespace verbenastile {
namespace {

// Rules whose turns are remembered; all are forgotten beyond.
constexpr std::size_t kMaxTurns = 20'000;

bool SameServices(const std::vector<std::string>& services,
                  const RouteAction& route) {
  return std::equal(services.begin(), services.end(), route.targets.begin(),
                    route.targets.end(),
                    [](const std::string& service, const RouteTarget& target) {
                      return service == target.service;
                    });
}

}  // namespace

std::string_view TargetRotation::Next(std::string_view id,
                                      const RouteAction& route) {
  if (route.targets.size() < 2) {
    return route.targets.empty() ? std::string_view()
                                 : std::string_view(route.targets[0].service);
  }
  if (turns_.size() > kMaxTurns) {
    turns_.clear();
  }
  auto found = turns_.find(id);
  if (found == turns_.end()) {
    found = turns_.emplace(id, Turn{}).first;
  }
  Turn& turn = found->second;
  if (!SameServices(turn.services, route)) {
    turn = {};
    for (const RouteTarget& target : route.targets) {
      turn.services.push_back(target.service);
    }
    turn.credit.assign(route.targets.size(), 0);
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.targets.size(); ++i) {
    turn.credit[i] += route.targets[i].weight;
    total += route.targets[i].weight;
    best = turn.credit[i] > turn.credit[best] ? i : best;
  }
  turn.credit[best] -= total;
  return route.targets[best].service;
}

}  // namespace verbenastile
