// The head object in the platform's store: the accepted generation, the objects
// that hold its content, and the audit trail of the changes.
#ifndef CORE_RULES_HEAD_H_
#define CORE_RULES_HEAD_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/snapshot.h"

namespace verbenastile {

// Kinds and names of objects in the platform's store.
constexpr const char* kHeadKind = "rulesheads";
constexpr const char* kHeadName = "head";
constexpr const char* kChunkKind = "ruleschunks";
constexpr const char* kAuditKind = "auditpages";
constexpr const char* kRosterKind = "rosters";

// Audit entries in the head before the older half is moved to a page object.
constexpr std::size_t kMaxHeadAuditEntries = 64;
// The maximum size of any object; the platform limits a value to 1 MB.
constexpr std::size_t kMaxObjectBytes = 900'000;

// An object read from the platform's store is malformed or inconsistent.
struct HeadError {
  std::string reason;
};

// The difference between two consecutive lists of chunk names: at `position`,
// the names in `removed` were replaced by `added` new names.
struct ChunkSplice {
  std::size_t position = 0;
  std::size_t added = 0;
  std::vector<std::string> removed;
};

// One change of the configuration, as recorded for operators.
struct AuditEntry {
  Generation generation_before = 0;
  Generation generation_after = 0;
  std::string operation_id;
  std::string operation;  // For example "add pay".
  std::string who;
  std::string from;  // The host that the operator's tool ran on.
  std::string when;  // UTC, ISO 8601, by the operator's clock.
  std::string reason;
  // One entry for each changed item: "+" (added), "-" (removed), "~" (modified)
  // or ">" (moved), followed by the rule's id, "service NAME" or "group NAME".
  std::vector<std::string> difference;
  // The number of entries left out of `difference` to bound its size.
  std::size_t difference_omitted = 0;
  std::vector<std::string> groups;  // Owners of the rules that changed.
  Digest digest;                    // Of the snapshot after the change.
  ChunkSplice splice;               // Restores the previous chunk list.
};

struct RulesHead {
  Generation generation = 0;
  Digest digest;                    // Of the snapshot.
  std::vector<std::string> chunks;  // Names of chunk objects, in order.
  std::vector<AuditEntry> audit;    // Newest last.
  std::string audit_page;  // The newest page of older entries, or empty.
};

nlohmann::json ToJson(const RulesHead& head);
// Errors: `HeadError`.
leaf::result<RulesHead> ParseHead(const nlohmann::json& spec);

nlohmann::json ToJson(const AuditEntry& entry);
// Errors: `HeadError`.
leaf::result<AuditEntry> ParseAuditEntry(const nlohmann::json& entry);

// A sequence of consecutive items, stored under a name derived from the digests
// of the items.
struct RulesChunk {
  std::string name;
  std::vector<ItemPointer> items;
};

// Splits `items` at boundaries chosen by the items' digests, so that changing
// one item changes one chunk, or at most two.
std::vector<RulesChunk> SplitIntoChunks(std::span<const ItemPointer> items);

nlohmann::json ToJson(const RulesChunk& chunk);
// Errors: `HeadError`, also when the content does not match `name`.
leaf::result<RulesChunk> ParseChunk(std::string_view name,
                                    const nlohmann::json& spec);

// Assembles a snapshot from the chunks that the head lists. Errors: `HeadError`
// when the result does not match the head's digest.
leaf::result<Snapshot> AssembleSnapshot(const RulesHead& head,
                                        std::span<const RulesChunk> chunks);

}  // namespace verbenastile

#endif  // CORE_RULES_HEAD_H_
