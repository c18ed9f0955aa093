// Keeps the texts of recent configuration generations, so that a peer can be
// sent a delta from the generation that it holds.
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

// Identifies a configuration text held by a node; generation 0 means none.
struct HeldConfiguration {
  std::uint64_t generation = 0;
  Digest digest;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const HeldConfiguration&) const = default;
};

// Transforms the text `base` into the text `to`.
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
  // The number of generations kept. These cover the changes of a second or two;
  // peers are rarely further behind.
  static constexpr std::size_t kMaxGenerations = 4;

  // Adds the text of a newer generation and drops the oldest beyond the limit.
  void Add(std::uint64_t generation, std::string text);

  HeldConfiguration newest() const;
  const std::string& text() const;

  // Returns the delta from the peer's text to the newest one, or the full text
  // when the peer's text is not kept here. `bytes` is empty when there is
  // nothing to send.
  const ConfigurationDelta& DeltaFrom(const HeldConfiguration& peer);

  // Applies a delta received from a peer and returns the resulting text.
  std::variant<std::string, ArchiveError> Apply(
      const ConfigurationDelta& delta) const;

 private:
  struct Entry {
    HeldConfiguration id;
    std::string text;
  };

  const Entry* Find(const HeldConfiguration& id) const;

  std::deque<Entry> entries_;  // Newest last.
  // Cached deltas to the newest text, by base.
  std::map<HeldConfiguration, ConfigurationDelta> deltas_;
};

}  // namespace verbenastile

#endif  // CORE_CONFIGURATION_ARCHIVE_H_
