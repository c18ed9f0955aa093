#include "core/snapshot.h"

#include <boost/leaf/handle_errors.hpp>
#include <numeric>

namespace verbenastile {
namespace {

ItemPointer MakeParsedItem(ItemKind kind,
                           std::string body,
                           ItemContent content) {
  std::string tagged(1, static_cast<char>(kind));
  tagged += body;
  const Digest digest = DigestOf(tagged);
  return std::make_shared<const ConfigItem>(
      ConfigItem{kind, std::move(body), digest, std::move(content)});
}

template <typename T>
void AppendItems(ItemKind kind,
                 const std::vector<T>& parts,
                 std::vector<ItemPointer>& items) {
  for (const T& part : parts) {
    items.push_back(MakeParsedItem(kind, ToCanonicalText(part), part));
  }
}

// Parses `body` with `parse`, one of the parsers in rules.h.
template <typename T>
ItemContent ParseContent(const std::string& body,
                         leaf::result<T> (*parse)(const std::string&)) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ItemContent> {
        BOOST_LEAF_AUTO(part, parse(body));
        return ItemContent(std::move(part));
      },
      [](const ConfigError& error) {
        return ItemContent(ItemFault{ToString(error)});
      },
      [] { return ItemContent(ItemFault{"unknown error"}); });
}

ItemContent ParseContent(ItemKind kind, const std::string& body) {
  switch (kind) {
    case ItemKind::kService:
      return ParseContent<Service>(body, ParseService);
    case ItemKind::kGroup:
      return ParseContent<Group>(body, ParseGroup);
    case ItemKind::kRule:
      return ParseContent<Rule>(body, ParseRule);
  }
  return ItemFault{"unknown kind"};
}

// Appends the parsed content of an item to a document.
struct DocumentAppender {
  RuleDocument& document;

  leaf::result<void> operator()(const ItemFault& fault) const {
    return leaf::new_error(ConfigError{{{"item", {}, fault.reason}}});
  }
  leaf::result<void> operator()(const Service& service) const {
    document.services.push_back(service);
    return {};
  }
  leaf::result<void> operator()(const Group& group) const {
    document.groups.push_back(group);
    return {};
  }
  leaf::result<void> operator()(const Rule& rule) const {
    document.rules.push_back(rule);
    return {};
  }
};

}  // namespace

ItemPointer MakeItem(ItemKind kind, std::string body) {
  ItemContent content = ParseContent(kind, body);
  return MakeParsedItem(kind, std::move(body), std::move(content));
}

Digest DigestOfItems(std::span<const ItemPointer> items) {
  std::string bytes;
  bytes.reserve(items.size() * 2 * sizeof(std::uint64_t));
  for (const ItemPointer& item : items) {
    for (const std::uint64_t half : {item->digest.high, item->digest.low}) {
      for (unsigned shift = 0; shift < 64; shift += 8) {
        bytes += static_cast<char>(half >> shift);
      }
    }
  }
  return DigestOf(bytes);
}

Snapshot MakeSnapshot(Generation generation, std::vector<ItemPointer> items) {
  Snapshot snapshot;
  snapshot.generation = generation;
  snapshot.digest = DigestOfItems(items);
  snapshot.items = std::move(items);
  return snapshot;
}

Snapshot MakeSnapshot(Generation generation, const RuleDocument& document) {
  std::vector<ItemPointer> items;
  AppendItems(ItemKind::kService, document.services, items);
  AppendItems(ItemKind::kGroup, document.groups, items);
  AppendItems(ItemKind::kRule, document.rules, items);
  return MakeSnapshot(generation, std::move(items));
}

leaf::result<RuleDocument> ToDocument(const Snapshot& snapshot) {
  RuleDocument document;
  const DocumentAppender appender{document};
  for (const ItemPointer& item : snapshot.items) {
    BOOST_LEAF_CHECK(std::visit(appender, item->content));
  }
  return document;
}

std::size_t BodyBytes(const Snapshot& snapshot) {
  return std::accumulate(snapshot.items.begin(), snapshot.items.end(),
                         std::size_t{0},
                         [](std::size_t sum, const ItemPointer& item) {
                           return sum + item->body.size();
                         });
}

}  // namespace verbenastile
