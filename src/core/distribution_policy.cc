#include "core/distribution_policy.h"

namespace verbenastile {
namespace {

struct PushVisitor {
  const SnapshotPointer& previous;
  const Snapshot& newest;

  DistributionMessage operator()(const DeltaTree& tree) const {
    if (previous) {
      DistributionMessage delta = MakeDelta(*previous, newest);
      if (WireBytes(delta) <= tree.max_pushed_bytes) {
        return delta;
      }
    }
    return Announcement();
  }
  DistributionMessage operator()(const RelayFull&) const {
    return Announcement();
  }
  DistributionMessage operator()(const DirectFull&) const {
    return Announcement();
  }

  SummaryMessage Announcement() const { return {VersionOf(newest), false}; }
};

}  // namespace

PolicyVariant MakePolicy(DistributionPolicy policy) {
  switch (policy) {
    case DistributionPolicy::kRelayFull:
      return RelayFull{};
    case DistributionPolicy::kDirectFull:
      return DirectFull{};
    case DistributionPolicy::kDeltaTree:
      break;
  }
  return DeltaTree{};
}

bool Relays(const PolicyVariant& policy) {
  return !std::holds_alternative<DirectFull>(policy);
}

bool UsesDeltas(const PolicyVariant& policy) {
  return std::holds_alternative<DeltaTree>(policy);
}

DistributionMessage PushMessage(const PolicyVariant& policy,
                                const SnapshotPointer& previous,
                                const Snapshot& newest) {
  return std::visit(PushVisitor{previous, newest}, policy);
}

}  // namespace verbenastile
