#include "io/http1_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenastile {
namespace {

// Return value of on_headers_complete that makes http_parser skip the body.
constexpr int kSkipBody = 1;
// Value of http_parser's content_length if the header is absent.
constexpr std::uint64_t kNoContentLength = ~std::uint64_t{0};

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
    settings.on_body = [](http_parser* parser, const char* at, size_t size) {
      return Self(parser).OnBody({at, size});
    };
    settings.on_message_complete = [](http_parser* parser) {
      Self(parser).done_ = true;
      http_parser_pause(parser, 1);
      return 0;
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
  return in_head + Execute(bytes.substr(in_head));
}

std::size_t Http1Parser::FeedHead(std::string_view bytes) {
  const std::size_t size = head_checker_.Feed(bytes);
  if (head_checker_.malformed()) {
    error_ = Http1Error::kMalformed;
    return size;
  }
  const std::size_t consumed = Execute(bytes.substr(0, size));
  if (head_checker_.done() && !head_done_ && error_ == Http1Error::kNone) {
    error_ = Http1Error::kMalformed;
  }
  return consumed;
}

std::size_t Http1Parser::Execute(std::string_view bytes) {
  if (bytes.empty()) {
    return 0;  // To http_parser, no bytes are the end of the stream.
  }
  const std::size_t consumed =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  const auto code = HTTP_PARSER_ERRNO(&parser_);
  if (!done_ && code != HPE_OK && error_ == Http1Error::kNone) {
    error_ = code == HPE_HEADER_OVERFLOW ? Http1Error::kHeaderTooLarge
                                         : Http1Error::kMalformed;
  }
  return consumed;
}

bool Http1Parser::FeedEnd() {
  if (!done_ && head_done_ && error_ == Http1Error::kNone) {
    http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
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
  head_.chunked = (parser_.flags & F_CHUNKED) != 0;
  if ((parser_.flags & F_CONTENTLENGTH) != 0 &&
      parser_.content_length != kNoContentLength) {
    head_.length = parser_.content_length;
  }
  head_.keep_alive = http_should_keep_alive(&parser_) != 0;
  head_.status = static_cast<int>(parser_.status_code);
  if (role_ == Role::kRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  }
  if (!IsValidHead()) {
    error_ = Http1Error::kMalformed;
    return -1;
  }
  if (head_.length.value_or(0) > limits_.max_body_bytes) {
    error_ = Http1Error::kBodyTooLarge;
    return -1;
  }
  return no_body_ ? kSkipBody : 0;
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

int Http1Parser::OnBody(std::string_view part) {
  body_bytes_ += part.size();
  if (body_bytes_ > limits_.max_body_bytes) {
    error_ = Http1Error::kBodyTooLarge;
    return -1;
  }
  body_.append(part);
  return 0;
}

std::string_view ReasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               std::optional<std::uint64_t> length,
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
  if (length) {
    fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", *length);
  } else {
    text.append("Transfer-Encoding: chunked\r\n");
  }
  text.append(close ? "Connection: close\r\n\r\n" : "\r\n");
  return text;
}

std::string FormatChunk(std::string_view part) {
  return fmt::format("{:x}\r\n{}\r\n", part.size(), part);
}

}  // namespace verbenastile
