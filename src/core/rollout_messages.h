// What nodes tell each other about the roll-out of a new software version of a
// service. docs/design/rollouts.md describes the protocol.
#ifndef CORE_ROLLOUT_MESSAGES_H_
#define CORE_ROLLOUT_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/store_era.h"

namespace verbenastile {

// The operators' order to move a service's calls to instances of a version.
struct RolloutOrder {
  std::string service;
  std::string target_version;  // Empty: the order was removed.
  Duration duration{0};        // From the order to the deadline.
  std::uint64_t id = 0;        // The same while only the status changes.
  StoreEra era = 0;            // Of `revision`.
  std::int64_t revision = 0;   // Of the object in the store.

  bool operator==(const RolloutOrder&) const = default;
};

// Whether `a` replaces `b`, another order for the same service.
bool Replaces(const RolloutOrder& a, const RolloutOrder& b);

enum class RolloutState : std::uint8_t {
  kRunning = 0,
  kCompleted,  // Calls move to the target version, or have moved.
  kRolledBack,
};

// The lower-case name of `state`, such as "rolled_back".
std::string_view ToString(RolloutState state);

// Service times are counted in buckets that grow by the square root of two; the
// first one ends at about 1.4 ms.
constexpr std::size_t kTimeBuckets = 32;
std::size_t TimeBucketOf(Duration time);

// Responses of one version to the calls that one rule routed.
struct VersionOutcomes {
  std::string rule;
  // The member that ran the calls, for the target version; empty for the
  // versions before, whose instances are counted together.
  std::string instance;
  bool full = false;     // The instance had no free slot beside the call's.
  bool outside = false;  // Sent while no calls were exposed.
  std::uint64_t responses = 0;
  std::uint64_t failures = 0;
  // The other responses by `TimeBucketOf` their service time, without trailing
  // zeros.
  std::vector<std::uint32_t> times;

  bool operator==(const VersionOutcomes&) const = default;
};

// The counts of one incarnation of a node since it learned of the order; they
// only grow, so that of two reports the larger one holds.
struct RolloutReport {
  RolloutOrder order;
  Duration remaining{0};                        // Until the deadline.
  RolloutState state = RolloutState::kRunning;  // As the sender believes.
  bool recorded = false;  // The store has `state` as the status of the order.
  std::string node;       // Empty: the report tells only the state.
  std::uint64_t incarnation = 0;
  std::uint32_t old_in_flight = 0;  // Calls of the node at old instances.
  std::vector<VersionOutcomes> outcomes;

  bool operator==(const RolloutReport&) const = default;
};

}  // namespace verbenastile

#endif  // CORE_ROLLOUT_MESSAGES_H_
