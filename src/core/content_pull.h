// A request for a version's content from one peer, as a delta, as item digests
// followed by the missing items, or as a whole snapshot.
#ifndef CORE_CONTENT_PULL_H_
#define CORE_CONTENT_PULL_H_

#include <optional>
#include <vector>

#include "core/distribution_message.h"
#include "core/snapshot_history.h"

namespace verbenastile {

// Assembles a version from its item digests, the items already held and the
// items received from a peer.
class ItemAssembly {
 public:
  // `held` may be null.
  ItemAssembly(DigestsMessage wanted, const Snapshot* held);

  // Indexes of the items that are missing.
  std::vector<std::uint32_t> Missing() const;

  // Adds the missing items, in the order of `Missing`, and returns the
  // snapshot. Returns nullopt if an item or the snapshot does not match its
  // digest, or if the number of items is wrong.
  std::optional<Snapshot> Complete(const ItemsMessage& message);

  const Version& version() const { return wanted_.version; }

 private:
  DigestsMessage wanted_;
  std::vector<ItemPointer> items_;  // Null where missing.
};

// An outstanding request to one peer.
struct ContentPull {
  SocketAddress from;
  Version wanted;
  AskMessage::Form form = AskMessage::Form::kDelta;
  Time expiry;
  std::optional<ItemAssembly> assembly;  // Set once digests arrive.
};

}  // namespace verbenastile

#endif  // CORE_CONTENT_PULL_H_
