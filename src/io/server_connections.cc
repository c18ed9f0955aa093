#include "io/server_connections.h"

#include <fmt/format.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "io/socket_state.h"

namespace verbenastile {
namespace {

// A tenth of the connection limit is reserved for new connections.
constexpr std::size_t kReservedDivisor = 10;
// Time that a caller has to read the error response and close the connection.
constexpr std::chrono::seconds kLingerTime{1};

thread_local ServerSocket* starting_socket = nullptr;

struct ParserErrorStatus {
  std::string_view message_part;  // Substring of RESTinio's log message.
  int status;
  std::string_view reason;
};

// The first entry that matches is used.
constexpr ParserErrorStatus kParserErrors[] = {
    {"HPE_CB_url", 414, "URI Too Long"},
    {"HPE_CB_header_field", 431, "Request Header Fields Too Large"},
    {"HPE_CB_header_value", 431, "Request Header Fields Too Large"},
    {"HPE_HEADER_OVERFLOW", 431, "Request Header Fields Too Large"},
    {"HPE_CB_headers_complete", 413, "Content Too Large"},
    {"HPE_CB_body", 413, "Content Too Large"},
    {"HPE_", 400, "Bad Request"},
};

std::string_view ReasonForStatus(int status) {
  for (const ParserErrorStatus& entry : kParserErrors) {
    if (entry.status == status) {
      return entry.reason;
    }
  }
  return "Bad Request";
}

// Reads and discards further input until the caller closes the connection or
// the timeout expires. Closing a socket with unread input would reset the
// connection and the caller could lose the error response.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  LingeringClose(asio::io_context& io, asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), timer_(io) {}

  void Start() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLingerTime);
    timer_.async_wait([self = shared_from_this()](const asio::error_code&) {
      asio::error_code close_error;
      self->socket_.close(close_error);
    });
    Read();
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](
                                const asio::error_code& error, std::size_t) {
                              if (error) {
                                self->timer_.cancel();
                                return;
                              }
                              self->Read();
                            });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4'096> buffer_;
};

}  // namespace

void ServerConnection::AddPendingResponse(PendingResponse* response) {
  pending_responses.insert(response);
  if (const auto connections = owner.lock()) {
    connections->SetIdle(*this, false);
  }
}

void ServerConnection::RemovePendingResponse(PendingResponse* response) {
  const bool was_pending = pending_responses.erase(response) > 0;
  const auto connections = owner.lock();
  if (was_pending && pending_responses.empty() && socket != nullptr &&
      connections) {
    connections->SetIdle(*this, true);
  }
}

void ServerConnection::CloseNow() {
  if (socket != nullptr) {
    socket->CloseNow();
  }
}

bool ServerConnection::HasPeerClosed() const {
  return socket == nullptr || verbenastile::HasPeerClosed(*socket);
}

void ServerConnections::Add(std::uint64_t id, ServerSocket* socket) {
  ++accepted_;
  auto connection = std::make_shared<ServerConnection>();
  connection->owner = weak_from_this();
  connection->socket = socket;
  connection->id = id;
  SetIdle(*connection, true);
  connections_.emplace(id, std::move(connection));
  CloseLongestIdle();
}

void ServerConnections::CloseLongestIdle() {
  const std::size_t reserved = max_connections_ / kReservedDivisor + 1;
  if (connections_.size() + reserved <= max_connections_ || idle_.size() < 2) {
    return;
  }
  ++idle_closed_;
  Find(idle_.begin()->second)->CloseNow();
}

void ServerConnections::Remove(ServerConnection& connection) {
  SetIdle(connection, false);
  connection.socket = nullptr;
  const auto pending_responses =
      std::exchange(connection.pending_responses, {});
  connections_.erase(connection.id);
  for (PendingResponse* response : pending_responses) {
    response->OnConnectionClosed();
  }
}

std::shared_ptr<ServerConnection> ServerConnections::Find(
    std::uint64_t id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second;
}

void ServerConnections::SetIdle(ServerConnection& connection, bool idle) {
  idle_.erase(connection.idle_sequence);
  if (idle) {
    connection.idle_sequence = ++last_idle_sequence_;
    idle_.emplace(connection.idle_sequence, connection.id);
  }
}

void ServerConnections::CloseIdle() {
  const auto idle = idle_;
  for (const auto& [since, id] : idle) {
    if (const auto connection = Find(id)) {
      connection->CloseNow();
    }
  }
}

void ServerConnections::RecordParserError(std::string_view text) {
  if (text.find("parser error") == std::string_view::npos) {
    return;
  }
  for (const ParserErrorStatus& entry : kParserErrors) {
    if (text.find(entry.message_part) != std::string_view::npos) {
      error_status_ = entry.status;
      return;
    }
  }
}

std::string ServerConnections::TakeErrorResponse() {
  const int status = std::exchange(error_status_, 0);
  if (status == 0) {
    return {};
  }
  ++bad_requests_;
  return fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: close\r\n{}Content-Length: 0\r\n\r\n",
      status, ReasonForStatus(status), error_headers_);
}

ServerSocket* ServerSocket::starting() {
  return starting_socket;
}

void ServerSocket::SetStarting(ServerSocket* socket) {
  starting_socket = socket;
}

ServerSocket::~ServerSocket() {
  Unregister();
}

ServerSocket::ServerSocket(ServerSocket&& other) noexcept
    : Base(std::move(static_cast<Base&>(other))),
      connection_(std::move(other.connection_)),
      error_response_sent_(other.error_response_sent_) {
  if (connection_) {
    connection_->socket = this;
  }
}

void ServerSocket::Register(const std::shared_ptr<ServerConnections>& owner,
                            std::uint64_t id) {
  owner->Add(id, this);
  connection_ = owner->Find(id);
}

void ServerSocket::Unregister() {
  const auto connection = std::exchange(connection_, nullptr);
  if (!connection) {
    return;
  }
  if (const auto owner = connection->owner.lock()) {
    owner->Remove(*connection);
  }
}

void ServerSocket::CloseNow() {
  asio::error_code ignored;
  Base::close(ignored);
  Unregister();
}

void ServerSocket::shutdown(shutdown_type what, asio::error_code& error) {
  const auto owner = connection_ ? connection_->owner.lock() : nullptr;
  const std::string error_response =
      owner ? owner->TakeErrorResponse() : std::string();
  // While earlier requests on the connection are pending, the caller would take
  // the error response for theirs.
  if (!error_response.empty() && connection_->pending_responses.empty()) {
    non_blocking(true, error);
    write_some(asio::buffer(error_response), error);
    error_response_sent_ = !error;
  }
  if (!error_response_sent_) {
    Base::shutdown(what, error);
  }
}

void ServerSocket::close() {
  if (error_response_sent_) {
    Linger();
  }
  asio::error_code ignored;
  Base::close(ignored);
  Unregister();
}

void ServerSocket::Linger() {
  error_response_sent_ = false;
  if (const auto owner = connection_ ? connection_->owner.lock() : nullptr) {
    std::make_shared<LingeringClose>(owner->io(),
                                     std::move(static_cast<Base&>(*this)))
        ->Start();
  }
}

}  // namespace verbenastile
