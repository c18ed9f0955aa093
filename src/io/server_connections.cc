#include "io/server_connections.h"

#include <fmt/format.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace verbenastile {
namespace {

// A tenth of the connections is kept for new ones.
constexpr std::size_t kRoomDivisor = 10;
// How long a caller may take to read why its request was refused.
constexpr std::chrono::seconds kLingerTime{1};

thread_local ServerSocket* starting_socket = nullptr;

struct RefusalText {
  std::string_view mark;  // In RESTinio's words.
  int status;
  std::string_view reason;
};

constexpr RefusalText kRefusals[] = {
    {"HPE_CB_url", 414, "URI Too Long"},
    {"HPE_CB_header_field", 431, "Request Header Fields Too Large"},
    {"HPE_CB_header_value", 431, "Request Header Fields Too Large"},
    {"HPE_HEADER_OVERFLOW", 431, "Request Header Fields Too Large"},
    {"HPE_CB_headers_complete", 413, "Content Too Large"},
    {"HPE_CB_body", 413, "Content Too Large"},
    {"HPE_", 400, "Bad Request"},
};

std::string_view ReasonOf(int status) {
  for (const RefusalText& refusal : kRefusals) {
    if (refusal.status == status) {
      return refusal.reason;
    }
  }
  return "Bad Request";
}

// Reads what the caller still sends and drops it, so that the answer is not
// lost by a reset, until the caller closes or the time is over.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  LingeringClose(asio::io_context& io, asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), timer_(io) {}

  void Start() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLingerTime);
    timer_.async_wait([self = shared_from_this()](const asio::error_code&) {
      asio::error_code closed;
      self->socket_.close(closed);
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

void ServerConnection::Join(ConnectionUser* user) {
  users.insert(user);
  if (const auto connections = owner.lock()) {
    connections->SetIdle(*this, false);
  }
}

void ServerConnection::Leave(ConnectionUser* user) {
  const bool was_in = users.erase(user) > 0;
  const auto connections = owner.lock();
  if (was_in && users.empty() && socket != nullptr && connections) {
    connections->SetIdle(*this, true);
  }
}

void ServerConnection::Kill() {
  if (socket != nullptr) {
    socket->Kill();
  }
}

void ServerConnections::Add(std::uint64_t id, ServerSocket* socket) {
  ++accepted_;
  auto connection = std::make_shared<ServerConnection>();
  connection->owner = weak_from_this();
  connection->socket = socket;
  connection->id = id;
  SetIdle(*connection, true);
  connections_.emplace(id, std::move(connection));
  MakeRoom();
}

void ServerConnections::MakeRoom() {
  const std::size_t room = max_connections_ / kRoomDivisor + 1;
  if (connections_.size() + room <= max_connections_ || idle_.size() < 2) {
    return;
  }
  ++idle_closed_;
  Find(idle_.begin()->second)->Kill();
}

void ServerConnections::Remove(ServerConnection& connection) {
  SetIdle(connection, false);
  connection.socket = nullptr;
  const auto users = std::exchange(connection.users, {});
  connections_.erase(connection.id);
  for (ConnectionUser* user : users) {
    user->OnConnectionClosed();
  }
}

std::shared_ptr<ServerConnection> ServerConnections::Find(
    std::uint64_t id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second;
}

void ServerConnections::SetIdle(ServerConnection& connection, bool idle) {
  idle_.erase(connection.idle_since);
  if (idle) {
    connection.idle_since = ++last_event_;
    idle_.emplace(connection.idle_since, connection.id);
  }
}

void ServerConnections::CloseIdle() {
  const auto idle = idle_;
  for (const auto& [since, id] : idle) {
    if (const auto connection = Find(id)) {
      connection->Kill();
    }
  }
}

void ServerConnections::OnError(std::string_view text) {
  if (text.find("parser error") == std::string_view::npos) {
    return;
  }
  for (const RefusalText& refusal : kRefusals) {
    if (text.find(refusal.mark) != std::string_view::npos) {
      refusal_status_ = refusal.status;
      return;
    }
  }
}

std::string ServerConnections::TakeRefusal() {
  const int status = std::exchange(refusal_status_, 0);
  if (status == 0) {
    return {};
  }
  ++bad_requests_;
  return fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: close\r\n{}Content-Length: 0\r\n\r\n",
      status, ReasonOf(status), refusal_headers_);
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
      refused_(other.refused_) {
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

void ServerSocket::Kill() {
  asio::error_code ignored;
  Base::close(ignored);
  Unregister();
}

void ServerSocket::shutdown(shutdown_type what, asio::error_code& error) {
  const auto owner = connection_ ? connection_->owner.lock() : nullptr;
  const std::string refusal = owner ? owner->TakeRefusal() : std::string();
  // With earlier requests in work the refusal would be taken for their answer.
  if (!refusal.empty() && connection_->users.empty()) {
    non_blocking(true, error);
    write_some(asio::buffer(refusal), error);
    refused_ = !error;
  }
  if (!refused_) {
    Base::shutdown(what, error);
  }
}

void ServerSocket::close() {
  if (refused_) {
    Linger();
  }
  asio::error_code ignored;
  Base::close(ignored);
  Unregister();
}

void ServerSocket::Linger() {
  refused_ = false;
  if (const auto owner = connection_ ? connection_->owner.lock() : nullptr) {
    std::make_shared<LingeringClose>(owner->io(),
                                     std::move(static_cast<Base&>(*this)))
        ->Start();
  }
}

}  // namespace verbenastile
