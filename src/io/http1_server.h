// HTTP/1.1 server for the proxy, built on Asio. Request bodies are buffered
// completely; responses are sent at once or streamed.
#ifndef IO_HTTP1_SERVER_H_
#define IO_HTTP1_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/time.h"
#include "config/settings.h"
#include "io/http1_parser.h"

namespace verbenastile {

// Size limits and timeouts for client connections.
struct Http1ServerLimits {
  Http1Limits message;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Total size of the bodies of all requests that are being received or
  // processed. Beyond it, requests still being received are rejected with 503.
  std::size_t max_buffered_bytes = 67'108'864;
  std::size_t max_connections = 2'048;
};

struct Http1ServerStats {
  std::size_t connections = 0;
  std::size_t busy = 0;  // With a request whose response is incomplete.
  std::uint64_t requests = 0;
  // Malformed, too large or too slow requests, requests over the buffer limit,
  // and connections over the connection limit.
  std::uint64_t rejected = 0;
};

class Http1Connection;

// A request and its response. Respond either with `Send`, or with `Start`, any
// number of `Write` calls and `Finish`. `Abort` closes the connection instead,
// so that the client sees that a response under way is not complete. Calls made
// after the connection has closed have no effect.
class Http1Exchange {
 public:
  Http1Exchange(std::weak_ptr<Http1Connection> connection,
                Http1Head head,
                std::string body,
                std::string remote_ip);
  // Aborts the response if it is incomplete.
  ~Http1Exchange();
  Http1Exchange(const Http1Exchange&) = delete;
  Http1Exchange& operator=(const Http1Exchange&) = delete;

  const Http1Head& head() const { return head_; }
  Http1Head& head() { return head_; }
  std::string& body() { return body_; }
  const std::string& remote_ip() const { return remote_ip_; }

  void Send(int status, const HttpHeaders& headers, std::string_view body);
  // Starts a streamed response, chunked if there is no `length`. HTTP/1.0 has
  // no chunks; there, the body ends with the connection.
  void Start(int status,
             const HttpHeaders& headers,
             std::optional<std::uint64_t> length);
  void Write(std::string_view part);
  void Finish();
  void Abort();

  // Whether the client has closed the connection. True at the latest when the
  // disconnect callback runs, and before that if the close is still unread.
  bool HasClientLeft() const;
  // Bytes of the response that have not yet been written to the socket.
  std::size_t unsent() const;
  // Sets a callback that runs if the connection closes before the response is
  // complete, other than through `Abort`.
  void OnDisconnect(std::function<void()> on_disconnect);
  // Sets a callback that runs whenever all buffered parts have been written to
  // the socket.
  void OnDrained(std::function<void()> on_drained);

 private:
  std::weak_ptr<Http1Connection> connection_;
  Http1Head head_;
  std::string body_;
  std::string remote_ip_;
  bool chunked_ = false;
  bool finished_ = false;
};

using ExchangePointer = std::shared_ptr<Http1Exchange>;
using ExchangeHandler = std::function<void(ExchangePointer)>;

// Not thread-safe: use it only on the thread that runs its `io_context`.
class Http1Server {
 public:
  Http1Server(asio::io_context& io, ExchangeHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  // Starts listening. Returns an empty string, or the reason for the failure.
  std::string Open(const SocketAddress& address);
  // Also applies to open connections.
  void SetLimits(const Http1ServerLimits& limits);
  // From now on, responses carry "Connection: close" and their connections are
  // closed after them.
  void BeginDrain() { draining_ = true; }
  // Stops listening and closes connections that are waiting for a request; the
  // others are closed after the response to the request that they have begun.
  void CloseIdle();

  // The listening address, with the port the system assigned if 0 was given.
  SocketAddress address() const;
  Http1ServerStats stats() const;

 private:
  friend class Http1Connection;
  using Tcp = asio::ip::tcp;

  void Accept();
  void CheckTimeouts();
  void ScheduleTimeoutCheck();

  asio::io_context& io_;
  Tcp::acceptor acceptor_;
  asio::steady_timer timeout_timer_;
  ExchangeHandler handler_;
  Http1ServerLimits limits_;
  std::set<std::shared_ptr<Http1Connection>> connections_;
  std::size_t buffered_bytes_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t rejected_ = 0;
  bool draining_ = false;
  bool closing_ = false;  // `CloseIdle` was called.
  // Timers that have expired run their handlers although they are cancelled;
  // those that find this gone do nothing.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace verbenastile

#endif  // IO_HTTP1_SERVER_H_
