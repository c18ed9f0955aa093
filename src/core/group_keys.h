// Finds the group that a caller's key belongs to. Keys are secrets: this keeps
// digests of them, under a seed of this process that callers don't know.
#ifndef CORE_GROUP_KEYS_H_
#define CORE_GROUP_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "config/rules.h"
#include "core/digest.h"

namespace verbenastile {

// The digest of a key under the seed of this process. Equal seeds make digests
// of different tables comparable.
Digest KeyDigest(std::string_view key, std::uint64_t seed);

class GroupKeys {
 public:
  GroupKeys() = default;
  GroupKeys(std::span<const Group> groups, std::uint64_t seed);

  // The index of the group that has the key with this digest; empty if none
  // has.
  std::optional<std::size_t> Find(const Digest& digest) const;
  std::optional<std::size_t> Find(std::string_view key) const {
    return Find(KeyDigest(key, seed_));
  }

  std::size_t size() const { return size_; }
  std::uint64_t seed() const { return seed_; }
  // Memory that the table takes.
  std::size_t bytes() const { return slots_.size() * sizeof(Slot); }

 private:
  struct Slot {
    Digest digest;
    std::uint32_t group = kEmpty;
  };

  static constexpr std::uint32_t kEmpty = 0xffff'ffff;

  // The slot that holds `digest`, or the empty one where it belongs.
  std::size_t SlotOf(const Digest& digest) const;

  std::uint64_t seed_ = 0;
  // An open-addressed hash table, at most half full; its size is a power of
  // two. Whole digests are compared, so that the time of a lookup says nothing
  // about how many bytes of a guessed key are right.
  std::vector<Slot> slots_;
  std::size_t size_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_GROUP_KEYS_H_
