// The last generations that this node held, from which it makes deltas.
#ifndef CORE_SNAPSHOT_HISTORY_H_
#define CORE_SNAPSHOT_HISTORY_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "core/delta.h"

namespace verbenastile {

using SnapshotPointer = std::shared_ptr<const Snapshot>;

// Bounded by generations and by the bytes that only older ones hold.
class SnapshotHistory {
 public:
  SnapshotHistory(std::size_t max_generations, std::size_t max_old_bytes)
      : max_generations_(max_generations), max_old_bytes_(max_old_bytes) {}

  // Adds the newest generation and drops the oldest beyond the bounds.
  void Add(SnapshotPointer snapshot);

  // Null when it is not held.
  SnapshotPointer Find(const Version& version) const;

  // Bytes of items that the newest generation does not share with the one
  // before it, and so on back; the newest itself is not counted.
  std::size_t old_bytes() const { return old_bytes_; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    SnapshotPointer snapshot;
    std::size_t own_bytes = 0;  // Not shared with the next newer one.
  };

  std::size_t max_generations_;
  std::size_t max_old_bytes_;
  std::size_t old_bytes_ = 0;
  std::deque<Entry> entries_;  // Oldest first.
};

}  // namespace verbenastile

#endif  // CORE_SNAPSHOT_HISTORY_H_
