// An HTTP/1.1 client on Asio streams with kept connections, for the call path
// and for calls to the platform. It never sends a request twice.
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

// How a call ended.
enum class Http1End : std::uint8_t {
  kWhole = 0,  // The answer came whole.
  kNotSent,    // No connection; not a byte of the request was written.
  kBroken,     // Sent, and no whole answer came: it may have run.
};

// A header that answers repeat from their request. An answer with another value
// belongs to an earlier request and is skipped.
struct Http1Echo {
  std::string_view header;
  std::string value;  // Empty: not compared.
};

struct Http1Call {
  SocketAddress address;
  std::string method = "GET";
  std::string target;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(1);
  // A kept connection that was idle for longer is not used.
  Duration max_idle = std::chrono::seconds(8);
  Http1Echo echo;
  Http1Limits limits;
  // The head of the answer; may be empty.
  std::function<void(const Http1Head&)> on_head;
  // Parts of the body as they come.
  std::function<void(std::string)> on_data;
  // Once, unless cancelled; never from within `Start`.
  std::function<void(Http1End, std::string_view detail)> on_end;
};

struct Http1ClientInit {
  std::size_t max_idle_connections = 64;  // For each address.
  // Seconds of silence after which the system probes an open connection, and
  // between probes; two unanswered probes break it. 0: none.
  int keep_alive_s = 0;
};

class Http1ClientConnection;

// Names a call under way; 0 names none.
using Http1CallId = std::uint64_t;

// Belongs to the thread of its `io_context`.
class Http1Client {
 public:
  Http1Client(asio::io_context& io, const Http1ClientInit& init);
  ~Http1Client();
  Http1Client(const Http1Client&) = delete;
  Http1Client& operator=(const Http1Client&) = delete;

  Http1CallId Start(Http1Call call);
  // Closes the call's connection; its callbacks do not run any more.
  void Cancel(Http1CallId id);
  // No further part of the body comes until `Resume`.
  void Pause(Http1CallId id);
  void Resume(Http1CallId id);
  // Closes kept connections, of one address or of all.
  void CloseIdle(const SocketAddress& address);
  void CloseIdle() { idle_.clear(); }

  std::size_t active() const { return calls_.size(); }
  std::uint64_t connects() const { return connects_; }

 private:
  friend class Http1ClientConnection;
  using ConnectionPointer = std::shared_ptr<Http1ClientConnection>;

  ConnectionPointer TakeIdle(const Http1Call& call);
  void Keep(const ConnectionPointer& connection);
  void Drop(const ConnectionPointer& connection);

  asio::io_context& io_;
  Http1ClientInit init_;
  std::map<Http1CallId, ConnectionPointer> calls_;
  std::map<std::string, std::vector<ConnectionPointer>, std::less<>> idle_;
  Http1CallId last_id_ = 0;
  std::uint64_t connects_ = 0;
};

}  // namespace verbenastile

#endif  // IO_HTTP1_CLIENT_H_
