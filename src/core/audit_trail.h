// The audit trail: the newest entries in the head, older ones in a chain of
// pages, and what can be read from them.
#ifndef CORE_AUDIT_TRAIL_H_
#define CORE_AUDIT_TRAIL_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/rules_head.h"
#include "core/utc_time.h"

namespace verbenastile {

// Bytes of all entries in the head before the older half is spilled.
constexpr std::size_t kMaxHeadAuditBytes = 131'072;
// Bounds of one entry.
constexpr std::size_t kMaxDifferenceNames = 100;
constexpr std::size_t kMaxWhoBytes = 128;
constexpr std::size_t kMaxReasonBytes = 1'024;

// Entries that left the head; never changed. Its name is made from its content.
struct AuditPage {
  std::string name;
  std::string previous;             // The next older page; empty: none.
  std::vector<AuditEntry> entries;  // Newest last.
};

nlohmann::json ToJson(const AuditPage& page);
// Errors: `HeadError`, also when the content does not belong to `name`.
leaf::result<AuditPage> ParseAuditPage(std::string_view name,
                                       const nlohmann::json& spec);

// Moves the older half of the entries out of `head` when there are more than
// the bounds allow. The page has to be written before the head that names it.
std::optional<AuditPage> SpillOldEntries(RulesHead& head);

// What led from `before` to `after`.
ChunkSplice MakeSplice(const std::vector<std::string>& before,
                       const std::vector<std::string>& after);

// The list of chunks before `splice`, when `after` is the one behind it.
// Nothing when the two do not belong together.
std::optional<std::vector<std::string>> UndoSplice(
    const ChunkSplice& splice,
    const std::vector<std::string>& after);

// About how many bytes `head` takes as an object; never too few by much.
std::size_t RoughBytes(const RulesHead& head);

// Which entries to show; an empty part holds for all.
struct AuditFilter {
  std::string group;
  std::string rule;
  std::string who;
  std::optional<UnixSeconds> since;
  std::optional<UnixSeconds> until;
};

// Whether `entry` passes, as far as the entry alone tells: with an omitted
// part of the difference, any rule may be in it.
bool Passes(const AuditEntry& entry, const AuditFilter& filter);

// The entry of that operation; null when there is none.
const AuditEntry* FindOperation(std::span<const AuditEntry> entries,
                                std::string_view operation_id);

// The entry in one line.
std::string ToText(const AuditEntry& entry);

}  // namespace verbenastile

#endif  // CORE_AUDIT_TRAIL_H_
