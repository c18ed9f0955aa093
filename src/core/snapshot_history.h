// Keeps recent generations as the bases for deltas to peers.
#ifndef CORE_SNAPSHOT_HISTORY_H_
#define CORE_SNAPSHOT_HISTORY_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "core/delta.h"

namespace verbenastile {

using SnapshotPointer = std::shared_ptr<const Snapshot>;

// Bounded by the number of generations and by the memory that only older
// generations use.
class SnapshotHistory {
 public:
  SnapshotHistory(std::size_t max_generations, std::size_t max_old_bytes)
      : max_generations_(max_generations), max_old_bytes_(max_old_bytes) {}

  // Adds the newest generation and drops the oldest ones that exceed the
  // bounds.
  void Add(SnapshotPointer snapshot);

  // Returns null when the version is not in the history.
  SnapshotPointer Find(const Version& version) const;

  // The memory used only by older generations: for each of them, the bytes that
  // it does not share with the next newer one.
  std::size_t old_bytes() const { return old_bytes_; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    SnapshotPointer snapshot;
    std::size_t unshared_bytes = 0;  // Not shared with the next newer one.
  };

  std::size_t max_generations_;
  std::size_t max_old_bytes_;
  std::size_t old_bytes_ = 0;
  std::deque<Entry> entries_;  // Oldest first.
};

}  // namespace verbenastile

#endif  // CORE_SNAPSHOT_HISTORY_H_
