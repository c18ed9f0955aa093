// Finds the group that a caller's key belongs to.
#ifndef CORE_GROUP_KEYS_H_
#define CORE_GROUP_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "config/rules.h"
#include "core/digest.h"

namespace verbenastile {

class GroupKeys {
 public:
  GroupKeys() = default;
  explicit GroupKeys(std::span<const Group> groups);

  // The index of the group that has `key`; empty if none has.
  std::optional<std::size_t> Find(std::string_view key) const;

  std::size_t size() const { return group_by_key_.size(); }

 private:
  struct HashDigest {
    std::size_t operator()(const Digest& digest) const {
      return static_cast<std::size_t>(digest.low);
    }
  };

  // By the digest of the key, so that the time of a lookup says nothing about
  // how many bytes of a guessed key are right.
  std::unordered_map<Digest, std::uint32_t, HashDigest> group_by_key_;
};

}  // namespace verbenastile

#endif  // CORE_GROUP_KEYS_H_
