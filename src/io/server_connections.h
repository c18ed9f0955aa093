// Tracks the open connections of an HTTP server. RESTinio is instantiated with
// the socket type ServerSocket, which registers and unregisters them.
#ifndef IO_SERVER_CONNECTIONS_H_
#define IO_SERVER_CONNECTIONS_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace verbenastile {

class ServerSocket;
class ServerConnections;

// A request whose response is incomplete; it is notified when its connection
// closes.
class PendingResponse {
 public:
  virtual void OnConnectionClosed() = 0;

 protected:
  ~PendingResponse() = default;
};

// State of one connection.
struct ServerConnection {
  std::weak_ptr<ServerConnections> owner;
  ServerSocket* socket = nullptr;  // Null once closed.
  std::uint64_t id = 0;
  // Sequence number of the last change to idle; it only orders connections.
  std::uint64_t idle_sequence = 0;
  std::set<PendingResponse*> pending_responses;

  // Registers a request, which makes the connection busy.
  void AddPendingResponse(PendingResponse* response);
  // Unregisters a request whose response was sent or discarded. If none is
  // left, the connection becomes idle.
  void RemovePendingResponse(PendingResponse* response);
  // Closes the socket without sending anything.
  void CloseNow();
  // Whether the socket is closed at either end.
  bool HasPeerClosed() const;
};

// All open connections of a server. Idle ones are ordered by their last use.
class ServerConnections
    : public std::enable_shared_from_this<ServerConnections> {
 public:
  ServerConnections(asio::io_context& io,
                    std::size_t max_connections,
                    std::string error_headers)
      : io_(io),
        max_connections_(max_connections),
        error_headers_(std::move(error_headers)) {}

  asio::io_context& io() { return io_; }

  void Add(std::uint64_t id, ServerSocket* socket);
  void Remove(ServerConnection& connection);
  // Returns null if there is no connection with this id.
  std::shared_ptr<ServerConnection> Find(std::uint64_t id) const;
  void SetIdle(ServerConnection& connection, bool idle);
  void CloseIdle();

  // Handles an error that RESTinio logs before it closes the connection of an
  // invalid request.
  void RecordParserError(std::string_view text);
  // Returns the response to the parser error recorded last and clears the
  // error; empty if there is none.
  std::string TakeErrorResponse();

  void CountBadRequest() { ++bad_requests_; }

  std::size_t size() const { return connections_.size(); }
  std::size_t busy() const { return connections_.size() - idle_.size(); }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t bad_requests() const { return bad_requests_; }
  std::uint64_t idle_closed() const { return idle_closed_; }

 private:
  void CloseLongestIdle();

  asio::io_context& io_;
  std::size_t max_connections_;
  std::string error_headers_;  // Formatted header lines.
  std::map<std::uint64_t, std::shared_ptr<ServerConnection>> connections_;
  // Ids of idle connections by `idle_sequence`.
  std::map<std::uint64_t, std::uint64_t> idle_;
  std::uint64_t last_idle_sequence_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t bad_requests_ = 0;
  std::uint64_t idle_closed_ = 0;
  int error_status_ = 0;
};

// A TCP socket that sends an error response to an invalid request before it
// closes, and that can be looked up and closed by its connection id.
class ServerSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit ServerSocket(asio::io_context& io) : Base(io) {}
  ~ServerSocket();
  ServerSocket(ServerSocket&& other) noexcept;
  ServerSocket& operator=(ServerSocket&&) = delete;

  void Register(const std::shared_ptr<ServerConnections>& owner,
                std::uint64_t id);
  // Closes immediately, without an error response.
  void CloseNow();

  // The socket whose connection is being started on this thread, or null.
  static ServerSocket* starting();
  static void SetStarting(ServerSocket* socket);

  // Called by RESTinio to close the connection.
  void shutdown(shutdown_type what, asio::error_code& error);  // NOLINT
  void close();                                                // NOLINT

 private:
  void Unregister();
  void Linger();

  std::shared_ptr<ServerConnection> connection_;
  bool error_response_sent_ = false;
};

// Customization point that RESTinio calls before the first read, selected by
// the socket type. From within `start`, RESTinio passes the connection id to
// its state listener, which takes the socket from `ServerSocket::starting`.
template <typename Connection, typename Start, typename Failed>
// NOLINTNEXTLINE(readability-identifier-naming): required by RESTinio.
void prepare_connection_and_start_read(ServerSocket& socket,
                                       Connection&,
                                       Start start,
                                       Failed) {
  ServerSocket::SetStarting(&socket);
  start();
  ServerSocket::SetStarting(nullptr);
}

}  // namespace verbenastile

#endif  // IO_SERVER_CONNECTIONS_H_
