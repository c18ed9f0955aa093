// HTTP status codes that nodes send or interpret.
#ifndef IO_HTTP_STATUS_H_
#define IO_HTTP_STATUS_H_

namespace verbenastile {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
// Codes from here on are server errors.
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace verbenastile

#endif  // IO_HTTP_STATUS_H_
