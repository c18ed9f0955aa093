#include "core/snapshot_history.h"

#include <algorithm>
#include <set>

namespace verbenastile {
namespace {

// The bytes of the items of `older` that are not in `newer`, plus the size of
// the item list of `older`.
std::size_t UnsharedBytes(const Snapshot& older, const Snapshot& newer) {
  std::set<const ConfigItem*> shared;
  for (const ItemPointer& item : newer.items) {
    shared.insert(item.get());
  }
  std::size_t bytes = older.items.size() * sizeof(ItemPointer);
  for (const ItemPointer& item : older.items) {
    bytes += shared.contains(item.get())
                 ? 0
                 : sizeof(ConfigItem) + item->body.size();
  }
  return bytes;
}

}  // namespace

void SnapshotHistory::Add(SnapshotPointer snapshot) {
  if (!entries_.empty()) {
    Entry& previous = entries_.back();
    previous.unshared_bytes = UnsharedBytes(*previous.snapshot, *snapshot);
    old_bytes_ += previous.unshared_bytes;
  }
  entries_.push_back({std::move(snapshot), 0});
  while (entries_.size() > 1 &&
         (entries_.size() > max_generations_ || old_bytes_ > max_old_bytes_)) {
    old_bytes_ -= entries_.front().unshared_bytes;
    entries_.pop_front();
  }
}

SnapshotPointer SnapshotHistory::Find(const Version& version) const {
  const auto found =
      std::find_if(entries_.rbegin(), entries_.rend(), [&](const Entry& entry) {
        return VersionOf(*entry.snapshot) == version;
      });
  return found == entries_.rend() ? nullptr : found->snapshot;
}

}  // namespace verbenastile
