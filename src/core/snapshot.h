// A configuration generation in the form in which it is stored and transferred:
// an ordered list of items that are identified by their content.
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

// The number of accepted changes of the configuration; 0 means no
// configuration.
using Generation = std::uint64_t;

enum class ItemKind : std::uint8_t { kService = 0, kGroup = 1, kRule = 2 };

// Why the body of an item could not be parsed.
struct ItemFault {
  std::string reason;
};

// The parsed body of an item.
using ItemContent = std::variant<ItemFault, Service, Group, Rule>;

// One service, group or rule in its canonical text form. The body is parsed
// once on construction, so generations that share the item do not parse it
// again.
struct ConfigItem {
  ItemKind kind = ItemKind::kRule;
  std::string body;
  Digest digest;  // Of the kind and the body.
  ItemContent content;
};

// Items are immutable and are shared between snapshots.
using ItemPointer = std::shared_ptr<const ConfigItem>;

// One generation. Items are ordered: services, then groups, then rules.
struct Snapshot {
  Generation generation = 0;
  Digest digest;  // Of the items' digests, in order.
  std::vector<ItemPointer> items;
};

// Parses `body` into an item. The content is an `ItemFault` when parsing fails.
ItemPointer MakeItem(ItemKind kind, std::string body);

Digest DigestOfItems(std::span<const ItemPointer> items);

Snapshot MakeSnapshot(Generation generation, std::vector<ItemPointer> items);

Snapshot MakeSnapshot(Generation generation, const RuleDocument& document);

// Errors: `ConfigError` when an item could not be parsed.
leaf::result<RuleDocument> ToDocument(const Snapshot& snapshot);

// Returns the total size of all item bodies.
std::size_t BodyBytes(const Snapshot& snapshot);

}  // namespace verbenastile

#endif  // CORE_SNAPSHOT_H_
