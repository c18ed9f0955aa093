// A generation of the configuration as it travels: an ordered list of items
// that are told apart by content.
#ifndef CORE_SNAPSHOT_H_
#define CORE_SNAPSHOT_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "config/rules.h"
#include "core/digest.h"

namespace verbenastile {

// Counts accepted changes of the configuration; 0 is none.
using Generation = std::uint64_t;

enum class ItemKind : std::uint8_t { kService = 0, kGroup = 1, kRule = 2 };

// Why a body cannot be read.
struct ItemFault {
  std::string reason;
};

// What a body says.
using ItemContent = std::variant<ItemFault, Service, Group, Rule>;

// One service, group or rule in its canonical text. It is read once, when it
// is made: the generations that share it need not read it again.
struct ConfigItem {
  ItemKind kind = ItemKind::kRule;
  std::string body;
  Digest digest;  // Of the kind and the body.
  ItemContent content;
};

// Items are never changed and are shared by the snapshots that hold them.
using ItemPointer = std::shared_ptr<const ConfigItem>;

// One generation: items in the order services, groups, rules.
struct Snapshot {
  Generation generation = 0;
  Digest digest;  // Of the items' digests, in order.
  std::vector<ItemPointer> items;
};

// An item with a fault as its content when `body` cannot be read.
ItemPointer MakeItem(ItemKind kind, std::string body);

Digest DigestOfItems(std::span<const ItemPointer> items);

Snapshot MakeSnapshot(Generation generation, std::vector<ItemPointer> items);

Snapshot MakeSnapshot(Generation generation, const RuleDocument& document);

// Errors: `ConfigError` when an item could not be read.
leaf::result<RuleDocument> ToDocument(const Snapshot& snapshot);

// The bytes of all bodies.
std::size_t BodyBytes(const Snapshot& snapshot);

}  // namespace verbenastile

#endif  // CORE_SNAPSHOT_H_
