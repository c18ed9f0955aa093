// Reads, writes and sanitizes the HTTP headers of proxied calls and responses.
#ifndef NODE_CALL_HEADERS_H_
#define NODE_CALL_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "config/rules.h"
#include "core/balancer.h"
#include "io/http_message.h"

namespace verbenastile {

void RemoveHeader(HttpHeaders& headers, std::string_view name);
// Replaces all headers of that name with a single one.
void SetHeader(HttpHeaders& headers, std::string_view name, std::string value);

// Returns the number in the header `name`, or nullopt if the header is missing,
// malformed or greater than `max`.
std::optional<std::uint64_t> ReadNumber(const HttpHeaders& headers,
                                        std::string_view name,
                                        std::uint64_t max);

// Returns the time left until the deadline, as stated by the headers.
std::optional<Duration> ReadDeadline(const HttpHeaders& headers);

// Returns the number of extra attempts stated by the header `name`.
std::optional<std::uint32_t> ReadAttempts(const HttpHeaders& headers,
                                          std::string_view name);

// Parses the format that `ToString(Priority)` writes. A missing or unknown
// value means normal priority.
Priority ReadPriority(const HttpHeaders& headers);
std::string ToString(Priority priority);

std::optional<UpstreamLoad> ReadLoad(const HttpHeaders& headers);
std::string ToString(const UpstreamLoad& load);

// Returns the body length from Content-Length, or nullopt if the response has a
// transfer encoding or no valid length.
std::optional<std::uint64_t> ReadLength(const HttpHeaders& headers);

// Removes hop-by-hop headers, including those named by "Connection", and
// headers that callers are not allowed to set. Also removes Content-Length and
// Expect.
void CleanCallerHeaders(HttpHeaders& headers);

// Removes hop-by-hop headers and headers that only the proxy may set from an
// upstream's response.
void CleanUpstreamHeaders(HttpHeaders& headers);

// Removes the node-to-node headers from another node's response.
void CleanPeerHeaders(HttpHeaders& headers);

// Returns why the request cannot be forwarded, or an empty string if it can.
std::string_view FindRequestFault(const HttpRequest& request);

}  // namespace verbenastile

#endif  // NODE_CALL_HEADERS_H_
