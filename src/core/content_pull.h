// One request for content that a peer holds, from a delta to the whole.
#ifndef CORE_CONTENT_PULL_H_
#define CORE_CONTENT_PULL_H_

#include <optional>
#include <vector>

#include "core/distribution_message.h"
#include "core/snapshot_history.h"

namespace verbenastile {

// The digests of a version's items and those items that are held already.
class ItemAssembly {
 public:
  // `held` may be null.
  ItemAssembly(DigestsMessage wanted, const Snapshot* held);

  // Indexes of the items that are missing.
  std::vector<std::uint32_t> Missing() const;

  // Takes the missing items in order. Nothing when they are not those.
  std::optional<Snapshot> Complete(const ItemsMessage& message);

  const Version& version() const { return wanted_.version; }

 private:
  DigestsMessage wanted_;
  std::vector<ItemPointer> items_;  // Null where missing.
};

// What a node waits for from one peer.
struct ContentPull {
  SocketAddress from;
  Version wanted;
  AskMessage::Form form = AskMessage::Form::kDelta;
  Time expiry;
  std::optional<ItemAssembly> assembly;  // Once the digests are there.
};

}  // namespace verbenastile

#endif  // CORE_CONTENT_PULL_H_
