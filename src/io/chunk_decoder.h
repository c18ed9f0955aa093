// Decodes a chunked body (RFC 9112, 7.1), in parts as they arrive.
#ifndef IO_CHUNK_DECODER_H_
#define IO_CHUNK_DECODER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "io/http1_syntax.h"

namespace verbenastile {

// Chunk extensions and trailers are checked and discarded. A body with one
// larger than a limit is malformed.
class ChunkDecoder {
 public:
  static constexpr std::size_t kMaxSizeLineBytes = 16'384;
  static constexpr std::size_t kMaxTrailerBytes = 16'384;

  // Appends the data in `bytes` to `body`. Returns how many of the bytes belong
  // to the message: none once it is done or malformed.
  std::size_t Feed(std::string_view bytes, std::string& body);

  bool done() const { return state_ == State::kDone; }
  bool malformed() const { return state_ == State::kMalformed; }

 private:
  enum class State : std::uint8_t {
    kSizeStart,
    kSize,
    kSizePadding,  // Blanks behind the size.
    kExtension,
    kSizeLineEnd,  // After its CR.
    kData,
    kDataEnd,      // Before the CR behind the data.
    kDataLineEnd,  // After that CR.
    kTrailers,
    kDone,
    kMalformed,
  };

  std::size_t FeedData(std::string_view bytes, std::string& body);
  std::size_t FeedTrailers(std::string_view bytes);
  State Next(char byte);
  State NextInSizeLine(char byte);
  State AddSizeDigit(char byte);
  State EndSizeLine();

  State state_ = State::kSizeStart;
  std::uint64_t size_ = 0;           // Of the chunk, less what was received.
  std::size_t size_line_bytes_ = 0;  // Of the current line.
  std::size_t trailer_bytes_ = 0;
  Http1LineChecker trailers_{Http1LineChecker::Section::kTrailers};
};

}  // namespace verbenastile

#endif  // IO_CHUNK_DECODER_H_
