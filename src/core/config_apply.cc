#include "core/config_apply.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include "core/invariant.h"

namespace verbenastile {
namespace {

// Whether each route of `table` leads to a service that it holds.
bool HasItsResources(const RouteTable& table) {
  const auto holds_target = [&](const RouteTarget& target) {
    return table.HasService(target.service);
  };
  const auto holds = [&](const Rule& rule) {
    const auto* route = std::get_if<RouteAction>(&rule.action);
    return route == nullptr || std::all_of(route->targets.begin(),
                                           route->targets.end(), holds_target);
  };
  const auto& rules = table.document().rules;
  return std::all_of(rules.begin(), rules.end(), holds);
}

}  // namespace

ConfigApplier::ConfigApplier(const StateChart* chart) : machine_(chart) {}

ApplyOutcome ConfigApplier::Offer(std::shared_ptr<const Snapshot> snapshot) {
  if (snapshot->generation < generation()) {
    machine_.Fire("older");
    ++stats_.older;
    return ApplyOutcome::kOlder;
  }
  if (snapshot_ && snapshot->generation == generation()) {
    const bool same = snapshot->digest == snapshot_->digest;
    stats_.forked += same ? 0 : 1;
    return same ? ApplyOutcome::kUnchanged : ApplyOutcome::kForked;
  }
  machine_.Fire("offered");
  return Stage(std::move(snapshot));
}

ApplyOutcome ConfigApplier::Stage(std::shared_ptr<const Snapshot> snapshot) {
  std::string reason;
  auto staged = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RouteTable>> {
        BOOST_LEAF_AUTO(table, RouteTable::Compile(*snapshot));
        return std::optional<RouteTable>(std::move(table));
      },
      [&](const ConfigError& error) -> std::optional<RouteTable> {
        reason = ToString(error);
        return std::nullopt;
      },
      [&]() -> std::optional<RouteTable> {
        reason = "unknown error";
        return std::nullopt;
      });
  if (!staged) {
    machine_.Fire("refused");
    ++stats_.refused;
    refusal_ = {snapshot->generation, std::move(reason)};
    return ApplyOutcome::kRefused;
  }
  machine_.Fire("staged");
  Swap(std::move(snapshot), std::move(*staged));
  return ApplyOutcome::kInForce;
}

void ConfigApplier::Swap(std::shared_ptr<const Snapshot> snapshot,
                         RouteTable table) {
  CheckInvariant(snapshot->generation > generation(), "generation_never_falls",
                 fmt::format("in_force={} offered={}", generation(),
                             snapshot->generation));
  CheckInvariant(HasItsResources(table), "no_route_without_its_resource",
                 fmt::format("generation={}", snapshot->generation));
  CheckInvariant(table.generation() == snapshot->generation,
                 "staged_never_visible_in_part",
                 fmt::format("table={} snapshot={}", table.generation(),
                             snapshot->generation));
  snapshot_ = std::move(snapshot);
  table_ = std::make_shared<const RouteTable>(std::move(table));
  refusal_ = {};
  ++stats_.in_force;
}

}  // namespace verbenastile
