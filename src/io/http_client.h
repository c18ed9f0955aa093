// An asynchronous HTTP/1.1 client: libcurl's multi interface driven by Asio.
#ifndef IO_HTTP_CLIENT_H_
#define IO_HTTP_CLIENT_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"
#include "io/http_message.h"

namespace verbenastile {

// A complete response. `body` stays empty when `HttpCall::on_data` is set.
struct HttpAnswer {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// A request and the options of its transfer.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  // If set, the request target, sent verbatim instead of the URL's path and
  // query.
  std::string target;
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(10);  // The entire call; 0: none.
  // Limit on the time without a byte in either direction; 0: none.
  Duration stall_timeout{0};
  Duration connect_timeout = std::chrono::seconds(1);
  // A response with a larger body fails the call. Not enforced when `on_data`
  // is set, because the body is then not buffered.
  std::size_t max_answer_bytes = 67'108'864;
  // Whether libcurl may retransmit the request by itself when a reused
  // connection turns out to be closed.
  bool may_resend = false;
  // If set, called with the status and the headers before any of the body.
  std::function<void(const HttpAnswer&)> on_head;
  // If set, called with each chunk of the body, which is then not stored in the
  // response. Returning false aborts the call.
  std::function<bool(std::string_view)> on_data;
};

// Why a call ended without a complete response.
struct HttpFailure {
  enum class Kind { kConnect, kTimeout, kBroken, kCancelled, kTooLarge };

  Kind kind = Kind::kBroken;
  // True if no byte of the request was handed to a connection, so that the
  // server cannot have processed it.
  bool not_sent = false;
  std::string detail;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

// Identifies a call in flight. The id 0 refers to no call.
struct HttpCallHandle {
  std::uint64_t id = 0;
};

// Not thread-safe: use only on the thread that runs its `io_context`.
class HttpClient {
 public:
  // Keeps at most `max_idle` idle connections open for reuse.
  HttpClient(asio::io_context& io, std::size_t max_idle);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `on_done` runs once per call, never from within `Start`.
  HttpCallHandle Start(HttpCall call, std::function<void(HttpOutcome)> on_done);

  // Aborts the call and closes its connection without running its `on_done`.
  // Does nothing if the call has already ended.
  void Cancel(HttpCallHandle handle);

  // Stops delivery of the body until `Resume`. Flow control slows the server
  // down once the receive buffers are full. Both may be called from callbacks.
  void Pause(HttpCallHandle handle);
  void Resume(HttpCallHandle handle);

  // The number of calls in flight.
  std::size_t active() const;

  // The number of connections opened by calls that have ended.
  std::uint64_t connects() const;

  // Body and header bytes sent and received by calls that have ended.
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace verbenastile

#endif  // IO_HTTP_CLIENT_H_
