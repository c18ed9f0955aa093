#include "core/configuration_archive.h"

#include <algorithm>
#include <utility>

#include "core/text_delta.h"

namespace verbenastile {

void ConfigurationArchive::Add(std::uint64_t generation, std::string text) {
  const Digest digest = DigestOf(text);
  entries_.push_back({{generation, digest}, std::move(text)});
  if (entries_.size() > kMaxGenerations) {
    entries_.pop_front();
  }
  deltas_.clear();
}

HeldConfiguration ConfigurationArchive::newest() const {
  return entries_.empty() ? HeldConfiguration{} : entries_.back().id;
}

const std::string& ConfigurationArchive::text() const {
  static const std::string none;
  return entries_.empty() ? none : entries_.back().text;
}

const ConfigurationArchive::Entry* ConfigurationArchive::Find(
    const HeldConfiguration& id) const {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const Entry& entry) { return entry.id == id; });
  return found == entries_.end() ? nullptr : &*found;
}

const ConfigurationDelta& ConfigurationArchive::DeltaFrom(
    const HeldConfiguration& peer) {
  const Entry* base = Find(peer);
  const HeldConfiguration id = base == nullptr ? HeldConfiguration{} : base->id;
  const auto [it, added] = deltas_.try_emplace(id);
  if (added && !entries_.empty()) {
    it->second = {id, newest(),
                  MakeTextDelta(base == nullptr ? "" : base->text, text())};
  }
  return it->second;
}

std::variant<std::string, ArchiveError> ConfigurationArchive::Apply(
    const ConfigurationDelta& delta) const {
  std::string_view base;
  if (delta.base.generation != 0) {
    const Entry* entry = Find(delta.base);
    if (entry == nullptr) {
      return ArchiveError{"the base text is no longer held"};
    }
    base = entry->text;
  }
  auto text = ApplyTextDelta(base, delta.bytes);
  if (!text) {
    return ArchiveError{"the delta is corrupt"};
  }
  if (DigestOf(*text) != delta.to.digest) {
    return ArchiveError{"the digest of the resulting text does not match"};
  }
  return std::move(*text);
}

}  // namespace verbenastile
