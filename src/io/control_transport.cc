#include "io/control_transport.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <map>
#include <optional>

namespace verbenastile {
namespace {

using asio::ip::tcp;

constexpr std::size_t kLengthBytes = 4;
// Frames are read in pieces of at most this size, so that the memory of a frame
// grows with the bytes received, not with the announced length.
constexpr std::size_t kMaxReadBytes = 65'536;
constexpr Duration kIdleCheckInterval = std::chrono::seconds(5);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

using LengthField = std::array<std::uint8_t, kLengthBytes>;

LengthField WriteLength(std::size_t length) {
  LengthField field{};
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    field[index] = static_cast<std::uint8_t>(length >> (8 * index));
  }
  return field;
}

std::size_t ReadLength(const LengthField& field) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    length |= static_cast<std::size_t>(field[index]) << (8 * index);
  }
  return length;
}

// Returns `frame` with its length prepended.
FrameBytes WithLengthPrefix(const FrameBytes& frame) {
  const LengthField length = WriteLength(frame.size());
  FrameBytes bytes(kLengthBytes + frame.size());
  std::copy(length.begin(), length.end(), bytes.begin());
  std::copy(frame.begin(), frame.end(), bytes.begin() + kLengthBytes);
  return bytes;
}

struct Connection {
  explicit Connection(asio::io_context& io) : socket(io), timer(io) {}

  ConnectionHandle handle;
  tcp::socket socket;
  asio::steady_timer timer;  // Limits the time to connect.
  std::optional<SocketAddress> peer;
  bool connected = false;
  bool hello_queued = false;
  bool writing = false;
  std::deque<FrameBytes> queue;
  std::size_t queued_bytes = 0;
  LengthField length{};
  FrameBytes frame;
  Time last_used;
};

using ConnectionPointer = std::shared_ptr<Connection>;

}  // namespace

class ControlTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io,
       ControlTransportInit init,
       ControlTransportHooks hooks)
      : io_(io),
        init_(std::move(init)),
        hooks_(std::move(hooks)),
        acceptor_(io),
        idle_timer_(io),
        accept_timer_(io) {}

  std::string Open() {
    asio::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(init_.address.ip),
                                 init_.address.port);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return error.message();
    }
    Accept();
    CheckIdle();
    return {};
  }

  void Close() {
    closed_ = true;
    asio::error_code ignored;
    acceptor_.close(ignored);
    idle_timer_.cancel();
    accept_timer_.cancel();
    for (auto& [handle, connection] : connections_) {
      connection->socket.close(ignored);
      connection->timer.cancel();
    }
    connections_.clear();
    by_peer_.clear();
  }

  void Send(const SocketAddress& to, FrameBytes frame) {
    if (closed_) {
      return;
    }
    const auto known = by_peer_.find({to.ip, to.port});
    Enqueue(
        known == by_peer_.end() ? Connect(to) : connections_.at(known->second),
        std::move(frame));
  }

  void Bind(ConnectionHandle handle, const SocketAddress& peer) {
    const auto found = connections_.find(handle);
    if (found == connections_.end() || found->second->peer) {
      return;
    }
    found->second->peer = peer;
    by_peer_.try_emplace({peer.ip, peer.port}, handle);
  }

  void Drop(ConnectionHandle handle) {
    const auto found = connections_.find(handle);
    if (found != connections_.end()) {
      CloseConnection(found->second, false);
    }
  }

  void Drop(const SocketAddress& peer) {
    const auto found = by_peer_.find({peer.ip, peer.port});
    if (found != by_peer_.end()) {
      Drop(found->second);
    }
  }

  ControlTransportStats stats() const {
    ControlTransportStats stats = stats_;
    stats.connections = connections_.size();
    return stats;
  }

 private:
  void Accept() {
    auto connection = std::make_shared<Connection>(io_);
    acceptor_.async_accept(
        connection->socket,
        [self = shared_from_this(), connection](const asio::error_code& error) {
          self->OnAccepted(connection, error);
        });
  }

  void OnAccepted(const ConnectionPointer& connection,
                  const asio::error_code& error) {
    if (closed_ || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      RetryAcceptLater();
      return;
    }
    ++stats_.accepts;
    Register(connection);
    OnConnected(connection);
    Accept();
  }

  // Retries later: accepting fails, for example, while the process has no file
  // descriptor left.
  void RetryAcceptLater() {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (!error && !self->closed_) {
            self->Accept();
          }
        });
  }

  void Register(const ConnectionPointer& connection) {
    EvictLeastRecentlyUsed();
    connection->handle = {++last_id_};
    connection->last_used = SteadyNow();
    connections_.emplace(connection->handle, connection);
  }

  // Closes the least recently used connection if the limit is reached.
  void EvictLeastRecentlyUsed() {
    if (connections_.size() < init_.max_connections) {
      return;
    }
    const auto least_recent =
        std::min_element(connections_.begin(), connections_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second->last_used < b.second->last_used;
                         });
    CloseConnection(ConnectionPointer(least_recent->second), false);
  }

  ConnectionPointer Connect(const SocketAddress& to) {
    auto connection = std::make_shared<Connection>(io_);
    Register(connection);
    connection->peer = to;
    by_peer_[{to.ip, to.port}] = connection->handle;
    ++stats_.connects;
    connection->timer.expires_after(init_.connect_timeout);
    connection->timer.async_wait(
        [self = shared_from_this(), connection](const asio::error_code& error) {
          if (!error && !connection->connected) {
            self->CloseConnection(connection, true);
          }
        });
    asio::error_code parse_error;
    const auto ip = asio::ip::make_address(to.ip, parse_error);
    connection->socket.async_connect(
        tcp::endpoint(ip, to.port),
        [self = shared_from_this(), connection](const asio::error_code& error) {
          if (error) {
            self->CloseConnection(connection, true);
          } else {
            self->OnConnected(connection);
          }
        });
    return connection;
  }

  void OnConnected(const ConnectionPointer& connection) {
    if (!IsOpen(connection)) {
      return;
    }
    connection->timer.cancel();
    connection->connected = true;
    asio::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    ReadHeader(connection);
    WriteNext(connection);
  }

  bool IsOpen(const ConnectionPointer& connection) const {
    return !closed_ && connections_.contains(connection->handle);
  }

  void Enqueue(const ConnectionPointer& connection, FrameBytes frame) {
    if (!connection->hello_queued) {
      connection->hello_queued = true;
      connection->queue.push_back(WithLengthPrefix(init_.hello));
      connection->queued_bytes += connection->queue.back().size();
    }
    connection->queue.push_back(WithLengthPrefix(frame));
    connection->queued_bytes += connection->queue.back().size();
    if (connection->queued_bytes > init_.max_queued_bytes) {
      ++stats_.overflows;
      CloseConnection(connection, true);
      return;
    }
    WriteNext(connection);
  }

  void WriteNext(const ConnectionPointer& connection) {
    if (!connection->connected || connection->writing ||
        connection->queue.empty()) {
      return;
    }
    connection->writing = true;
    asio::async_write(connection->socket,
                      asio::buffer(connection->queue.front()),
                      [self = shared_from_this(), connection](
                          const asio::error_code& error, std::size_t written) {
                        self->OnWritten(connection, error, written);
                      });
  }

  void OnWritten(const ConnectionPointer& connection,
                 const asio::error_code& error,
                 std::size_t written) {
    stats_.bytes_sent += written;
    if (!IsOpen(connection)) {
      return;
    }
    if (error) {
      CloseConnection(connection, true);
      return;
    }
    connection->last_used = SteadyNow();
    connection->writing = false;
    connection->queued_bytes -= connection->queue.front().size();
    connection->queue.pop_front();
    WriteNext(connection);
  }

  void ReadHeader(const ConnectionPointer& connection) {
    asio::async_read(connection->socket, asio::buffer(connection->length),
                     [self = shared_from_this(), connection](
                         const asio::error_code& error, std::size_t read) {
                       self->OnHeader(connection, error, read);
                     });
  }

  void OnHeader(const ConnectionPointer& connection,
                const asio::error_code& error,
                std::size_t read) {
    stats_.bytes_received += read;
    if (!IsOpen(connection)) {
      return;
    }
    if (error) {
      stats_.truncated += read == 0 ? 0 : 1;
      CloseConnection(connection, !connection->queue.empty());
      return;
    }
    const std::size_t length = ReadLength(connection->length);
    if (length == 0 || length > init_.max_frame_bytes) {
      ++stats_.oversize;
      CloseConnection(connection, true);
      return;
    }
    connection->frame.clear();
    ReadBody(connection, length);
  }

  void ReadBody(const ConnectionPointer& connection, std::size_t length) {
    const std::size_t have = connection->frame.size();
    const std::size_t part = std::min(kMaxReadBytes, length - have);
    connection->frame.resize(have + part);
    asio::async_read(connection->socket,
                     asio::buffer(connection->frame.data() + have, part),
                     [self = shared_from_this(), connection, length](
                         const asio::error_code& error, std::size_t read) {
                       self->OnBody(connection, length, error, read);
                     });
  }

  void OnBody(const ConnectionPointer& connection,
              std::size_t length,
              const asio::error_code& error,
              std::size_t read) {
    stats_.bytes_received += read;
    if (!IsOpen(connection)) {
      return;
    }
    if (error) {
      ++stats_.truncated;
      CloseConnection(connection, true);
      return;
    }
    if (connection->frame.size() < length) {
      ReadBody(connection, length);
      return;
    }
    connection->last_used = SteadyNow();
    const FrameBytes frame = std::exchange(connection->frame, {});
    hooks_.on_frame(connection->handle, frame);
    if (IsOpen(connection)) {
      ReadHeader(connection);
    }
  }

  void CloseConnection(const ConnectionPointer& connection, bool failed) {
    if (!IsOpen(connection)) {
      return;
    }
    asio::error_code ignored;
    connection->socket.close(ignored);
    connection->timer.cancel();
    connections_.erase(connection->handle);
    if (connection->peer) {
      const auto bound =
          by_peer_.find({connection->peer->ip, connection->peer->port});
      if (bound != by_peer_.end() && bound->second == connection->handle) {
        by_peer_.erase(bound);
      }
    }
    // Posted to the event loop, so that `Send` never runs a callback of its
    // caller.
    asio::post(io_, [self = shared_from_this(), connection, failed] {
      if (self->closed_) {
        return;
      }
      self->hooks_.on_closed(connection->handle);
      if (failed && connection->peer) {
        self->hooks_.on_failed(*connection->peer);
      }
    });
  }

  void CheckIdle() {
    idle_timer_.expires_after(kIdleCheckInterval);
    idle_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (error || self->closed_) {
            return;
          }
          self->CloseIdle();
          self->CheckIdle();
        });
  }

  void CloseIdle() {
    const Time limit = SteadyNow() - init_.idle_timeout;
    std::vector<ConnectionPointer> idle;
    for (const auto& [handle, connection] : connections_) {
      if (connection->last_used < limit) {
        idle.push_back(connection);
      }
    }
    for (const ConnectionPointer& connection : idle) {
      CloseConnection(connection, false);
    }
  }

  using PeerKey = std::pair<std::string, std::uint16_t>;

  asio::io_context& io_;
  ControlTransportInit init_;
  ControlTransportHooks hooks_;
  tcp::acceptor acceptor_;
  asio::steady_timer idle_timer_;
  asio::steady_timer accept_timer_;
  std::map<ConnectionHandle, ConnectionPointer> connections_;
  std::map<PeerKey, ConnectionHandle> by_peer_;
  std::uint64_t last_id_ = 0;
  bool closed_ = false;
  ControlTransportStats stats_;
};

ControlTransport::ControlTransport(asio::io_context& io,
                                   ControlTransportInit init,
                                   ControlTransportHooks hooks)
    : impl_(std::make_shared<Impl>(io, std::move(init), std::move(hooks))) {}

ControlTransport::~ControlTransport() {
  impl_->Close();
}

std::string ControlTransport::Open() {
  return impl_->Open();
}

void ControlTransport::Close() {
  impl_->Close();
}

void ControlTransport::Send(const SocketAddress& to, FrameBytes frame) {
  impl_->Send(to, std::move(frame));
}

void ControlTransport::Bind(ConnectionHandle connection,
                            const SocketAddress& peer) {
  impl_->Bind(connection, peer);
}

void ControlTransport::Drop(ConnectionHandle connection) {
  impl_->Drop(connection);
}

void ControlTransport::Drop(const SocketAddress& peer) {
  impl_->Drop(peer);
}

ControlTransportStats ControlTransport::stats() const {
  return impl_->stats();
}

}  // namespace verbenastile
