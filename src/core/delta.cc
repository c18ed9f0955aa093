#include "core/delta.h"

#include <map>

namespace verbenastile {
namespace {

using ItemPositions = std::map<Digest, std::uint32_t>;

ItemPositions IndexByDigest(std::span<const ItemPointer> items) {
  ItemPositions positions;
  for (std::uint32_t index = 0; index < items.size(); ++index) {
    positions.emplace(items[index]->digest, index);
  }
  return positions;
}

// Whether `item` is the next item of the base after the range that `splice`
// copies, so that the range can be extended.
bool ExtendsSplice(const Splice& splice,
                   std::span<const ItemPointer> base,
                   const ConfigItem& item) {
  const std::size_t next = splice.base_begin + splice.base_count;
  return splice.items.empty() && next < base.size() &&
         base[next]->digest == item.digest;
}

bool IsInRange(const Splice& splice, std::size_t base_size) {
  return splice.base_begin <= base_size &&
         splice.base_count <= base_size - splice.base_begin;
}

}  // namespace

Version VersionOf(const Snapshot& snapshot) {
  return {snapshot.generation, snapshot.digest};
}

Delta MakeDelta(const Snapshot& from, const Snapshot& to) {
  Delta delta{VersionOf(from), VersionOf(to), {}};
  const ItemPositions positions = IndexByDigest(from.items);
  delta.splices.emplace_back();
  for (const ItemPointer& item : to.items) {
    Splice& last = delta.splices.back();
    if (ExtendsSplice(last, from.items, *item)) {
      ++last.base_count;
      continue;
    }
    const auto position = positions.find(item->digest);
    if (position == positions.end()) {
      last.items.push_back(item);
      continue;
    }
    delta.splices.push_back({position->second, 1, {}});
  }
  return delta;
}

Delta MakeFullDelta(const Snapshot& to) {
  return {{}, VersionOf(to), {{0, 0, to.items}}};
}

std::optional<std::vector<ItemPointer>> AssembleItems(
    std::span<const ItemPointer> base,
    const Delta& delta) {
  std::vector<ItemPointer> items;
  for (const Splice& splice : delta.splices) {
    const std::size_t added = splice.base_count + splice.items.size();
    if (!IsInRange(splice, base.size()) ||
        items.size() + added > kMaxSnapshotItems) {
      return std::nullopt;
    }
    const auto kept = base.subspan(splice.base_begin, splice.base_count);
    items.insert(items.end(), kept.begin(), kept.end());
    items.insert(items.end(), splice.items.begin(), splice.items.end());
  }
  return items;
}

std::optional<Snapshot> ApplyDelta(std::span<const ItemPointer> base,
                                   const Delta& delta) {
  auto items = AssembleItems(base, delta);
  if (!items) {
    return std::nullopt;
  }
  Snapshot snapshot = MakeSnapshot(delta.to.generation, std::move(*items));
  if (snapshot.digest != delta.to.digest) {
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace verbenastile
