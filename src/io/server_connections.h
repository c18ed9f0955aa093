// The open connections of an HTTP server, and the socket type by which RESTinio
// tells of them.
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

// Something that wants to hear when its connection closes.
class ConnectionUser {
 public:
  virtual void OnConnectionClosed() = 0;

 protected:
  ~ConnectionUser() = default;
};

// One open connection.
struct ServerConnection {
  std::weak_ptr<ServerConnections> owner;
  ServerSocket* socket = nullptr;  // Null once closed.
  std::uint64_t id = 0;
  std::uint64_t idle_since = 0;     // A count of events, for order alone.
  std::set<ConnectionUser*> users;  // Requests that are not answered whole.

  // Registers a request; the connection is no longer idle.
  void Join(ConnectionUser* user);
  // The request was answered whole, or its reply has gone.
  void Leave(ConnectionUser* user);
  // Closes the socket at once.
  void Kill();
};

// All open connections, idle ones in the order of their last use.
class ServerConnections
    : public std::enable_shared_from_this<ServerConnections> {
 public:
  ServerConnections(asio::io_context& io,
                    std::size_t max_connections,
                    std::string refusal_headers)
      : io_(io),
        max_connections_(max_connections),
        refusal_headers_(std::move(refusal_headers)) {}

  asio::io_context& io() { return io_; }

  void Add(std::uint64_t id, ServerSocket* socket);
  void Remove(ServerConnection& connection);
  // Null when there is none of that id.
  std::shared_ptr<ServerConnection> Find(std::uint64_t id) const;
  void SetIdle(ServerConnection& connection, bool idle);
  void CloseIdle();

  // What RESTinio says before it closes a connection for a bad request.
  void OnError(std::string_view text);
  // The answer to the bad request that was just met, once; else empty.
  std::string TakeRefusal();

  void CountBadRequest() { ++bad_requests_; }

  std::size_t size() const { return connections_.size(); }
  std::size_t busy() const { return connections_.size() - idle_.size(); }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t bad_requests() const { return bad_requests_; }
  std::uint64_t idle_closed() const { return idle_closed_; }

 private:
  void MakeRoom();

  asio::io_context& io_;
  std::size_t max_connections_;
  std::string refusal_headers_;  // Lines of a head.
  std::map<std::uint64_t, std::shared_ptr<ServerConnection>> connections_;
  std::map<std::uint64_t, std::uint64_t> idle_;  // Ids by `idle_since`.
  std::uint64_t last_event_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t bad_requests_ = 0;
  std::uint64_t idle_closed_ = 0;
  int refusal_status_ = 0;
};

// A TCP socket that answers a bad request before it closes, and that can be
// found and closed by its connection's id.
class ServerSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  explicit ServerSocket(asio::io_context& io) : Base(io) {}
  ~ServerSocket();
  ServerSocket(ServerSocket&& other) noexcept;
  ServerSocket& operator=(ServerSocket&&) = delete;

  void Register(const std::shared_ptr<ServerConnections>& owner,
                std::uint64_t id);
  // Closes at once, without an answer.
  void Kill();

  // The socket whose connection starts in this moment; null otherwise.
  static ServerSocket* starting();
  static void SetStarting(ServerSocket* socket);

  // What RESTinio calls to end the connection.
  void shutdown(shutdown_type what, asio::error_code& error);  // NOLINT
  void close();                                                // NOLINT

 private:
  void Unregister();
  void Linger();

  std::shared_ptr<ServerConnection> connection_;
  bool refused_ = false;
};

// RESTinio's hook before the first read, found by the socket's type. RESTinio
// tells the connection's id to its state listener from within `start`.
template <typename Connection, typename Start, typename Failed>
// NOLINTNEXTLINE(readability-identifier-naming): the library's name.
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
