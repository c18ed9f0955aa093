#include "core/route_table.h"

#include <algorithm>

namespace verbenastile {
namespace {

bool MatchesText(const std::string& wanted, std::string_view actual) {
  return wanted.empty() || wanted == actual;
}

bool HasHeader(const RequestView& request, const HeaderMatch& wanted) {
  return std::any_of(request.headers.begin(), request.headers.end(),
                     [&](const HeaderView& header) {
                       return header.name == wanted.name &&
                              header.value == wanted.value;
                     });
}

}  // namespace

bool Matches(const RuleMatch& match, const RequestView& request) {
  return MatchesText(match.group, request.group) &&
         MatchesText(match.service, request.service) &&
         MatchesText(match.host, request.host) &&
         MatchesText(match.method, request.method) &&
         request.path.starts_with(match.path_prefix) &&
         std::all_of(match.headers.begin(), match.headers.end(),
                     [&](const HeaderMatch& header) {
                       return HasHeader(request, header);
                     });
}

std::string_view ChooseTarget(const RouteAction& route, std::uint64_t point) {
  std::uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  std::uint64_t rest = total == 0 ? 0 : point % total;
  for (const RouteTarget& target : route.targets) {
    if (rest < target.weight) {
      return target.service;
    }
    rest -= target.weight;
  }
  return route.targets.empty() ? std::string_view()
                               : std::string_view(route.targets[0].service);
}

leaf::result<RouteTable> RouteTable::Compile(const Snapshot& snapshot) {
  RouteTable table;
  table.generation_ = snapshot.generation;
  BOOST_LEAF_ASSIGN(table.document_, ToDocument(snapshot));
  auto faults = FindFaults(table.document_, "generation");
  if (!faults.empty()) {
    return leaf::new_error(ConfigError{std::move(faults)});
  }
  for (const Group& group : table.document_.groups) {
    table.group_weights_[group.name] = group.weight;
  }
  for (const Service& service : table.document_.services) {
    table.services_.insert(service.name);
  }
  return table;
}

const Rule* RouteTable::Decide(const RequestView& request) const {
  const auto& rules = document_.rules;
  const auto found = std::find_if(
      rules.begin(), rules.end(),
      [&](const Rule& rule) { return Matches(rule.match, request); });
  return found == rules.end() ? nullptr : &*found;
}

std::uint32_t RouteTable::GroupWeight(std::string_view group) const {
  const auto found = group_weights_.find(group);
  return found == group_weights_.end() ? 1 : found->second;
}

bool RouteTable::HasService(std::string_view name) const {
  return services_.contains(name);
}

bool RouteTable::HasGroup(std::string_view name) const {
  return group_weights_.contains(name);
}

}  // namespace verbenastile
