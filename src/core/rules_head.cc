#include "core/rules_head.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace verbenastile {

using nlohmann::json;

// NOLINTNEXTLINE(readability-identifier-naming): required by nlohmann::json.
void to_json(json& out, const ChunkSplice& splice) {
  out = {{"position", splice.position},
         {"added", splice.added},
         {"removed", splice.removed}};
}

// NOLINTNEXTLINE(readability-identifier-naming): required by nlohmann::json.
void from_json(const json& in, ChunkSplice& splice) {
  in.at("position").get_to(splice.position);
  in.at("added").get_to(splice.added);
  in.at("removed").get_to(splice.removed);
}

// NOLINTNEXTLINE(readability-identifier-naming): required by nlohmann::json.
void to_json(json& out, const AuditEntry& entry) {
  out = {{"generationBefore", entry.generation_before},
         {"generationAfter", entry.generation_after},
         {"operationId", entry.operation_id},
         {"operation", entry.operation},
         {"who", entry.who},
         {"from", entry.from},
         {"when", entry.when},
         {"reason", entry.reason},
         {"difference", entry.difference},
         {"differenceOmitted", entry.difference_omitted},
         {"groups", entry.groups},
         {"digest", ToString(entry.digest)},
         {"splice", entry.splice}};
}

// NOLINTNEXTLINE(readability-identifier-naming): required by nlohmann::json.
void from_json(const json& in, AuditEntry& entry) {
  in.at("generationBefore").get_to(entry.generation_before);
  in.at("generationAfter").get_to(entry.generation_after);
  in.at("operationId").get_to(entry.operation_id);
  in.at("operation").get_to(entry.operation);
  in.at("who").get_to(entry.who);
  in.at("from").get_to(entry.from);
  in.at("when").get_to(entry.when);
  in.at("reason").get_to(entry.reason);
  in.at("difference").get_to(entry.difference);
  in.at("differenceOmitted").get_to(entry.difference_omitted);
  in.at("groups").get_to(entry.groups);
  entry.digest = ParseDigest(in.at("digest").get<std::string>()).value();
  in.at("splice").get_to(entry.splice);
}

namespace {

// An item ends a chunk when these bits of its digest are 0, which holds for one
// item in 32 on average.
constexpr std::uint64_t kChunkEndMask = 31;
// Keeps a chunk well below the platform's value limit of 1 MB.
constexpr std::size_t kMaxChunkBytes = 262'144;

constexpr const char* kKindNames[] = {"service", "group", "rule"};

bool EndsChunk(const ConfigItem& item) {
  return (item.digest.low & kChunkEndMask) == 0;
}

RulesChunk MakeChunk(std::vector<ItemPointer> items) {
  std::string name = ToString(DigestOfItems(items));
  return {std::move(name), std::move(items)};
}

ItemPointer ParseItem(const json& item) {
  const auto kind = item.at("kind").get<std::string>();
  for (std::size_t index = 0; index < std::size(kKindNames); ++index) {
    if (kind == kKindNames[index]) {
      return MakeItem(static_cast<ItemKind>(index),
                      item.at("body").get<std::string>());
    }
  }
  return nullptr;
}

// Runs `parse` and converts exceptions of the JSON library, and of a malformed
// digest, to `HeadError`.
template <typename T, typename Parse>
leaf::result<T> ParseGuarded(Parse parse) {
  try {
    return parse();
  } catch (const json::exception& error) {
    return leaf::new_error(HeadError{error.what()});
  } catch (const std::bad_optional_access&) {
    return leaf::new_error(HeadError{"a digest is malformed"});
  }
}

}  // namespace

json ToJson(const RulesHead& head) {
  return {{"generation", head.generation},
          {"digest", ToString(head.digest)},
          {"chunks", head.chunks},
          {"audit", head.audit},
          {"auditPage", head.audit_page}};
}

leaf::result<RulesHead> ParseHead(const json& spec) {
  return ParseGuarded<RulesHead>([&]() -> leaf::result<RulesHead> {
    RulesHead head;
    spec.at("generation").get_to(head.generation);
    const auto digest = ParseDigest(spec.at("digest").get<std::string>());
    if (!digest) {
      return leaf::new_error(HeadError{"the head's digest is malformed"});
    }
    head.digest = *digest;
    spec.at("chunks").get_to(head.chunks);
    spec.at("audit").get_to(head.audit);
    spec.at("auditPage").get_to(head.audit_page);
    return head;
  });
}

json ToJson(const AuditEntry& entry) {
  return entry;
}

leaf::result<AuditEntry> ParseAuditEntry(const json& entry) {
  return ParseGuarded<AuditEntry>(
      [&]() -> leaf::result<AuditEntry> { return entry.get<AuditEntry>(); });
}

std::vector<RulesChunk> SplitIntoChunks(std::span<const ItemPointer> items) {
  std::vector<RulesChunk> chunks;
  std::vector<ItemPointer> chunk_items;
  std::size_t chunk_bytes = 0;
  for (const ItemPointer& item : items) {
    chunk_items.push_back(item);
    chunk_bytes += item->body.size();
    if (EndsChunk(*item) || chunk_bytes >= kMaxChunkBytes) {
      chunks.push_back(MakeChunk(std::move(chunk_items)));
      chunk_items.clear();
      chunk_bytes = 0;
    }
  }
  if (!chunk_items.empty()) {
    chunks.push_back(MakeChunk(std::move(chunk_items)));
  }
  return chunks;
}

json ToJson(const RulesChunk& chunk) {
  json items = json::array();
  for (const ItemPointer& item : chunk.items) {
    items.push_back({{"kind", kKindNames[static_cast<int>(item->kind)]},
                     {"body", item->body}});
  }
  return {{"items", std::move(items)}};
}

leaf::result<RulesChunk> ParseChunk(std::string_view name, const json& spec) {
  return ParseGuarded<RulesChunk>([&]() -> leaf::result<RulesChunk> {
    std::vector<ItemPointer> items;
    for (const json& entry : spec.at("items")) {
      ItemPointer item = ParseItem(entry);
      if (!item) {
        return leaf::new_error(HeadError{"unknown item kind"});
      }
      items.push_back(std::move(item));
    }
    RulesChunk chunk = MakeChunk(std::move(items));
    if (chunk.name != name) {
      return leaf::new_error(HeadError{
          fmt::format("chunk {} holds the content of {}", name, chunk.name)});
    }
    return chunk;
  });
}

leaf::result<Snapshot> AssembleSnapshot(const RulesHead& head,
                                        std::span<const RulesChunk> chunks) {
  std::vector<ItemPointer> items;
  for (const RulesChunk& chunk : chunks) {
    items.insert(items.end(), chunk.items.begin(), chunk.items.end());
  }
  Snapshot snapshot = MakeSnapshot(head.generation, std::move(items));
  if (snapshot.digest != head.digest) {
    return leaf::new_error(HeadError{
        fmt::format("the chunks of generation {} do not match its digest",
                    head.generation)});
  }
  return snapshot;
}

}  // namespace verbenastile
