// The texts of the last configurations, so that peers are sent what has
// changed since the one that they hold.
#ifndef CORE_CONFIGURATION_ARCHIVE_H_
#define CORE_CONFIGURATION_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "core/digest.h"

namespace verbenastile {

// Names a text that a node holds; generation 0 names none.
struct HeldConfiguration {
  std::uint64_t generation = 0;
  Digest digest;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const HeldConfiguration&) const = default;
};

// Leads from the text `base` to the text `to`.
struct ConfigurationDelta {
  HeldConfiguration base;
  HeldConfiguration to;
  std::string bytes;  // See core/text_delta.h.
};

struct ArchiveError {
  std::string reason;
};

class ConfigurationArchive {
 public:
  // Peers are seldom further behind: changes of a second or two.
  static constexpr std::size_t kKept = 4;

  // The text of a newer generation.
  void Add(std::uint64_t generation, std::string text);

  HeldConfiguration newest() const;
  const std::string& text() const;

  // From what the peer holds to the newest, or all of it when the peer's text
  // is not kept here. An empty `bytes` says that there is nothing to send.
  const ConfigurationDelta& DeltaFrom(const HeldConfiguration& peer);

  // The text that a peer's delta gives here.
  std::variant<std::string, ArchiveError> Apply(
      const ConfigurationDelta& delta) const;

 private:
  struct Entry {
    HeldConfiguration name;
    std::string text;
  };

  const Entry* Find(const HeldConfiguration& name) const;

  std::deque<Entry> entries_;  // The newest last.
  // To the newest, by their base.
  std::map<HeldConfiguration, ConfigurationDelta> deltas_;
};

}  // namespace verbenastile

#endif  // CORE_CONFIGURATION_ARCHIVE_H_
