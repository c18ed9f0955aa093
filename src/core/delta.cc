#include "core/delta.h"

#include <map>

namespace verbenastile {
namespace {

using Places = std::map<Digest, std::uint32_t>;

Places PlacesOf(std::span<const ItemPointer> items) {
  Places places;
  for (std::uint32_t index = 0; index < items.size(); ++index) {
    places.emplace(items[index]->digest, index);
  }
  return places;
}

// Whether the base goes on with `item` after `splice`.
bool Continues(const Splice& splice,
               std::span<const ItemPointer> base,
               const ConfigItem& item) {
  const std::size_t next = splice.base_begin + splice.base_count;
  return splice.items.empty() && next < base.size() &&
         base[next]->digest == item.digest;
}

bool Fits(const Splice& splice, std::size_t base_size) {
  return splice.base_begin <= base_size &&
         splice.base_count <= base_size - splice.base_begin;
}

}  // namespace

Version VersionOf(const Snapshot& snapshot) {
  return {snapshot.generation, snapshot.digest};
}

Delta MakeDelta(const Snapshot& from, const Snapshot& to) {
  Delta delta{VersionOf(from), VersionOf(to), {}};
  const Places places = PlacesOf(from.items);
  delta.splices.emplace_back();
  for (const ItemPointer& item : to.items) {
    Splice& last = delta.splices.back();
    if (Continues(last, from.items, *item)) {
      ++last.base_count;
      continue;
    }
    const auto place = places.find(item->digest);
    if (place == places.end()) {
      last.items.push_back(item);
      continue;
    }
    delta.splices.push_back({place->second, 1, {}});
  }
  return delta;
}

Delta MakeWhole(const Snapshot& to) {
  return {{}, VersionOf(to), {{0, 0, to.items}}};
}

std::optional<std::vector<ItemPointer>> AssembleItems(
    std::span<const ItemPointer> base,
    const Delta& delta) {
  std::vector<ItemPointer> items;
  for (const Splice& splice : delta.splices) {
    const std::size_t added = splice.base_count + splice.items.size();
    if (!Fits(splice, base.size()) ||
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
