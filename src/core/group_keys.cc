#include "core/group_keys.h"

#include <xxhash.h>

#include <bit>

namespace verbenastile {

Digest KeyDigest(std::string_view key, std::uint64_t seed) {
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.data(), key.size(), seed);
  return {hash.high64, hash.low64};
}

GroupKeys::GroupKeys(std::span<const Group> groups, std::uint64_t seed)
    : seed_(seed) {
  std::size_t keys = 0;
  for (const Group& group : groups) {
    keys += group.keys.size();
  }
  if (keys == 0) {
    return;
  }
  slots_.resize(std::bit_ceil(2 * keys));
  for (std::size_t i = 0; i < groups.size(); ++i) {
    for (const std::string& key : groups[i].keys) {
      const Digest digest = KeyDigest(key, seed_);
      Slot& slot = slots_[SlotOf(digest)];
      if (slot.group == kEmpty) {
        slot = {digest, static_cast<std::uint32_t>(i)};
        ++size_;
      }
    }
  }
}

std::optional<std::size_t> GroupKeys::Find(const Digest& digest) const {
  if (slots_.empty()) {
    return std::nullopt;
  }
  const Slot& slot = slots_[SlotOf(digest)];
  if (slot.group == kEmpty) {
    return std::nullopt;
  }
  return slot.group;
}

std::size_t GroupKeys::SlotOf(const Digest& digest) const {
  const std::size_t mask = slots_.size() - 1;
  std::size_t index = static_cast<std::size_t>(digest.low) & mask;
  while (slots_[index].group != kEmpty && slots_[index].digest != digest) {
    index = (index + 1) & mask;
  }
  return index;
}

}  // namespace verbenastile
