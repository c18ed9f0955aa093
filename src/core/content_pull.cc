#include "core/content_pull.h"

#include <map>

namespace verbenastile {

ItemAssembly::ItemAssembly(DigestsMessage wanted, const Snapshot* held)
    : wanted_(std::move(wanted)), items_(wanted_.digests.size()) {
  std::map<Digest, ItemPointer> known;
  if (held != nullptr) {
    for (const ItemPointer& item : held->items) {
      known.emplace(item->digest, item);
    }
  }
  for (std::size_t index = 0; index < items_.size(); ++index) {
    const auto found = known.find(wanted_.digests[index]);
    items_[index] = found == known.end() ? nullptr : found->second;
  }
}

std::vector<std::uint32_t> ItemAssembly::Missing() const {
  std::vector<std::uint32_t> missing;
  for (std::uint32_t index = 0; index < items_.size(); ++index) {
    if (!items_[index]) {
      missing.push_back(index);
    }
  }
  return missing;
}

std::optional<Snapshot> ItemAssembly::Complete(const ItemsMessage& message) {
  const std::vector<std::uint32_t> missing = Missing();
  if (message.items.size() != missing.size()) {
    return std::nullopt;
  }
  for (std::size_t index = 0; index < missing.size(); ++index) {
    const ItemPointer& item = message.items[index];
    if (item->digest != wanted_.digests[missing[index]]) {
      return std::nullopt;
    }
    items_[missing[index]] = item;
  }
  Snapshot snapshot = MakeSnapshot(wanted_.version.generation, items_);
  if (snapshot.digest != wanted_.version.digest) {
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace verbenastile
