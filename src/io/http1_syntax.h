// The syntax of HTTP/1.1 messages (RFC 9110, RFC 9112). The parsers of
// libraries accept more than the protocol allows.
#ifndef IO_HTTP1_SYNTAX_H_
#define IO_HTTP1_SYNTAX_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "io/http_message.h"

namespace verbenastile {

// The first status code of a final response; lower ones are interim.
constexpr int kFirstFinalStatus = 200;

// Whether a response to a request without "Upgrade" may have the status: it is
// in 100 to 599, and not 101.
bool IsResponseStatus(int status);

// Whether a response with the status has no body, whatever its headers say.
bool IsStatusWithoutBody(int status);

// Whether `text` is a token, as methods and the names of headers have to be.
bool IsToken(std::string_view text);

// Whether `target` can stand between the blanks of a request line.
bool IsRequestTarget(std::string_view target);

// Whether `value` may be the value of a header: it has no control bytes other
// than tabs.
bool IsHeaderValue(std::string_view value);

// Whether `header` has a valid name and value.
bool IsValidHeader(const HttpHeader& header);

// Whether `line`, without its line end, is a status line of HTTP/1.x with a
// status of three digits.
bool IsStatusLine(std::string_view line);

// What the headers of a message say about its body.
struct BodyHeaders {
  std::optional<std::uint64_t> length;
  bool chunked = false;
};

// Returns nothing if the headers leave open where the body ends: several
// lengths, one that is no decimal number, a length beside an encoding, an
// encoding other than "chunked".
std::optional<BodyHeaders> ParseBodyHeaders(
    std::span<const HttpHeader> headers);

// Finds the end of a head, or of the trailers of a chunked body, and checks the
// syntax of its lines: their control bytes, the names of headers and the status
// line. Folded lines are malformed. A line may end with LF alone.
class Http1LineChecker {
 public:
  enum class Section : std::uint8_t { kRequestHead, kResponseHead, kTrailers };

  explicit Http1LineChecker(Section section) : section_(section) { Reset(); }

  // Returns how many of the bytes belong to the section: none once it is done
  // or malformed.
  std::size_t Feed(std::string_view bytes);
  void Reset();

  bool done() const { return state_ == State::kDone; }
  bool malformed() const { return state_ == State::kMalformed; }

 private:
  enum class State : std::uint8_t {
    kBeforeStartLine,  // Empty lines may precede it.
    kStartLine,
    kNameStart,
    kName,
    kValue,
    kLineEnd,  // After CR.
    kDone,
    kMalformed,
  };

  State Next(char byte);
  State NextInStartLine(char byte);
  State EndLine();

  Section section_;
  State state_ = State::kBeforeStartLine;
  State line_state_ = State::kBeforeStartLine;  // Before the CR.
  std::string start_line_;  // As much of a status line as is checked.
};

}  // namespace verbenastile

#endif  // IO_HTTP1_SYNTAX_H_
