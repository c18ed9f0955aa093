#include "core/audit_trail.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace verbenastile {
namespace {

using nlohmann::json;

// Estimates the size of an entry in the head without serializing it.
std::size_t RoughBytes(const AuditEntry& entry) {
  constexpr std::size_t kFixedBytes = 320;
  std::size_t bytes = kFixedBytes + entry.operation.size() + entry.who.size() +
                      entry.from.size() + entry.reason.size();
  for (const auto* names :
       {&entry.difference, &entry.groups, &entry.splice.removed}) {
    for (const std::string& name : *names) {
      bytes += name.size() + 3;
    }
  }
  return bytes;
}

std::size_t RoughBytes(std::span<const AuditEntry> entries) {
  std::size_t bytes = 0;
  for (const AuditEntry& entry : entries) {
    bytes += RoughBytes(entry);
  }
  return bytes;
}

bool AffectsRule(const AuditEntry& entry, const std::string& rule) {
  return std::any_of(
      entry.difference.begin(), entry.difference.end(),
      [&](const std::string& name) { return name.substr(1) == rule; });
}

bool MatchesTime(const AuditEntry& entry, const AuditFilter& filter) {
  if (!filter.since && !filter.until) {
    return true;
  }
  const auto when = ParseUtc(entry.when);
  return when && (!filter.since || *when >= *filter.since) &&
         (!filter.until || *when <= *filter.until);
}

}  // namespace

json ToJson(const AuditPage& page) {
  json entries = json::array();
  for (const AuditEntry& entry : page.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"previous", page.previous}, {"entries", std::move(entries)}};
}

leaf::result<AuditPage> ParseAuditPage(std::string_view name,
                                       const json& spec) {
  AuditPage page;
  page.name = name;
  if (!spec.is_object() || !spec.contains("entries") ||
      !spec.contains("previous") || !spec["previous"].is_string()) {
    return leaf::new_error(HeadError{"malformed audit page"});
  }
  page.previous = spec["previous"].get<std::string>();
  for (const json& item : spec["entries"]) {
    BOOST_LEAF_AUTO(entry, ParseAuditEntry(item));
    page.entries.push_back(std::move(entry));
  }
  if (ToString(DigestOf(ToJson(page).dump())) != name) {
    return leaf::new_error(HeadError{fmt::format(
        "the content of audit page {} does not match its digest", name)});
  }
  return page;
}

std::size_t RoughBytes(const RulesHead& head) {
  constexpr std::size_t kFixedBytes = 256;
  constexpr std::size_t kNameBytes = 35;
  return kFixedBytes + kNameBytes * head.chunks.size() + RoughBytes(head.audit);
}

std::optional<AuditPage> SpillOldEntries(RulesHead& head) {
  const bool within_limits = head.audit.size() <= kMaxHeadAuditEntries &&
                             RoughBytes(head.audit) <= kMaxHeadAuditBytes;
  if (within_limits || head.audit.size() < 2) {
    return std::nullopt;
  }
  const auto end =
      head.audit.begin() + static_cast<std::ptrdiff_t>(head.audit.size() / 2);
  AuditPage page;
  page.previous = head.audit_page;
  page.entries.assign(std::make_move_iterator(head.audit.begin()),
                      std::make_move_iterator(end));
  head.audit.erase(head.audit.begin(), end);
  page.name = ToString(DigestOf(ToJson(page).dump()));
  head.audit_page = page.name;
  return page;
}

ChunkSplice MakeSplice(const std::vector<std::string>& before,
                       const std::vector<std::string>& after) {
  const auto [old_begin, new_begin] =
      std::mismatch(before.begin(), before.end(), after.begin(), after.end());
  const auto [old_end, new_end] =
      std::mismatch(before.rbegin(), std::make_reverse_iterator(old_begin),
                    after.rbegin(), std::make_reverse_iterator(new_begin));
  ChunkSplice splice;
  splice.position = static_cast<std::size_t>(old_begin - before.begin());
  splice.added = static_cast<std::size_t>(new_end.base() - new_begin);
  splice.removed.assign(old_begin, old_end.base());
  return splice;
}

std::optional<std::vector<std::string>> UndoSplice(
    const ChunkSplice& splice,
    const std::vector<std::string>& after) {
  if (splice.position > after.size() ||
      splice.added > after.size() - splice.position) {
    return std::nullopt;
  }
  const auto begin =
      after.begin() + static_cast<std::ptrdiff_t>(splice.position);
  std::vector<std::string> before(after.begin(), begin);
  before.insert(before.end(), splice.removed.begin(), splice.removed.end());
  before.insert(before.end(), begin + static_cast<std::ptrdiff_t>(splice.added),
                after.end());
  return before;
}

bool Passes(const AuditEntry& entry, const AuditFilter& filter) {
  const bool group = filter.group.empty() ||
                     std::find(entry.groups.begin(), entry.groups.end(),
                               filter.group) != entry.groups.end();
  const bool rule = filter.rule.empty() || entry.difference_omitted > 0 ||
                    AffectsRule(entry, filter.rule);
  const bool who = filter.who.empty() || entry.who == filter.who;
  return group && rule && who && MatchesTime(entry, filter);
}

const AuditEntry* FindOperation(std::span<const AuditEntry> entries,
                                std::string_view operation_id) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const AuditEntry& entry) {
                                    return entry.operation_id == operation_id;
                                  });
  return found == entries.end() ? nullptr : &*found;
}

std::string ToText(const AuditEntry& entry) {
  std::string text = fmt::format(
      "{:>6} {} {}@{} {} [{}", entry.generation_after, entry.when, entry.who,
      entry.from, entry.operation, fmt::join(entry.difference, " "));
  if (entry.difference_omitted > 0) {
    text += fmt::format(" and {} more", entry.difference_omitted);
  }
  return text + fmt::format("] {}", entry.reason);
}

}  // namespace verbenastile
