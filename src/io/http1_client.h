// Asynchronous HTTP/1.1 client with per-address connection pooling, built on
// Asio. Used by the proxy and for calls to the platform. It never retries: each
// request is written at most once.
#ifndef IO_HTTP1_CLIENT_H_
#define IO_HTTP1_CLIENT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/settings.h"
#include "io/http1_parser.h"

namespace verbenastile {

// Result of a call.
enum class Http1CallResult : std::uint8_t {
  kComplete = 0,  // The complete response was received.
  kNotSent,       // Connecting failed; no byte of the request was written.
  kIncomplete,    // No complete response; the server may have executed it.
};

// A request header that the server echoes in its response. A response that
// carries a different value belongs to an earlier request and is skipped. On a
// reused connection, a response without the header ends the call as incomplete.
struct Http1EchoHeader {
  std::string_view header;
  std::string value;  // Expected value; if empty, no check is made.
};

struct Http1Call {
  SocketAddress address;
  std::string method = "GET";
  std::string target;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(1);
  // A pooled connection that has been idle for this long is not reused; 0: the
  // call gets a new one.
  Duration max_idle = std::chrono::seconds(8);
  Http1EchoHeader echo;
  Http1Limits limits;
  // Receives the status line and headers of the response. Optional.
  std::function<void(const Http1Head&)> on_head;
  // Receives parts of the body as they arrive. Optional.
  std::function<void(std::string)> on_data;
  // Runs once unless the call is cancelled; never from within `Start`.
  std::function<void(Http1CallResult, std::string_view detail)> on_end;
};

struct Http1ClientInit {
  std::size_t max_idle_connections = 64;  // Per address.
  // TCP keepalive: seconds of inactivity before the first probe, and seconds
  // between probes. Two unanswered probes close the connection. 0 disables it.
  int keep_alive_s = 0;
};

class Http1ClientConnection;

// Identifies an active call; 0 is never assigned.
using Http1CallId = std::uint64_t;

// Not thread-safe: use it only on the thread that runs its `io_context`.
class Http1Client {
 public:
  Http1Client(asio::io_context& io, const Http1ClientInit& init);
  ~Http1Client();
  Http1Client(const Http1Client&) = delete;
  Http1Client& operator=(const Http1Client&) = delete;

  Http1CallId Start(Http1Call call);
  // Closes the call's connection without running its callbacks.
  void Cancel(Http1CallId id);
  // Pauses reading from the connection until `Resume`. Data from a read that is
  // already pending is still delivered.
  void Pause(Http1CallId id);
  void Resume(Http1CallId id);
  // Closes the idle connections to one address, or to all addresses.
  void CloseIdle(const SocketAddress& address);
  void CloseIdle() { idle_.clear(); }

  // Whether a connection to the address is open and idle. Those that the server
  // closes are removed at once.
  bool HasIdle(const SocketAddress& address) const;

  std::size_t active() const { return calls_.size(); }
  std::uint64_t connects() const { return connects_; }

 private:
  friend class Http1ClientConnection;
  using ConnectionPointer = std::shared_ptr<Http1ClientConnection>;

  ConnectionPointer TakeIdle(const Http1Call& call);
  void AddIdle(const ConnectionPointer& connection);
  void RemoveIdle(const ConnectionPointer& connection);

  asio::io_context& io_;
  Http1ClientInit init_;
  std::map<Http1CallId, ConnectionPointer> calls_;
  std::map<std::string, std::vector<ConnectionPointer>, std::less<>> idle_;
  Http1CallId last_id_ = 0;
  std::uint64_t connects_ = 0;
};

}  // namespace verbenastile

#endif  // IO_HTTP1_CLIENT_H_
