// HTTP/1.1 server based on RESTinio, which only http_server.cc includes.
#ifndef IO_HTTP_SERVER_H_
#define IO_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"
#include "config/settings.h"
#include "io/http_message.h"

namespace verbenastile {

// Server configuration. The defaults suit connections from callers.
struct HttpServerInit {
  SocketAddress address;
  std::size_t max_body_bytes = 8'388'608;
  // Limit for each header name, each header value and the request target.
  std::size_t max_header_bytes = 16'384;
  std::size_t max_headers = 100;
  std::size_t max_pipelined = 4;
  // When the number of connections approaches this limit, the connection that
  // has been idle longest is closed.
  std::size_t max_connections = 4'096;
  Duration read_timeout = std::chrono::seconds(60);   // For a complete request.
  Duration write_timeout = std::chrono::seconds(60);  // For one write.
  Duration handle_timeout = std::chrono::minutes(65);  // Until the response.
  // Added to the error responses that the server itself sends for invalid
  // requests.
  HttpHeaders error_headers;
};

// Sends the response to one request. The first call must be `Send`,
// `StartStream` or `Abort`, made on the server's event loop. Destroying the
// object before the response is complete aborts the response.
class HttpReply {
 public:
  struct State;

  explicit HttpReply(std::shared_ptr<State> state);
  ~HttpReply();
  HttpReply(HttpReply&&) noexcept;
  HttpReply& operator=(HttpReply&&) noexcept;

  // Sends a complete response.
  void Send(int status, std::span<const HttpHeader> headers, std::string body);

  // Starts a streamed response, chunked unless the `length` of the body is
  // given. `Write` adds parts of the body and `Finish` ends it. For a response
  // without a body, such as one to HEAD, the parts are discarded and `length`
  // is still sent.
  void StartStream(int status,
                   std::span<const HttpHeader> headers,
                   std::optional<std::uint64_t> length = std::nullopt);
  // `on_written` runs with true once the part has been written to the socket,
  // or with false if it cannot be written.
  void Write(std::string part, std::function<void(bool)> on_written);
  void Finish();

  // Closes the connection, so that the client sees a truncated response, or
  // none if nothing was written. Pending responses on the same connection are
  // lost.
  void Abort();

  // Whether the client has closed the connection, also if the close is unread.
  bool HasClientLeft() const;

  // `on_disconnect` runs once, on the event loop, if the connection closes
  // before the complete response has been sent. It never runs after the reply
  // is destroyed.
  void OnDisconnect(std::function<void()> on_disconnect);

 private:
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

// Server statistics.
struct HttpServerStats {
  std::size_t connections = 0;     // Currently open.
  std::size_t busy = 0;            // Of these, with incomplete responses.
  std::uint64_t accepted = 0;      // Connections since the start.
  std::uint64_t bad_requests = 0;  // Rejected by the server itself.
  std::uint64_t idle_closed = 0;   // Closed to free capacity.
};

// Not thread-safe: use it only on the thread that runs its `io_context`.
class HttpServer {
 public:
  HttpServer(asio::io_context& io,
             const HttpServerInit& init,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts listening. `on_open` receives an empty string, or the reason for the
  // failure.
  void Open(std::function<void(std::string)> on_open);

  // From now on, responses carry "Connection: close", so that callers send
  // their next request to another instance. New connections are still accepted.
  void BeginDrain();

  // Stops listening and closes idle connections. The other connections close
  // once their responses have been sent.
  void Close();

  // The listening address once open, with the port the system assigned if 0
  // was given.
  SocketAddress address() const;

  HttpServerStats stats() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace verbenastile

#endif  // IO_HTTP_SERVER_H_
