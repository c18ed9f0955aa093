// Deltas between configuration generations: they transform the ordered items of
// one generation into those of another. Items are compared by content.
#ifndef CORE_DELTA_H_
#define CORE_DELTA_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/snapshot.h"

namespace verbenastile {

// Identifies a generation and its content. The default value identifies none.
struct Version {
  Generation generation = 0;
  Digest digest;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const Version&) const = default;
};

Version VersionOf(const Snapshot& snapshot);

// One step of a delta: copies `base_count` items of the base, starting at
// `base_begin`, then appends `items`.
struct Splice {
  std::uint32_t base_begin = 0;
  std::uint32_t base_count = 0;
  std::vector<ItemPointer> items;
};

// Transforms the version `from` into `to`. A delta from the default version
// holds the full generation.
struct Delta {
  Version from;
  Version to;
  std::vector<Splice> splices;

  bool is_full() const { return from == Version{}; }
};

// The maximum number of items in a generation that is received from a peer.
constexpr std::size_t kMaxSnapshotItems = 200'000;

Delta MakeDelta(const Snapshot& from, const Snapshot& to);

// Returns a delta that holds all items of `to`.
Delta MakeFullDelta(const Snapshot& to);

// Applies `delta` to `base` without verifying the digest. Returns nothing when
// a splice is out of range of the base or the result has too many items.
std::optional<std::vector<ItemPointer>> AssembleItems(
    std::span<const ItemPointer> base,
    const Delta& delta);

// Applies `delta` to `base`. Returns nothing when `AssembleItems` fails or the
// result does not match the digest in the delta.
std::optional<Snapshot> ApplyDelta(std::span<const ItemPointer> base,
                                   const Delta& delta);

}  // namespace verbenastile

#endif  // CORE_DELTA_H_
