// The ways in which generations reach nodes: the shipped one and two simpler
// ones that it is measured against.
#ifndef CORE_DISTRIBUTION_POLICY_H_
#define CORE_DISTRIBUTION_POLICY_H_

#include <variant>

#include "core/distribution_message.h"
#include "core/snapshot_history.h"

namespace verbenastile {

// Readers in each failure domain, deltas to the others.
struct DeltaTree {
  // A larger delta is not pushed but announced, and sent when asked for.
  std::size_t max_pushed_bytes = 2'048;
};

// The same readers, whole snapshots to the others.
struct RelayFull {};

// Each node reads the platform and talks to no other.
struct DirectFull {};

using PolicyVariant = std::variant<DeltaTree, RelayFull, DirectFull>;

PolicyVariant MakePolicy(DistributionPolicy policy);

// Whether nodes give generations to each other.
bool Relays(const PolicyVariant& policy);

// Whether generations travel as deltas where the base is held.
bool UsesDeltas(const PolicyVariant& policy);

// What a node sends to those below it when `newest` is in force; `previous`
// may be null.
DistributionMessage PushMessage(const PolicyVariant& policy,
                                const SnapshotPointer& previous,
                                const Snapshot& newest);

}  // namespace verbenastile

#endif  // CORE_DISTRIBUTION_POLICY_H_
