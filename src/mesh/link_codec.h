// The bytes of link frames: Cap'n Proto messages, each after its length in four
// bytes, the lowest first. Small frames are like those before them, headers and
// all, and are sent as what differs from the last one of the connection.
#ifndef MESH_LINK_CODEC_H_
#define MESH_LINK_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/text_delta.h"
#include "mesh/link_frames.h"

namespace verbenastile {

struct LinkCodecError {
  std::string detail;
};

// The largest frame that is read, in bytes.
constexpr std::size_t kMaxLinkFrameBytes = 80'000'000;

// Makes the bytes of one connection's frames.
class LinkWriter {
 public:
  // `deltas` outlives this.
  explicit LinkWriter(SmallTextDeltas* deltas) : deltas_(deltas) {}

  // Appends the bytes of `frame` to `out`.
  void Append(const LinkFrame& frame, std::string& out);

 private:
  SmallTextDeltas* deltas_;
  std::string last_;  // The last small frame.
};

// Cuts a connection's bytes into frames.
class LinkReader {
 public:
  // `deltas` outlives this.
  explicit LinkReader(SmallTextDeltas* deltas) : deltas_(deltas) {}

  void Append(const char* bytes, std::size_t count);
  // The next whole frame; nothing when more bytes are needed.
  std::variant<std::optional<LinkFrame>, LinkCodecError> Next();

 private:
  std::variant<std::optional<LinkFrame>, LinkCodecError> Read(
      std::string_view bytes,
      bool is_delta);

  SmallTextDeltas* deltas_;
  std::string last_;  // The last small frame.
  std::string bytes_;
  std::size_t begin_ = 0;  // Of what was not read.
};

}  // namespace verbenastile

#endif  // MESH_LINK_CODEC_H_
