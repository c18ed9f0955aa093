// HTTP request and header types shared by the servers and clients.
#ifndef IO_HTTP_MESSAGE_H_
#define IO_HTTP_MESSAGE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenastile {

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Removes spaces and tabs at both ends.
std::string_view TrimWhitespace(std::string_view text);

// Compares header names, ignoring case.
bool SameHeaderName(std::string_view a, std::string_view b);

// Returns the value of the first header called `name`, or an empty view if
// there is none.
std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name);

// Whether the header applies to a single connection and must not be forwarded.
bool IsHopByHop(std::string_view name);

// Removes hop-by-hop headers, including those named by "Connection" headers.
void RemoveConnectionHeaders(HttpHeaders& headers);

// A completely received request.
struct HttpRequest {
  std::string method;
  std::string target;  // Path and query.
  HttpHeaders headers;
  std::string body;
  std::string remote_ip;

  // The part of `target` before the question mark.
  std::string_view path() const;
  // The part of `target` after the question mark.
  std::string_view query() const;
};

// Returns the value of `key` in a query of the form a=b&c=d, or an empty view
// if it is missing. Percent-encoding is not decoded.
std::string_view QueryValue(std::string_view query, std::string_view key);

}  // namespace verbenastile

#endif  // IO_HTTP_MESSAGE_H_
