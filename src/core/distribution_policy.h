// Policies for distributing generations to nodes: the production policy and two
// simpler ones that serve as benchmark baselines.
#ifndef CORE_DISTRIBUTION_POLICY_H_
#define CORE_DISTRIBUTION_POLICY_H_

#include <variant>

#include "core/distribution_message.h"
#include "core/snapshot_history.h"

namespace verbenastile {

// The production policy: a few readers in each failure domain, which send
// deltas to the other nodes.
struct DeltaTree {
  // A larger delta is only announced, and sent on request.
  std::size_t max_pushed_bytes = 2'048;
};

// The same readers, which send whole snapshots to the other nodes.
struct RelayFull {};

// Each node reads the platform and exchanges nothing with other nodes.
struct DirectFull {};

using PolicyVariant = std::variant<DeltaTree, RelayFull, DirectFull>;

PolicyVariant MakePolicy(DistributionPolicy policy);

// Whether nodes pass generations on to each other.
bool Relays(const PolicyVariant& policy);

// Whether generations are sent as deltas if the sender holds the base.
bool UsesDeltas(const PolicyVariant& policy);

// The message that a node sends to its children in the tree once `newest` is in
// force: a delta from `previous` or an announcement. `previous` may be null.
DistributionMessage PushMessage(const PolicyVariant& policy,
                                const SnapshotPointer& previous,
                                const Snapshot& newest);

}  // namespace verbenastile

#endif  // CORE_DISTRIBUTION_POLICY_H_
