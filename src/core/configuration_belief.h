// How far a node may rely on the configuration that it has in force.
#ifndef CORE_CONFIGURATION_BELIEF_H_
#define CORE_CONFIGURATION_BELIEF_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace verbenastile {

// Bounds of the deployment on how soon a change of the configuration is in
// force on all nodes.
struct ConfigurationLimits {
  // From the time at which the store accepted the change.
  Duration apply_period = std::chrono::milliseconds(2'000);
  // A change may take longer by this while the store rejects some nodes.
  Duration max_stretch = std::chrono::milliseconds(5'000);

  // The parts of `apply_period` that the steps of a change may take; see
  // docs/design/platform.md.
  //
  // Between two watches of a node on the store, so that a burst of changes
  // costs one request.
  constexpr Duration WatchPause() const { return apply_period * 2 / 5; }
  // After which another peer is asked for a newer configuration.
  constexpr Duration PeerRequestTimeout() const { return apply_period / 5; }
  // How long the store's last confirmation to a reader is relied on, before
  // other nodes take the place of the readers. Exceeds the time between two
  // confirmations around a change.
  constexpr Duration MaxReaderAge() const { return apply_period * 2 / 3; }
  // The same when all readers have said that the store does not answer them, or
  // have ended.
  constexpr Duration MaxLostReaderAge() const { return apply_period * 2 / 5; }
  // After which more nodes take the place of the readers, if none of those that
  // did has heard from the store.
  constexpr Duration SubstituteInterval() const {
    return apply_period * 3 / 50;
  }
  // How long such a node waits for the store, before it leaves it to others,
  // and after which it tries again.
  constexpr Duration SubstituteTrial() const { return apply_period * 2 / 5; }
  constexpr Duration SubstituteRetry() const {
    return (apply_period + max_stretch) / 2;
  }
};

// How far this node's configuration can be relied on.
struct ConfigurationBelief {
  // Since the store last confirmed that no newer one exists.
  Duration age{0};
  // Since a peer announced a newer one that this node does not have yet; empty
  // if none did.
  std::optional<Duration> behind;
};

// Whether a configuration that this node does not have may have to be in force
// already. What it would reject by the one that it has, it refuses for the time
// being instead.
constexpr bool MayBeOutdated(const ConfigurationBelief& belief,
                             Duration apply_period) {
  return belief.behind.has_value() || belief.age >= apply_period;
}

}  // namespace verbenastile

#endif  // CORE_CONFIGURATION_BELIEF_H_
