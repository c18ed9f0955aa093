// The syntax of HTTP/1.1 messages (RFC 9110, RFC 9112). The parsers of
// libraries accept more than the protocol allows.
#ifndef IO_HTTP1_SYNTAX_H_
#define IO_HTTP1_SYNTAX_H_

namespace verbenastile {

// The first status code of a final response; lower ones are interim.
constexpr int kFirstFinalStatus = 200;

// Whether a response to a request without "Upgrade" may have the status: it is
// in 100 to 599, and not 101.
bool IsResponseStatus(int status);

}  // namespace verbenastile

#endif  // IO_HTTP1_SYNTAX_H_
