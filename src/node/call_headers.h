// What a call and its answer carry in their headers.
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
// Replaces all headers of that name.
void SetHeader(HttpHeaders& headers, std::string_view name, std::string value);

// The number in the header called `name`; nothing when there is none, or it is
// malformed or above `max`.
std::optional<std::uint64_t> ReadNumber(const HttpHeaders& headers,
                                        std::string_view name,
                                        std::uint64_t max);

// The remaining time that the headers give.
std::optional<Duration> ReadDeadline(const HttpHeaders& headers);

// The extra attempts that the headers allow.
std::optional<std::uint32_t> ReadAttempts(const HttpHeaders& headers,
                                          std::string_view name);

// Written by `ToString` below; normal when missing.
Priority ReadPriority(const HttpHeaders& headers);
std::string ToString(Priority priority);

std::optional<UpstreamLoad> ReadLoad(const HttpHeaders& headers);
std::string ToString(const UpstreamLoad& load);

// The length of the body that the answer announces; nothing when chunked.
std::optional<std::uint64_t> ReadLength(const HttpHeaders& headers);

// Removes what belongs to one connection, the headers that "Connection" names
// among them, and what callers may not say.
void CleanCallerHeaders(HttpHeaders& headers);

// Removes from an upstream's answer what only the system may say.
void CleanUpstreamHeaders(HttpHeaders& headers);

// Removes from another node's answer what is meant for nodes.
void CleanPeerHeaders(HttpHeaders& headers);

// Why the request cannot be passed on; empty when it can.
std::string_view FindRequestFault(const HttpRequest& request);

}  // namespace verbenastile

#endif  // NODE_CALL_HEADERS_H_
