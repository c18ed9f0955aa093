#include "core/configuration_archive.h"

#include <algorithm>
#include <utility>

#include "core/text_delta.h"

namespace verbenastile {

void ConfigurationArchive::Add(std::uint64_t generation, std::string text) {
  const Digest digest = DigestOf(text);
  entries_.push_back({{generation, digest}, std::move(text)});
  if (entries_.size() > kKept) {
    entries_.pop_front();
  }
  deltas_.clear();
}

HeldConfiguration ConfigurationArchive::newest() const {
  return entries_.empty() ? HeldConfiguration{} : entries_.back().name;
}

const std::string& ConfigurationArchive::text() const {
  static const std::string none;
  return entries_.empty() ? none : entries_.back().text;
}

const ConfigurationArchive::Entry* ConfigurationArchive::Find(
    const HeldConfiguration& name) const {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const Entry& entry) { return entry.name == name; });
  return found == entries_.end() ? nullptr : &*found;
}

const ConfigurationDelta& ConfigurationArchive::DeltaFrom(
    const HeldConfiguration& peer) {
  const Entry* base = Find(peer);
  const HeldConfiguration name =
      base == nullptr ? HeldConfiguration{} : base->name;
  const auto [it, added] = deltas_.try_emplace(name);
  if (added && !entries_.empty()) {
    it->second = {name, newest(),
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
      return ArchiveError{"its base is not held any more"};
    }
    base = entry->text;
  }
  auto text = ApplyTextDelta(base, delta.bytes);
  if (!text) {
    return ArchiveError{"it is damaged"};
  }
  if (DigestOf(*text) != delta.to.digest) {
    return ArchiveError{"it gives a text with another digest"};
  }
  return std::move(*text);
}

}  // namespace verbenastile
