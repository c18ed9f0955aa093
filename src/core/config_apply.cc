#include "core/config_apply.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include "core/invariant.h"

namespace verbenastile {
namespace {

// Whether every route of `table` targets services that the table declares.
bool AllTargetsDeclared(const RouteTable& table) {
  const auto is_declared = [&](const RouteTarget& target) {
    return table.HasService(target.service);
  };
  const auto targets_declared = [&](const Rule& rule) {
    const auto* route = std::get_if<RouteAction>(&rule.action);
    return route == nullptr || std::all_of(route->targets.begin(),
                                           route->targets.end(), is_declared);
  };
  const auto& rules = table.document().rules;
  return std::all_of(rules.begin(), rules.end(), targets_declared);
}

}  // namespace

ConfigApplier::ConfigApplier(const StateChart* chart, std::uint64_t key_seed)
    : machine_(chart), key_seed_(key_seed) {}

ApplyOutcome ConfigApplier::Offer(std::shared_ptr<const Snapshot> snapshot) {
  if (snapshot->generation < generation()) {
    return CountOlder();
  }
  if (snapshot_ && snapshot->generation == generation()) {
    const bool same = snapshot->digest == snapshot_->digest;
    stats_.forked += same ? 0 : 1;
    return same ? ApplyOutcome::kUnchanged : ApplyOutcome::kForked;
  }
  const ApplyOutcome outcome = Stage(
      snapshot->generation, [&] { return RouteTable::Compile(*snapshot); });
  if (outcome == ApplyOutcome::kInForce) {
    snapshot_ = std::move(snapshot);
  }
  return outcome;
}

ApplyOutcome ConfigApplier::Offer(Generation offered, RuleDocument document) {
  if (offered < generation()) {
    return CountOlder();
  }
  if (table_ && offered == generation()) {
    return ApplyOutcome::kUnchanged;
  }
  return Stage(offered, [&] {
    return RouteTable::Compile(offered, std::move(document), key_seed_);
  });
}

ApplyOutcome ConfigApplier::CountOlder() {
  machine_.Fire("older");
  ++stats_.older;
  return ApplyOutcome::kOlder;
}

template <typename Compile>
ApplyOutcome ConfigApplier::Stage(Generation generation, Compile compile) {
  machine_.Fire("offered");
  std::string reason;
  auto staged = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RouteTable>> {
        BOOST_LEAF_AUTO(table, compile());
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
    refusal_ = {generation, std::move(reason)};
    return ApplyOutcome::kRefused;
  }
  machine_.Fire("staged");
  Swap(generation, std::move(*staged));
  return ApplyOutcome::kInForce;
}

void ConfigApplier::Swap(Generation offered, RouteTable table) {
  CheckInvariant(offered > generation(), "generation_never_falls",
                 fmt::format("in_force={} offered={}", generation(), offered));
  CheckInvariant(AllTargetsDeclared(table), "no_route_without_its_resource",
                 fmt::format("generation={}", offered));
  CheckInvariant(
      table.generation() == offered, "staged_never_visible_in_part",
      fmt::format("table={} offered={}", table.generation(), offered));
  table_ = std::make_shared<const RouteTable>(std::move(table));
  refusal_ = {};
  ++stats_.in_force;
}

}  // namespace verbenastile
