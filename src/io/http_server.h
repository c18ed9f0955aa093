// An HTTP/1.1 server on RESTinio. Only http_server.cc includes RESTinio.
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

// What the server was asked to be; the defaults suit callers.
struct HttpServerInit {
  SocketAddress address;
  std::size_t max_body_bytes = 8'388'608;
  std::size_t max_header_bytes = 16'384;  // One header's name or value.
  std::size_t max_headers = 100;
  std::size_t max_pipelined = 4;
  // Close to this many, the connection that is idle for longest is closed.
  std::size_t max_connections = 4'096;
  Duration read_timeout = std::chrono::seconds(60);    // A whole request.
  Duration write_timeout = std::chrono::seconds(60);   // One part.
  Duration handle_timeout = std::chrono::minutes(65);  // Up to the answer.
  // Added to the answers that the server itself gives to bad requests.
  HttpHeaders refusal_headers;
};

// The answer to one request. Exactly one of `Send`, `StartStream` and `Abort`
// is called first, from the server's loop. A reply that is destroyed before the
// answer's end aborts it.
class HttpReply {
 public:
  struct State;

  explicit HttpReply(std::shared_ptr<State> state);
  ~HttpReply();
  HttpReply(HttpReply&&) noexcept;
  HttpReply& operator=(HttpReply&&) noexcept;

  // Answers whole.
  void Send(int status, std::span<const HttpHeader> headers, std::string body);

  // Begins an answer in parts, chunked unless the `length` of the body is
  // given. Parts follow with `Write`, the end with `Finish`. An answer that has
  // no body, such as one to HEAD, drops the parts but keeps the `length`.
  void StartStream(int status,
                   std::span<const HttpHeader> headers,
                   std::optional<std::uint64_t> length = std::nullopt);
  // `on_written` runs when the part has left, with false when it never will.
  void Write(std::string part, std::function<void(bool)> on_written);
  void Finish();

  // Closes the connection, so that the answer shows as cut, or as missing when
  // nothing was written. Answers waiting on the same connection are lost too.
  void Abort();

  // `on_gone` runs once, from the loop, when the connection is closed before
  // the answer has left whole; never after the reply is destroyed.
  void OnGone(std::function<void()> on_gone);

 private:
  std::shared_ptr<State> state_;
};

using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

// Counts since the server was made.
struct HttpServerStats {
  std::size_t connections = 0;     // Open now.
  std::size_t busy = 0;            // Of these, with answers that have not left.
  std::uint64_t accepted = 0;      // Connections.
  std::uint64_t bad_requests = 0;  // Refused by the server itself.
  std::uint64_t idle_closed = 0;   // Closed to make room.
};

// Runs on the thread of its `io_context`.
class HttpServer {
 public:
  HttpServer(asio::io_context& io,
             const HttpServerInit& init,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen; `on_open` gets an empty text, or why it failed.
  void Open(std::function<void(std::string)> on_open);

  // Answers tell from now on that the connection closes after them, so that
  // callers go elsewhere with their next request. New connections are served.
  void BeginDrain();

  // Stops to listen and closes idle connections; the others close when their
  // answers have left.
  void Close();

  // Where it listens once open; a port of 0 was replaced by a free one.
  SocketAddress address() const;

  HttpServerStats stats() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace verbenastile

#endif  // IO_HTTP_SERVER_H_
