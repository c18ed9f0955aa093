// An HTTP/1.1 client: libcurl's multi interface driven by Asio.
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

// An answer that arrived whole.
struct HttpAnswer {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// One request to send.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::string target;  // Sent as it is, in place of the URL's path and query.
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(10);  // The whole call; 0: none.
  Duration stall_timeout{0};  // Without a byte either way; 0: none.
  Duration connect_timeout = std::chrono::seconds(1);
  // A larger answer fails the call; counted only for answers kept whole.
  std::size_t max_answer_bytes = 67'108'864;
  // Whether the library may send the request a second time by itself when a
  // kept connection turns out to be closed.
  bool may_resend = false;
  // When set, gets the status and the headers before any part of the body.
  std::function<void(const HttpAnswer&)> on_head;
  // When set, gets each part of the body instead of the answer; false ends the
  // call.
  std::function<bool(std::string_view)> on_data;
};

// Why there is no whole answer.
struct HttpFailure {
  enum class Kind { kConnect, kTimeout, kBroken, kCancelled, kTooLarge };

  Kind kind = Kind::kBroken;
  // True when not a byte of the request was handed to a connection, so that it
  // cannot have run.
  bool not_sent = false;
  std::string detail;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

// Names a call in flight; 0 names none.
struct HttpCallHandle {
  std::uint64_t id = 0;
};

// Belongs to the thread of its `io_context`.
class HttpClient {
 public:
  // Keeps at most `max_idle` connections open for reuse.
  HttpClient(asio::io_context& io, std::size_t max_idle);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `on_done` runs once, never from within `Start`.
  HttpCallHandle Start(HttpCall call, std::function<void(HttpOutcome)> on_done);

  // Ends the call and its connection without running its `on_done`; nothing for
  // an ended one.
  void Cancel(HttpCallHandle handle);

  // No further part of the body comes until `Resume`; the server is slowed
  // down once a few buffers are full. Both may be called from callbacks.
  void Pause(HttpCallHandle handle);
  void Resume(HttpCallHandle handle);

  // Calls in flight.
  std::size_t active() const;

  // Connections that ended calls have opened.
  std::uint64_t connects() const;

  // Body and header bytes sent and received by ended calls.
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace verbenastile

#endif  // IO_HTTP_CLIENT_H_
