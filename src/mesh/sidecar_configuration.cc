#include "mesh/sidecar.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "base/log.h"
#include "platform/configuration.h"
#include "platform/wire_names.h"

namespace verbenastile {

void Sidecar::OnConfigurationObject(const StoreObject& object) {
  if (object.name == platform::kConfigurationName) {
    ApplyConfiguration(object.spec, kStoreSource);
  }
}

void Sidecar::ApplyConfiguration(std::string text, std::string_view source) {
  auto parsed = platform::ParseConfiguration(text);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    Log(LogLevel::kError, "config", "Cannot parse a configuration.",
        {{"source", source}, {"error", error->reason}});
    return;
  }
  auto& configuration = std::get<platform::Configuration>(parsed);
  const Generation offered = configuration.generation;
  const Generation before = applier_.generation();
  const ApplyOutcome outcome =
      applier_.Offer(offered, std::move(configuration.document));
  if (outcome == ApplyOutcome::kUnchanged) {
    return;
  }
  if (outcome != ApplyOutcome::kInForce) {
    Log(LogLevel::kError, "config", "Rejected a configuration.",
        {{"source", source},
         {"offered", offered},
         {"in_force", before},
         {"reason", applier_.refusal().reason}});
    return;
  }
  const std::size_t bytes = text.size();
  configuration_archive_.Add(offered, std::move(text));
  const Duration known =
      configuration_source_.BehindFor(SteadyNow()).value_or(Duration::zero());
  metrics_.Observe(metrics_.Summary("configuration_known_microseconds"),
                   static_cast<double>(known.count()));
  configuration_source_.OnApplied(offered);
  std::set<std::string, std::less<>> services;
  for (const auto& service : applier_.table()->document().services) {
    services.insert(service.name);
  }
  tracker_.SetKnownServices(std::move(services));
  caller_server_.SetLimits(configuration.limits);
  quotas_.SetGroups(applier_.table()->document().groups, offered);
  Log(LogLevel::kInfo, "config", "Applied a configuration.",
      {{"generation", offered},
       {"before", before},
       {"source", source},
       {"known_ms", ToMilliseconds(known)},
       {"bytes", bytes},
       {"rules", applier_.table()->document().rules.size()}});
  if (follows_store_) {
    links_.AnnounceConfiguration();
  }
  FireEvent("config_in_force");
}

void Sidecar::OnConfigurationDelta(const ConfigurationDelta& delta) {
  auto applied = configuration_archive_.Apply(delta);
  if (const auto* error = std::get_if<ArchiveError>(&applied)) {
    Log(LogLevel::kWarning, "config",
        "Cannot apply a peer's configuration delta.",
        {{"base", delta.base.generation},
         {"generation", delta.to.generation},
         {"in_force", applier_.generation()},
         {"error", error->reason}});
    return;
  }
  ApplyConfiguration(std::move(std::get<std::string>(applied)), "peer");
}

void Sidecar::UpdateConfigurationSource(Time now) {
  if (const auto confirmed = configuration_follower_.last_confirmed()) {
    configuration_source_.OnStoreConfirmed(*confirmed);
  }
  configuration_source_.SetStoreFailed(configuration_follower_.has_failed());
  const bool follow_store = configuration_source_.ShouldWatchStore(now);
  if (rollouts_) {
    rollouts_->OnFollowsStore(follow_store);
  }
  if (follow_store != std::exchange(follows_store_, follow_store)) {
    Log(LogLevel::kInfo, "config",
        follow_store ? "Following the store for the configuration."
                     : "Following peers for the configuration.",
        {{"in_force", applier_.generation()},
         {"readers", configuration_source_.ReaderCount()},
         {"config_age_ms", ToMilliseconds(Belief().age)}});
    follow_store ? configuration_follower_.Start()
                 : configuration_follower_.Stop();
  }
  if (const auto peer = configuration_source_.SelectPeerToQuery(now)) {
    const HeldConfiguration held = configuration_archive_.newest();
    Log(LogLevel::kInfo, "config", "Requesting the configuration from a peer.",
        {{"peer", *peer}, {"in_force", held.generation}});
    links_.Send(*peer, {0, LinkConfigurationRequest{held}});
  }
}

PeerConfiguration Sidecar::ConfigurationInForce() const {
  PeerConfiguration in_force{applier_.generation(), std::nullopt, store_.era()};
  if (follows_store_ && configuration_follower_.is_connected()) {
    in_force.age =
        SteadyNow() - configuration_follower_.last_confirmed().value_or(Time());
  }
  return in_force;
}

// The configuration in force, the members that are linked and the state of the
// local instance are kept: they are newer than the backup. Readers tell the
// nodes that do not watch the store.
void Sidecar::OnStoreRestored(StoreEra era,
                              StoreEra previous,
                              std::string_view source) {
  Log(LogLevel::kWarning, "store", "The store was restored from a backup.",
      {{"era", era},
       {"previous_era", previous},
       {"source", source},
       {"generation", applier_.generation()},
       {"instance", ToString(tracker_.state())}});
  configuration_follower_.OnStoreRestored(era);
  publisher_.OnStoreRestored(era);
  if (rollouts_) {
    rollouts_->OnStoreRestored(era);
  }
  if (follows_store_ && source == kStoreSource) {
    links_.AnnounceConfiguration();
  }
}

std::optional<Time> Sidecar::ConfigurationConfirmed() const {
  return std::max(configuration_follower_.last_confirmed(),
                  configuration_source_.last_confirmed());
}

ConfigurationBelief Sidecar::Belief() const {
  const Time now = SteadyNow();
  const auto confirmed = ConfigurationConfirmed();
  return {confirmed ? now - *confirmed : Duration::max(),
          configuration_source_.BehindFor(now)};
}

}  // namespace verbenastile
