#include "io/http1_syntax.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "base/text.h"

namespace verbenastile {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// "?" stands for a digit.
constexpr std::string_view kStatusLineStart = "HTTP/1.? ???";

constexpr std::size_t kByteCount = 256;

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

constexpr std::array<bool, kByteCount> kIsTokenByte = [] {
  std::array<bool, kByteCount> table{};
  for (const char byte : std::string_view("!#$%&'*+-.^_`|~")) {
    table.at(static_cast<unsigned char>(byte)) = true;
  }
  for (char byte = '0'; byte <= '9'; ++byte) {
    table.at(static_cast<unsigned char>(byte)) = true;
  }
  for (char byte = 'a'; byte <= 'z'; ++byte) {
    table.at(static_cast<unsigned char>(byte)) = true;
    table.at(static_cast<unsigned char>(byte - 'a' + 'A')) = true;
  }
  return table;
}();

bool IsTokenByte(char byte) {
  return kIsTokenByte.at(static_cast<unsigned char>(byte));
}

// Bytes from 128 on are allowed in values and reason phrases.
bool IsControlByte(char byte) {
  constexpr unsigned char kFirstVisible = 32;
  constexpr unsigned char kDelete = 127;
  const auto code = static_cast<unsigned char>(byte);
  return code < kFirstVisible || code == kDelete;
}

bool IsValueByte(char byte) {
  return byte == '\t' || !IsControlByte(byte);
}

std::optional<std::uint64_t> ParseLength(std::string_view text) {
  std::uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, length);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return length;
}

}  // namespace

bool IsResponseStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus &&
         status != kSwitchingProtocols;
}

bool IsStatusWithoutBody(int status) {
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

bool IsRequestTarget(std::string_view target) {
  return !target.empty() &&
         std::none_of(target.begin(), target.end(), [](char byte) {
           return byte == ' ' || IsControlByte(byte);
         });
}

bool IsHeaderValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), IsValueByte);
}

bool IsValidHeader(const HttpHeader& header) {
  return IsToken(header.name) && IsHeaderValue(header.value);
}

bool IsStatusLine(std::string_view line) {
  if (line.size() < kStatusLineStart.size()) {
    return false;
  }
  const auto start = line.substr(0, kStatusLineStart.size());
  const auto reason = line.substr(kStatusLineStart.size());
  return std::equal(start.begin(), start.end(), kStatusLineStart.begin(),
                    [](char byte, char expected) {
                      return expected == '?' ? IsDigit(byte) : byte == expected;
                    }) &&
         (reason.empty() || reason.front() == ' ') && IsHeaderValue(reason);
}

std::optional<BodyHeaders> ParseBodyHeaders(
    std::span<const HttpHeader> headers) {
  BodyHeaders body;
  for (const HttpHeader& header : headers) {
    const bool is_length = SameHeaderName(header.name, "content-length");
    if (!is_length && !SameHeaderName(header.name, "transfer-encoding")) {
      continue;
    }
    if (body.length || body.chunked) {
      return std::nullopt;
    }
    const auto value = TrimWhitespace(header.value);
    if (is_length) {
      body.length = ParseLength(value);
    } else {
      body.chunked = ToLower(value) == "chunked";
    }
    if (!body.length && !body.chunked) {
      return std::nullopt;
    }
  }
  return body;
}

void Http1LineChecker::Reset() {
  state_ = section_ == Section::kTrailers ? State::kNameStart
                                          : State::kBeforeStartLine;
  start_line_.clear();
}

std::size_t Http1LineChecker::Feed(std::string_view bytes) {
  std::size_t count = 0;
  while (count < bytes.size() && !done() && !malformed()) {
    state_ = Next(bytes[count]);
    ++count;
  }
  return count;
}

Http1LineChecker::State Http1LineChecker::Next(char byte) {
  if (state_ == State::kLineEnd) {
    return byte == '\n' ? EndLine() : State::kMalformed;
  }
  if (byte == '\r' || byte == '\n') {
    line_state_ = state_;
    return byte == '\r' ? State::kLineEnd : EndLine();
  }
  switch (state_) {
    case State::kBeforeStartLine:
    case State::kStartLine:
      return NextInStartLine(byte);
    case State::kNameStart:
      return IsTokenByte(byte) ? State::kName : State::kMalformed;
    case State::kName:
      if (byte == ':') {
        return State::kValue;
      }
      return IsTokenByte(byte) ? State::kName : State::kMalformed;
    case State::kValue:
      return IsValueByte(byte) ? State::kValue : State::kMalformed;
    default:
      return State::kMalformed;
  }
}

Http1LineChecker::State Http1LineChecker::NextInStartLine(char byte) {
  if (section_ == Section::kRequestHead) {
    return IsControlByte(byte) ? State::kMalformed : State::kStartLine;
  }
  // The reason phrase is checked only for its first byte and control bytes.
  if (start_line_.size() <= kStatusLineStart.size()) {
    start_line_.push_back(byte);
  }
  return IsValueByte(byte) ? State::kStartLine : State::kMalformed;
}

// Returns the state after the end of a line.
Http1LineChecker::State Http1LineChecker::EndLine() {
  switch (line_state_) {
    case State::kBeforeStartLine:
      return State::kBeforeStartLine;
    case State::kStartLine:
      return section_ == Section::kRequestHead || IsStatusLine(start_line_)
                 ? State::kNameStart
                 : State::kMalformed;
    case State::kNameStart:  // The empty line at the end.
      return State::kDone;
    case State::kValue:
      return State::kNameStart;
    default:
      return State::kMalformed;
  }
}

}  // namespace verbenastile
