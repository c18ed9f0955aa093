// Deltas by content: how the ordered items of one generation become those of
// another.
#ifndef CORE_DELTA_H_
#define CORE_DELTA_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/snapshot.h"

namespace verbenastile {

// Names a generation and its content. The default names nothing.
struct Version {
  Generation generation = 0;
  Digest digest;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const Version&) const = default;
};

Version VersionOf(const Snapshot& snapshot);

// One step: `base_count` items of the base from `base_begin` on, then `items`.
struct Splice {
  std::uint32_t base_begin = 0;
  std::uint32_t base_count = 0;
  std::vector<ItemPointer> items;
};

// Leads from `from` to `to`. From nothing, it holds the whole generation.
struct Delta {
  Version from;
  Version to;
  std::vector<Splice> splices;

  bool whole() const { return from == Version{}; }
};

// More items than this are in no generation that a peer may send.
constexpr std::size_t kMaxSnapshotItems = 200'000;

Delta MakeDelta(const Snapshot& from, const Snapshot& to);

// All of `to`.
Delta MakeWhole(const Snapshot& to);

// The items that `delta` gives on `base`, unchecked; nothing when it does not
// fit the base.
std::optional<std::vector<ItemPointer>> AssembleItems(
    std::span<const ItemPointer> base,
    const Delta& delta);

// The generation that `delta` gives on `base`; nothing when it does not fit
// the base or does not give the digest that it states.
std::optional<Snapshot> ApplyDelta(std::span<const ItemPointer> base,
                                   const Delta& delta);

}  // namespace verbenastile

#endif  // CORE_DELTA_H_
