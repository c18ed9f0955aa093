// Incremental HTTP/1.1 message parser. http_parser splits the head into its
// parts; since it accepts invalid heads, their syntax is checked first.
#ifndef IO_HTTP1_PARSER_H_
#define IO_HTTP1_PARSER_H_

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "io/chunk_decoder.h"
#include "io/http1_syntax.h"
#include "io/http_message.h"

namespace verbenastile {

// Start line and headers of a message.
struct Http1Head {
  std::string method;     // Requests only.
  std::string target;     // Requests only: path and query.
  int status = 0;         // Responses only.
  int minor_version = 1;  // Of HTTP/1.x.
  HttpHeaders headers;
  std::optional<std::uint64_t> length;  // From Content-Length.
  bool chunked = false;
  bool keep_alive = false;
};

// Size limits of one message.
struct Http1Limits {
  std::size_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 67'108'864;
};

enum class Http1Error : std::uint8_t {
  kNone = 0,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

class Http1Parser {
 public:
  enum class Role : std::uint8_t { kRequest, kResponse };

  Http1Parser(Role role, const Http1Limits& limits);
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Parses at most one message and returns the number of bytes consumed. Bytes
  // after the end of the message are left to the caller.
  std::size_t Feed(std::string_view bytes);
  // Signals the end of the stream. Returns whether the message is complete: a
  // response without a length ends when its connection closes.
  bool FeedEnd();
  // Prepares the parser for the next message.
  void Reset();
  // Treats the next response as having no body, whatever its headers say, as
  // for a response to HEAD.
  void ExpectNoBody() { no_body_ = true; }
  void SetLimits(const Http1Limits& limits) { limits_ = limits; }

  // Whether any byte of the message has been received.
  bool begun() const { return begun_; }
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  Http1Error error() const { return error_; }
  const Http1Head& head() const { return head_; }
  Http1Head TakeHead() { return std::move(head_); }
  // Returns the part of the body received since the last call.
  std::string TakeBody() { return std::exchange(body_, {}); }
  std::size_t body_size() const { return body_.size(); }

 private:
  struct NoBody {};
  struct SizedBody {
    std::uint64_t left = 0;  // Bytes still to be received.
  };
  struct BodyUntilEnd {};  // Of the connection.

  static const http_parser_settings& Callbacks();
  static Http1Parser& Self(http_parser* parser) {
    return *static_cast<Http1Parser*>(parser->data);
  }
  std::size_t FeedHead(std::string_view bytes);
  std::size_t FeedBody(std::string_view bytes);
  int OnHeaderField(std::string_view part);
  int OnHeaderValue(std::string_view part);
  int OnHeadersComplete();
  bool IsValidHead() const;
  bool SetFraming();
  void CountBody(std::size_t count);
  bool CountHeaderBytes(std::size_t count);

  http_parser parser_ = {};
  Role role_;
  Http1LineChecker head_checker_;
  Http1Limits limits_;
  Http1Head head_;
  std::variant<NoBody, SizedBody, ChunkDecoder, BodyUntilEnd> framing_;
  std::string body_;
  std::uint64_t body_bytes_ = 0;
  std::size_t header_bytes_ = 0;
  bool in_value_ = false;
  bool begun_ = false;
  bool head_done_ = false;
  bool done_ = false;
  bool no_body_ = false;
  Http1Error error_ = Http1Error::kNone;
};

// Returns the standard reason phrase for `status`.
std::string_view ReasonPhrase(int status);

// How a response delimits its body: by its length, in chunks, or by the end of
// the connection if neither is set.
struct ResponseFraming {
  std::optional<std::uint64_t> length;
  bool chunked = false;
};

// Formats the status line and headers of a response. Framing and connection
// headers in `headers` are dropped.
std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               const ResponseFraming& framing,
                               bool close);

// Formats `part` as one chunk. An empty part yields the terminating chunk.
std::string FormatChunk(std::string_view part);

}  // namespace verbenastile

#endif  // IO_HTTP1_PARSER_H_
