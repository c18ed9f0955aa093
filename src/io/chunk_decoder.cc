#include "io/chunk_decoder.h"

#include <algorithm>
#include <limits>

namespace verbenastile {
namespace {

constexpr std::uint64_t kHexBase = 16;

// Returns -1 if `byte` is no hexadecimal digit.
int HexValue(char byte) {
  if (byte >= '0' && byte <= '9') {
    return byte - '0';
  }
  if (byte >= 'a' && byte <= 'f') {
    return byte - 'a' + 10;
  }
  return byte >= 'A' && byte <= 'F' ? byte - 'A' + 10 : -1;
}

}  // namespace

std::size_t ChunkDecoder::Feed(std::string_view bytes, std::string& body) {
  std::size_t count = 0;
  while (count < bytes.size() && !done() && !malformed()) {
    const std::string_view rest = bytes.substr(count);
    if (state_ == State::kData) {
      count += FeedData(rest, body);
    } else if (state_ == State::kTrailers) {
      count += FeedTrailers(rest);
    } else {
      state_ = Next(rest.front());
      ++count;
    }
  }
  return count;
}

std::size_t ChunkDecoder::FeedData(std::string_view bytes, std::string& body) {
  const auto part =
      bytes.substr(0, std::min<std::uint64_t>(size_, bytes.size()));
  body.append(part);
  size_ -= part.size();
  if (size_ == 0) {
    state_ = State::kDataEnd;
  }
  return part.size();
}

std::size_t ChunkDecoder::FeedTrailers(std::string_view bytes) {
  const std::size_t count = trailers_.Feed(bytes);
  trailer_bytes_ += count;
  if (trailers_.malformed() || trailer_bytes_ > kMaxTrailerBytes) {
    state_ = State::kMalformed;
  } else if (trailers_.done()) {
    state_ = State::kDone;
  }
  return count;
}

ChunkDecoder::State ChunkDecoder::Next(char byte) {
  switch (state_) {
    case State::kSizeLineEnd:
      return byte == '\n' ? EndSizeLine() : State::kMalformed;
    case State::kDataEnd:
      return byte == '\r' ? State::kDataLineEnd : State::kMalformed;
    case State::kDataLineEnd:
      size_line_bytes_ = 0;
      return byte == '\n' ? State::kSizeStart : State::kMalformed;
    default:
      return ++size_line_bytes_ > kMaxSizeLineBytes ? State::kMalformed
                                                    : NextInSizeLine(byte);
  }
}

ChunkDecoder::State ChunkDecoder::NextInSizeLine(char byte) {
  if (HexValue(byte) >= 0 &&
      (state_ == State::kSizeStart || state_ == State::kSize)) {
    return AddSizeDigit(byte);
  }
  if (state_ == State::kSizeStart) {
    return State::kMalformed;
  }
  if (byte == '\r') {
    return State::kSizeLineEnd;
  }
  if (state_ == State::kExtension) {
    return IsHeaderValue({&byte, 1}) ? State::kExtension : State::kMalformed;
  }
  if (byte == ';') {
    return State::kExtension;
  }
  return byte == ' ' || byte == '\t' ? State::kSizePadding : State::kMalformed;
}

ChunkDecoder::State ChunkDecoder::AddSizeDigit(char byte) {
  if (size_ > std::numeric_limits<std::uint64_t>::max() / kHexBase) {
    return State::kMalformed;
  }
  size_ = size_ * kHexBase + static_cast<std::uint64_t>(HexValue(byte));
  return State::kSize;
}

ChunkDecoder::State ChunkDecoder::EndSizeLine() {
  return size_ == 0 ? State::kTrailers : State::kData;
}

}  // namespace verbenastile
