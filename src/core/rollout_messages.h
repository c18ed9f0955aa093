// What nodes tell each other about the roll-out of a new software version of a
// service. docs/design/rollouts.md describes the protocol.
#ifndef CORE_ROLLOUT_MESSAGES_H_
#define CORE_ROLLOUT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace verbenastile {

// The operators' order to move a service's calls to instances of a version.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  Duration duration{0};  // From the order to the deadline of the verdict.
  // Of the order in the store, so that two orders for the same version differ.
  std::int64_t revision = 0;

  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutState : std::uint8_t {
  kRunning = 0,
  kCompleted,
  kRolledBack,
};

// The lower-case name of `state`, such as "rolled_back".
std::string_view ToString(RolloutState state);

// Responses of one version to the calls that one rule routed.
struct VersionOutcomes {
  std::string rule;
  bool target = false;  // Of the target version, else of the versions before.
  std::uint64_t responses = 0;
  std::uint64_t failures = 0;
  std::uint64_t slow = 0;     // Complete, but slower than the objective.
  std::uint64_t time_us = 0;  // Sum over the responses.

  bool operator==(const VersionOutcomes&) const = default;
};

// The counts of one incarnation of a node since it learned of the order; they
// only grow, so that of two reports the larger one holds.
struct RolloutReport {
  RolloutOrder order;
  Duration remaining{0};                        // Until the deadline.
  RolloutState state = RolloutState::kRunning;  // As the sender believes.
  std::string node;
  std::uint64_t incarnation = 0;
  std::vector<VersionOutcomes> outcomes;

  bool operator==(const RolloutReport&) const = default;
};

}  // namespace verbenastile

#endif  // CORE_ROLLOUT_MESSAGES_H_
