// An HTTP/1.1 server on Asio streams, for the call path: bodies are taken
// whole, answers are sent whole or in parts.
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

// What clients may send and how long they may take.
struct Http1ServerLimits {
  Http1Limits message;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Bodies of all requests that are being read or answered.
  std::size_t max_buffered_bytes = 67'108'864;
  std::size_t max_connections = 2'048;
};

struct Http1ServerStats {
  std::size_t connections = 0;
  std::size_t busy = 0;  // With a request that is not answered whole.
  std::uint64_t requests = 0;
  std::uint64_t rejected = 0;  // Malformed, too large or too slow.
};

class Http1Connection;

// One request and the way back to its sender. Answered by `Send`, or by `Start`
// with parts and `Finish`; `Abort` closes the connection instead. Calls after
// the connection has closed do nothing.
class Http1Exchange {
 public:
  Http1Exchange(std::weak_ptr<Http1Connection> connection,
                Http1Head head,
                std::string body,
                std::string remote_ip);
  // Aborts the answer when it is not whole.
  ~Http1Exchange();
  Http1Exchange(const Http1Exchange&) = delete;
  Http1Exchange& operator=(const Http1Exchange&) = delete;

  const Http1Head& head() const { return head_; }
  Http1Head& head() { return head_; }
  std::string& body() { return body_; }
  const std::string& remote_ip() const { return remote_ip_; }

  void Send(int status, const HttpHeaders& headers, std::string_view body);
  // Chunked when there is no `length`.
  void Start(int status,
             const HttpHeaders& headers,
             std::optional<std::uint64_t> length);
  void Write(std::string_view part);
  void Finish();
  void Abort();

  // Bytes of answers that have not left the process.
  std::size_t unsent() const;
  // Runs when the sender closes its connection before the answer is whole.
  void OnGone(std::function<void()> on_gone);
  // Runs each time that parts have left the process.
  void OnDrained(std::function<void()> on_drained);

 private:
  std::weak_ptr<Http1Connection> connection_;
  Http1Head head_;
  std::string body_;
  std::string remote_ip_;
  bool chunked_ = false;
  bool ended_ = false;
};

using ExchangePointer = std::shared_ptr<Http1Exchange>;
using ExchangeHandler = std::function<void(ExchangePointer)>;

// Belongs to the thread of its `io_context`.
class Http1Server {
 public:
  Http1Server(asio::io_context& io, ExchangeHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  // Returns an empty text, or why the address cannot be listened on.
  std::string Open(const SocketAddress& address);
  // Applies to open connections too.
  void SetLimits(const Http1ServerLimits& limits);
  // Answers tell from now on that their connection closes.
  void BeginDrain() { draining_ = true; }
  // Stops to listen and closes connections that wait for a request.
  void CloseIdle();

  // Where it listens; a port of 0 was replaced by a free one.
  SocketAddress address() const;
  Http1ServerStats stats() const;

 private:
  friend class Http1Connection;
  using Tcp = asio::ip::tcp;

  void Accept();
  void Sweep();
  void ScheduleSweep();

  asio::io_context& io_;
  Tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  ExchangeHandler handler_;
  Http1ServerLimits limits_;
  std::set<std::shared_ptr<Http1Connection>> connections_;
  std::size_t buffered_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t rejected_ = 0;
  bool draining_ = false;
};

}  // namespace verbenastile

#endif  // IO_HTTP1_SERVER_H_
