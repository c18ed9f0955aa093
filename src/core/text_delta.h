// Deltas of texts: a text is compressed with another one as its dictionary, so
// that only what differs takes room.
#ifndef CORE_TEXT_DELTA_H_
#define CORE_TEXT_DELTA_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace verbenastile {

// What a peer may make this node allocate. The platform's objects are well
// below.
constexpr std::size_t kMaxDeltaTextBytes = 16'777'216;

// What leads from `base` to `text`; the whole text, compressed, from an empty
// base. Empty when compression fails.
std::string MakeTextDelta(std::string_view base, std::string_view text);

// The text that `delta` gives on `base`; nothing when it is damaged, too large
// or does not fit the base. A wrong base may go unnoticed: compare digests.
std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          std::string_view delta);

// The same for many small texts, each of which is like the one before it. Keeps
// the library's working memory; belongs to one thread.
class SmallTextDeltas {
 public:
  SmallTextDeltas();
  ~SmallTextDeltas();

  // Appends to `out` what leads from `base` to `text`, and returns its size; 0,
  // with nothing appended, unless that is shorter than the text.
  std::size_t Append(std::string_view base,
                     std::string_view text,
                     std::string& out);
  // Replaces `text` by what `delta` gives on `base`, of at most `longest`
  // bytes; false when the delta is damaged.
  bool Apply(std::string_view base,
             std::string_view delta,
             std::size_t longest,
             std::string& text);

 private:
  struct Contexts;
  std::unique_ptr<Contexts> contexts_;
};

}  // namespace verbenastile

#endif  // CORE_TEXT_DELTA_H_
