// Text deltas: a text is compressed with a base text as the dictionary, so that
// mostly the differences take up space.
#ifndef CORE_TEXT_DELTA_H_
#define CORE_TEXT_DELTA_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace verbenastile {

// Limits the memory that a peer can make this node allocate. The platform's
// objects are much smaller.
constexpr std::size_t kMaxDeltaTextBytes = 16'777'216;

// Returns the delta from `base` to `text`; with an empty base, this is the
// compressed text. Returns an empty string when compression fails.
std::string MakeTextDelta(std::string_view base, std::string_view text);

// Applies `delta` to `base`. Returns nothing when the delta is corrupt, the
// result would be too large or the base does not match. A wrong base is not
// always detected, so callers must compare digests.
std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          std::string_view delta);

// The same for many small texts that are similar to their predecessors. Reuses
// the compression contexts between calls. Not thread-safe.
class SmallTextDeltas {
 public:
  SmallTextDeltas();
  ~SmallTextDeltas();

  // Appends the delta from `base` to `text` to `out` and returns its size.
  // Appends nothing and returns 0 when the delta is not smaller than the text.
  std::size_t Append(std::string_view base,
                     std::string_view text,
                     std::string& out);
  // Applies `delta` to `base` and stores the result in `text`. Returns false
  // when the delta is corrupt or the result would exceed `max_bytes`.
  bool Apply(std::string_view base,
             std::string_view delta,
             std::size_t max_bytes,
             std::string& text);

 private:
  struct Contexts;
  std::unique_ptr<Contexts> contexts_;
};

}  // namespace verbenastile

#endif  // CORE_TEXT_DELTA_H_
