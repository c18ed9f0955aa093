#include "core/fleet_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace verbenastile {
namespace {

using nlohmann::json;

void LimitCounts(DomainView& view) {
  while (view.counts.size() > kMaxCountedGenerations) {
    const std::uint32_t oldest = view.counts.begin()->second;
    view.counts.erase(view.counts.begin());
    view.counts.begin()->second += oldest;
  }
}

// Keeps the laggards with the lowest generations, ordered by generation, then
// name.
void LimitLaggards(DomainView& view) {
  std::erase_if(view.laggards, [&](const Laggard& laggard) {
    return laggard.generation >= view.newest;
  });
  std::sort(view.laggards.begin(), view.laggards.end(),
            [](const Laggard& a, const Laggard& b) {
              return a.generation == b.generation ? a.name < b.name
                                                  : a.generation < b.generation;
            });
  if (view.laggards.size() > kMaxNamedLaggards) {
    view.laggards.resize(kMaxNamedLaggards);
  }
}

}  // namespace

std::uint32_t DomainView::AtLeast(Generation generation) const {
  std::uint32_t nodes_at = 0;
  for (auto count = counts.lower_bound(generation); count != counts.end();
       ++count) {
    nodes_at += count->second;
  }
  return nodes_at;
}

void AddTo(DomainView& sum, const DomainView& part) {
  sum.newest = std::max(sum.newest, part.newest);
  sum.nodes += part.nodes;
  sum.other_history += part.other_history;
  for (const auto& [generation, count] : part.counts) {
    sum.counts[generation] += count;
  }
  sum.laggards.insert(sum.laggards.end(), part.laggards.begin(),
                      part.laggards.end());
  if (part.refusal.generation > sum.refusal.generation) {
    sum.refusal = part.refusal;
    sum.refused_by = 0;
  }
  if (part.refusal.generation == sum.refusal.generation) {
    sum.refused_by += part.refused_by;
  }
  LimitCounts(sum);
  LimitLaggards(sum);
}

void NameLaggards(DomainView& view, const std::vector<Laggard>& nodes) {
  for (const Laggard& node : nodes) {
    const auto same_name = [&](const Laggard& known) {
      return known.name == node.name;
    };
    if (std::none_of(view.laggards.begin(), view.laggards.end(), same_name)) {
      view.laggards.push_back(node);
    }
  }
  LimitLaggards(view);
}

json ToJson(const DomainView& view) {
  json counts = json::array();
  for (const auto& [generation, count] : view.counts) {
    counts.push_back({{"generation", generation}, {"nodes", count}});
  }
  json laggards = json::array();
  for (const Laggard& laggard : view.laggards) {
    laggards.push_back(
        {{"name", laggard.name}, {"generation", laggard.generation}});
  }
  return {{"failureDomain", view.failure_domain},
          {"newest", view.newest},
          {"nodes", view.nodes},
          {"counts", std::move(counts)},
          {"laggards", std::move(laggards)},
          {"refusedGeneration", view.refusal.generation},
          {"refusal", view.refusal.reason},
          {"refusedBy", view.refused_by},
          {"otherHistory", view.other_history}};
}

leaf::result<DomainView> ParseDomainView(const json& status) {
  try {
    DomainView view;
    status.at("failureDomain").get_to(view.failure_domain);
    status.at("newest").get_to(view.newest);
    status.at("nodes").get_to(view.nodes);
    for (const json& count : status.at("counts")) {
      view.counts[count.at("generation").get<Generation>()] =
          count.at("nodes").get<std::uint32_t>();
    }
    for (const json& laggard : status.at("laggards")) {
      view.laggards.push_back({laggard.at("name").get<std::string>(),
                               laggard.at("generation").get<Generation>()});
    }
    status.at("refusedGeneration").get_to(view.refusal.generation);
    status.at("refusal").get_to(view.refusal.reason);
    status.at("refusedBy").get_to(view.refused_by);
    status.at("otherHistory").get_to(view.other_history);
    return view;
  } catch (const json::exception& error) {
    return leaf::new_error(HeadError{error.what()});
  }
}

}  // namespace verbenastile
