// The head object at the platform: which generation is accepted, where its
// content lies, and who made it so.
#ifndef CORE_RULES_HEAD_H_
#define CORE_RULES_HEAD_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/snapshot.h"

namespace verbenastile {

// Names of the objects at the platform.
constexpr const char* kHeadKind = "rulesheads";
constexpr const char* kHeadName = "head";
constexpr const char* kChunkKind = "ruleschunks";
constexpr const char* kAuditKind = "auditpages";
constexpr const char* kRosterKind = "rosters";

// Audit entries in the head before the older half is spilled to a page.
constexpr std::size_t kMaxHeadAuditEntries = 64;
// Bytes of the head and of any other object; the platform bounds a value at a
// megabyte.
constexpr std::size_t kMaxObjectBytes = 900'000;

// An object at the platform that cannot be what it should be.
struct HeadError {
  std::string reason;
};

// How a list of chunk names became the next one: from `position` on, the names
// in `removed` gave way to `added` others.
struct ChunkSplice {
  std::size_t position = 0;
  std::size_t added = 0;
  std::vector<std::string> removed;
};

// Who changed what, when and why.
struct AuditEntry {
  Generation generation_before = 0;
  Generation generation_after = 0;
  std::string operation_id;
  std::string operation;  // Such as "add pay".
  std::string who;
  std::string from;  // The host that the operator's tool ran on.
  std::string when;  // UTC, ISO 8601, by the operator's clock.
  std::string reason;
  // "+", "-", "~" or ">" and a rule's id.
  std::vector<std::string> difference;
  // Names of the difference beyond the bound of an entry.
  std::size_t difference_omitted = 0;
  std::vector<std::string> groups;  // Owners of the rules that changed.
  Digest digest;                    // Of the snapshot after the change.
  ChunkSplice splice;               // Leads back to the chunks before it.
};

struct RulesHead {
  Generation generation = 0;
  Digest digest;                    // Of the snapshot.
  std::vector<std::string> chunks;  // Names of chunk objects, in order.
  std::vector<AuditEntry> audit;    // Newest last.
  std::string audit_page;  // The newest page of older entries; empty: none.
};

nlohmann::json ToJson(const RulesHead& head);
// Errors: `HeadError`.
leaf::result<RulesHead> ParseHead(const nlohmann::json& spec);

nlohmann::json ToJson(const AuditEntry& entry);
// Errors: `HeadError`.
leaf::result<AuditEntry> ParseAuditEntry(const nlohmann::json& entry);

// A run of items under a name that is made from their content.
struct RulesChunk {
  std::string name;
  std::vector<ItemPointer> items;
};

// Cuts `items` where an item's digest says so, so that one changed item
// changes one chunk, two at the most.
std::vector<RulesChunk> CutIntoChunks(std::span<const ItemPointer> items);

nlohmann::json ToJson(const RulesChunk& chunk);
// Errors: `HeadError`, also when the content does not belong to `name`.
leaf::result<RulesChunk> ParseChunk(std::string_view name,
                                    const nlohmann::json& spec);

// Puts a snapshot together. Errors: `HeadError` when the chunks do not give
// the head's digest.
leaf::result<Snapshot> AssembleSnapshot(const RulesHead& head,
                                        std::span<const RulesChunk> chunks);

}  // namespace verbenastile

#endif  // CORE_RULES_HEAD_H_
