// HTTP requests and answers as this project passes them around.
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

// Whether the names are equal but for case.
bool SameHeaderName(std::string_view a, std::string_view b);

// The value of the first header called `name`; empty when there is none.
std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name);

// Whether the header belongs to one connection and is not to be passed on.
bool IsHopByHop(std::string_view name);

// Removes what belongs to one connection: hop-by-hop headers, and those that
// "Connection" headers name.
void RemoveConnectionHeaders(HttpHeaders& headers);

// A request that has arrived whole.
struct HttpRequest {
  std::string method;
  std::string target;  // Path and query.
  HttpHeaders headers;
  std::string body;
  std::string remote_ip;

  // `target` up to the query.
  std::string_view path() const;
  // What follows the question mark.
  std::string_view query() const;
};

// The value of `key` in a query of the form a=b&c=d; empty when missing.
// Values are not unescaped.
std::string_view QueryValue(std::string_view query, std::string_view key);

}  // namespace verbenastile

#endif  // IO_HTTP_MESSAGE_H_
