// The encoding of link frames: Cap'n Proto messages, each preceded by its
// length as a 32-bit little-endian integer. Consecutive small frames resemble
// each other, including their headers, so a small frame is sent as a delta
// against the last small frame of the connection. The top bit of the length
// marks a delta.
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

// Larger frames are rejected by the reader.
constexpr std::size_t kMaxLinkFrameBytes = 80'000'000;

// Encodes the frames sent on one connection.
class LinkWriter {
 public:
  // `deltas` must outlive the writer.
  explicit LinkWriter(SmallTextDeltas* deltas) : deltas_(deltas) {}

  // Appends the encoded `frame` to `out`.
  void Append(const LinkFrame& frame, std::string& out);

 private:
  SmallTextDeltas* deltas_;
  std::string delta_base_;  // The last small frame.
};

// Decodes the byte stream received on one connection into frames.
class LinkReader {
 public:
  // `deltas` must outlive the reader.
  explicit LinkReader(SmallTextDeltas* deltas) : deltas_(deltas) {}

  void Append(const char* bytes, std::size_t count);
  // Returns the next complete frame, or `nullopt` if more bytes are needed.
  std::variant<std::optional<LinkFrame>, LinkCodecError> Next();

 private:
  std::variant<std::optional<LinkFrame>, LinkCodecError> Decode(
      std::string_view bytes,
      bool is_delta);
  // Clears the buffer after all of it was decoded, and frees large ones.
  void ReleaseBuffer();

  SmallTextDeltas* deltas_;
  std::string delta_base_;  // The last small frame.
  std::string bytes_;
  std::size_t read_offset_ = 0;  // Start of the undecoded part of `bytes_`.
};

}  // namespace verbenastile

#endif  // MESH_LINK_CODEC_H_
