// The audit trail of rule changes. The head holds the newest entries; older
// ones are in a linked list of immutable pages.
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

// When the entries in the head exceed this size, the older half is moved to a
// page.
constexpr std::size_t kMaxHeadAuditBytes = 131'072;
// Limits for one entry.
constexpr std::size_t kMaxDifferenceNames = 100;
constexpr std::size_t kMaxWhoBytes = 128;
constexpr std::size_t kMaxReasonBytes = 1'024;

// Entries moved out of the head. A page is immutable; its name is the digest of
// its content.
struct AuditPage {
  std::string name;
  std::string previous;             // The next older page, or empty.
  std::vector<AuditEntry> entries;  // Newest last.
};

nlohmann::json ToJson(const AuditPage& page);
// Errors: `HeadError`, also when the content does not match `name`.
leaf::result<AuditPage> ParseAuditPage(std::string_view name,
                                       const nlohmann::json& spec);

// If the entries in `head` exceed their limits, moves the older half to a new
// page. The page must be written before the head that refers to it.
std::optional<AuditPage> SpillOldEntries(RulesHead& head);

// The splice that turns the chunk list `before` into `after`.
ChunkSplice MakeSplice(const std::vector<std::string>& before,
                       const std::vector<std::string>& after);

// Restores the chunk list from before `splice`, given the list `after` it.
// Returns nullopt if the splice does not fit that list.
std::optional<std::vector<std::string>> UndoSplice(
    const ChunkSplice& splice,
    const std::vector<std::string>& after);

// Estimates the size of `head` as a stored object, in bytes. Never much too
// low.
std::size_t RoughBytes(const RulesHead& head);

// Selects audit entries. An empty field matches every entry.
struct AuditFilter {
  std::string group;
  std::string rule;
  std::string who;
  std::optional<UnixSeconds> since;
  std::optional<UnixSeconds> until;
};

// Whether `entry` matches `filter`. An entry whose list of differences was
// truncated matches any rule, because the rule may be among those left out.
bool Passes(const AuditEntry& entry, const AuditFilter& filter);

// Returns the entry of the given operation, or null.
const AuditEntry* FindOperation(std::span<const AuditEntry> entries,
                                std::string_view operation_id);

// Formats the entry as one line.
std::string ToText(const AuditEntry& entry);

}  // namespace verbenastile

#endif  // CORE_AUDIT_TRAIL_H_
