#include "core/route_table.h"

namespace verbenastile {
std::string_view ChooseTarget(const RouteAction& route, std::uint64_t point) {
  std::uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  std::uint64_t remaining = total == 0 ? 0 : point % total;
  for (const RouteTarget& target : route.targets) {
    if (remaining < target.weight) {
      return target.service;
    }
    remaining -= target.weight;
  }
  return route.targets.empty() ? std::string_view()
                               : std::string_view(route.targets[0].service);
}

leaf::result<RouteTable> RouteTable::Compile(const Snapshot& snapshot) {
  BOOST_LEAF_AUTO(document, ToDocument(snapshot));
  return Compile(snapshot.generation, std::move(document));
}

leaf::result<RouteTable> RouteTable::Compile(Generation generation,
                                             RuleDocument document,
                                             std::uint64_t key_seed) {
  RouteTable table;
  table.generation_ = generation;
  table.document_ = std::move(document);
  auto faults = FindFaults(table.document_, "generation");
  if (!faults.empty()) {
    return leaf::new_error(ConfigError{std::move(faults)});
  }
  table.index_ = RouteIndex(table.document_.rules);
  table.group_keys_ = GroupKeys(table.document_.groups, key_seed);
  double largest_quota = 0;
  for (const Group& group : table.document_.groups) {
    table.group_weights_[group.name] = group.weight;
    largest_quota = std::max(largest_quota, group.requests.per_second);
  }
  for (const Group& group : table.document_.groups) {
    const double quota = group.requests.per_second;
    table.slot_weights_[group.name] =
        (quota > 0 ? quota : std::max(largest_quota, 1.0)) * group.weight;
  }
  for (const Service& service : table.document_.services) {
    table.services_.insert(service.name);
  }
  return table;
}

const Rule* RouteTable::FindRule(const RequestView& request) const {
  const auto found = index_.Find(document_.rules, request);
  return found ? &document_.rules[*found] : nullptr;
}

std::string_view RouteTable::FairShareGroup(std::string_view group) const {
  return group_weights_.contains(group) ? group : kUndeclaredGroups;
}

std::uint32_t RouteTable::GroupWeight(std::string_view group) const {
  const auto found = group_weights_.find(group);
  return found == group_weights_.end() ? 1 : found->second;
}

double RouteTable::SlotWeight(std::string_view group) const {
  const auto found = slot_weights_.find(group);
  return found == slot_weights_.end() ? 1 : found->second;
}

const Group* RouteTable::FindGroupByKey(const Digest& key) const {
  const auto found = group_keys_.Find(key);
  return found ? &document_.groups[*found] : nullptr;
}

bool RouteTable::HasService(std::string_view name) const {
  return services_.contains(name);
}

bool RouteTable::HasGroup(std::string_view name) const {
  return group_weights_.contains(name);
}

}  // namespace verbenastile
