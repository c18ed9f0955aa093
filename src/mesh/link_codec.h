// The bytes of link frames: Cap'n Proto messages in the standard framing.
#ifndef MESH_LINK_CODEC_H_
#define MESH_LINK_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mesh/link_frames.h"

namespace verbenastile {

struct LinkCodecError {
  std::string detail;
};

// The largest frame that is read, in bytes.
constexpr std::size_t kMaxLinkFrameBytes = 80'000'000;

// Appends the bytes of `frame` to `out`.
void AppendFrame(const LinkFrame& frame, std::string& out);

// Cuts a byte stream into frames.
class LinkReader {
 public:
  void Append(const char* bytes, std::size_t count);
  // The next whole frame; nothing when more bytes are needed.
  std::variant<std::optional<LinkFrame>, LinkCodecError> Next();

 private:
  // Words keep the frames aligned as Cap'n Proto needs them.
  std::vector<std::uint64_t> words_;
  std::size_t begin_ = 0;  // In bytes, a multiple of a word.
  std::size_t end_ = 0;    // In bytes.
};

}  // namespace verbenastile

#endif  // MESH_LINK_CODEC_H_
