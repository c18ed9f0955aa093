#include "io/http1_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/overload.h"

namespace verbenastile {
namespace {

// Return value of on_headers_complete after which http_parser reads no body.
constexpr int kSkipBody = 1;

bool IsFramingHeader(std::string_view name) {
  return SameHeaderName(name, "content-length") ||
         SameHeaderName(name, "transfer-encoding") ||
         SameHeaderName(name, "connection") ||
         SameHeaderName(name, "keep-alive");
}

}  // namespace

Http1Parser::Http1Parser(Role role, const Http1Limits& limits)
    : role_(role),
      head_checker_(role == Role::kRequest
                        ? Http1LineChecker::Section::kRequestHead
                        : Http1LineChecker::Section::kResponseHead),
      limits_(limits) {
  Reset();
}

void Http1Parser::Reset() {
  http_parser_init(&parser_,
                   role_ == Role::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  head_checker_.Reset();
  head_ = {};
  framing_ = NoBody();
  body_.clear();
  body_bytes_ = 0;
  header_bytes_ = 0;
  in_value_ = false;
  begun_ = false;
  head_done_ = false;
  done_ = false;
  no_body_ = false;
  error_ = Http1Error::kNone;
}

const http_parser_settings& Http1Parser::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* parser, const char* at, size_t size) {
      Self(parser).head_.target.append(at, size);
      return Self(parser).CountHeaderBytes(size) ? 0 : -1;
    };
    settings.on_header_field = [](http_parser* parser, const char* at,
                                  size_t size) {
      return Self(parser).OnHeaderField({at, size});
    };
    settings.on_header_value = [](http_parser* parser, const char* at,
                                  size_t size) {
      return Self(parser).OnHeaderValue({at, size});
    };
    settings.on_headers_complete = [](http_parser* parser) {
      return Self(parser).OnHeadersComplete();
    };
    return settings;
  }();
  return callbacks;
}

std::size_t Http1Parser::Feed(std::string_view bytes) {
  if (done_ || error_ != Http1Error::kNone || bytes.empty()) {
    return 0;
  }
  begun_ = true;
  const std::size_t in_head = head_done_ ? 0 : FeedHead(bytes);
  if (!head_done_ || done_ || error_ != Http1Error::kNone) {
    return in_head;
  }
  return in_head + FeedBody(bytes.substr(in_head));
}

std::size_t Http1Parser::FeedHead(std::string_view bytes) {
  const std::size_t size = head_checker_.Feed(bytes);
  if (head_checker_.malformed()) {
    error_ = Http1Error::kMalformed;
    return size;
  }
  http_parser_execute(&parser_, &Callbacks(), bytes.data(), size);
  const auto code = HTTP_PARSER_ERRNO(&parser_);
  if (error_ != Http1Error::kNone) {
    return size;  // Set by a callback.
  }
  if (code == HPE_HEADER_OVERFLOW) {
    error_ = Http1Error::kHeaderTooLarge;
  } else if (code != HPE_OK || head_checker_.done() != head_done_) {
    error_ = Http1Error::kMalformed;
  }
  return size;
}

std::size_t Http1Parser::FeedBody(std::string_view bytes) {
  const std::size_t before = body_.size();
  const std::size_t used = std::visit(
      Overload{[](NoBody) { return std::size_t{0}; },
               [&](SizedBody& body) {
                 const auto part = bytes.substr(
                     0, std::min<std::uint64_t>(body.left, bytes.size()));
                 body_.append(part);
                 body.left -= part.size();
                 done_ = body.left == 0;
                 return part.size();
               },
               [&](ChunkDecoder& decoder) {
                 const std::size_t count = decoder.Feed(bytes, body_);
                 done_ = decoder.done();
                 if (decoder.malformed()) {
                   error_ = Http1Error::kMalformed;
                 }
                 return count;
               },
               [&](BodyUntilEnd) {
                 body_.append(bytes);
                 return bytes.size();
               }},
      framing_);
  CountBody(body_.size() - before);
  return used;
}

bool Http1Parser::FeedEnd() {
  if (head_done_ && error_ == Http1Error::kNone &&
      std::holds_alternative<BodyUntilEnd>(framing_)) {
    done_ = true;
  }
  return done_;
}

bool Http1Parser::CountHeaderBytes(std::size_t count) {
  header_bytes_ += count;
  if (header_bytes_ > limits_.max_header_bytes) {
    error_ = Http1Error::kHeaderTooLarge;
    return false;
  }
  return true;
}

int Http1Parser::OnHeaderField(std::string_view part) {
  if (in_value_ || head_.headers.empty()) {
    head_.headers.emplace_back();
    in_value_ = false;
  }
  head_.headers.back().name.append(part);
  return CountHeaderBytes(part.size()) ? 0 : -1;
}

int Http1Parser::OnHeaderValue(std::string_view part) {
  in_value_ = true;
  if (head_.headers.empty()) {
    return -1;
  }
  head_.headers.back().value.append(part);
  return CountHeaderBytes(part.size()) ? 0 : -1;
}

int Http1Parser::OnHeadersComplete() {
  // Protocol upgrades are not supported: the body is parsed as usual.
  parser_.upgrade = 0;
  head_done_ = true;
  head_.keep_alive = http_should_keep_alive(&parser_) != 0;
  head_.status = static_cast<int>(parser_.status_code);
  head_.minor_version = parser_.http_minor;
  if (role_ == Role::kRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  }
  if (!IsValidHead() || !SetFraming()) {
    error_ = Http1Error::kMalformed;
  } else if (const auto* body = std::get_if<SizedBody>(&framing_);
             body != nullptr && body->left > limits_.max_body_bytes) {
    error_ = Http1Error::kBodyTooLarge;
  }
  return error_ == Http1Error::kNone ? kSkipBody : -1;
}

bool Http1Parser::IsValidHead() const {
  if (parser_.http_major != 1) {
    return false;
  }
  if (role_ == Role::kResponse) {
    return IsResponseStatus(head_.status);
  }
  return std::count_if(head_.headers.begin(), head_.headers.end(),
                       [](const HttpHeader& header) {
                         return SameHeaderName(header.name, "host");
                       }) <= 1;
}

// Finds where the body ends (RFC 9112, 6.3). Returns false if the head leaves
// it open.
bool Http1Parser::SetFraming() {
  const auto body = ParseBodyHeaders(head_.headers);
  if (!body) {
    return false;
  }
  head_.length = body->length;
  head_.chunked = body->chunked;
  const bool is_response = role_ == Role::kResponse;
  const bool may_have_body =
      !no_body_ && !(is_response && IsStatusWithoutBody(head_.status));
  const std::uint64_t length = body->length.value_or(0);
  if (may_have_body && body->chunked) {
    framing_ = ChunkDecoder();
    // HTTP/1.0 has no chunks, so that the sender may mean something else.
    head_.keep_alive = head_.keep_alive && head_.minor_version > 0;
  } else if (may_have_body && length > 0) {
    framing_ = SizedBody{length};
  } else if (may_have_body && is_response && !body->length) {
    framing_ = BodyUntilEnd();
    head_.keep_alive = false;
  } else {
    framing_ = NoBody();
  }
  done_ = std::holds_alternative<NoBody>(framing_);
  return true;
}

void Http1Parser::CountBody(std::size_t count) {
  body_bytes_ += count;
  if (body_bytes_ > limits_.max_body_bytes) {
    error_ = Http1Error::kBodyTooLarge;
  }
}

std::string_view ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               const ResponseFraming& framing,
                               bool close) {
  std::string text;
  text.reserve(512);
  fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", status,
                 ReasonPhrase(status));
  for (const HttpHeader& header : headers) {
    if (!IsFramingHeader(header.name)) {
      text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
  }
  if (framing.length) {
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n",
                   *framing.length);
  } else if (framing.chunked) {
    text.append("Transfer-Encoding: chunked\r\n");
  }
  text.append(close ? "Connection: close\r\n\r\n" : "\r\n");
  return text;
}

std::string FormatChunk(std::string_view part) {
  return fmt::format("{:x}\r\n{}\r\n", part.size(), part);
}

}  // namespace verbenastile
