// HTTP status codes that nodes send or interpret.
#ifndef IO_HTTP_STATUS_H_
#define IO_HTTP_STATUS_H_

namespace verbenastile {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMisdirectedRequest = 421;
constexpr int kHttpTooManyRequests = 429;
// Codes from here on are server errors.
constexpr int kHttpServerError = 500;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

}  // namespace verbenastile

#endif  // IO_HTTP_STATUS_H_
