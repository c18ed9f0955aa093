// Exchanges frames between nodes over TCP. Keeps a bounded number of long-lived
// connections, uses each in both directions and closes idle ones.
#ifndef IO_CONTROL_TRANSPORT_H_
#define IO_CONTROL_TRANSPORT_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/settings.h"

namespace verbenastile {

using FrameBytes = std::vector<std::uint8_t>;

// Identifies a connection. The id 0 refers to none. Ids are never reused.
struct ConnectionHandle {
  std::uint64_t id = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `= default`.
  auto operator<=>(const ConnectionHandle&) const = default;
};

struct ControlTransportInit {
  SocketAddress address;  // The address to listen on.
  FrameBytes hello;       // The first frame sent on each connection.
  std::size_t max_connections = 64;
  std::size_t max_frame_bytes = 8'388'608;
  // A connection with more bytes than this queued for sending is closed.
  std::size_t max_queued_bytes = 16'777'216;
  Duration idle_timeout = std::chrono::seconds(30);
  Duration connect_timeout = std::chrono::seconds(1);
};

struct ControlTransportHooks {
  // A complete frame arrived. The bytes are valid only during the call.
  std::function<void(ConnectionHandle, std::span<const std::uint8_t>)> on_frame;
  // The connection ended, other than by `Close`.
  std::function<void(ConnectionHandle)> on_closed;
  // Connecting to the peer failed, or the connection broke and frames sent to
  // it may be lost.
  std::function<void(const SocketAddress&)> on_failed;
};

struct ControlTransportStats {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t connects = 0;
  std::uint64_t accepts = 0;
  std::uint64_t oversize = 0;  // Frames rejected for their announced length.
  std::uint64_t truncated =
      0;  // Connections that ended in the middle of a frame.
  std::uint64_t overflows = 0;  // Connections closed because of a full queue.
  std::size_t connections = 0;
};

// Not thread-safe: use only on the thread that runs its `io_context`.
class ControlTransport {
 public:
  ControlTransport(asio::io_context& io,
                   ControlTransportInit init,
                   ControlTransportHooks hooks);
  ~ControlTransport();
  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;

  // Starts listening. Returns an error message, or an empty string on success.
  std::string Open();
  void Close();

  // Sends `frame` to the peer that listens at `to`, over an existing connection
  // or a new one.
  void Send(const SocketAddress& to, FrameBytes frame);

  // Records that the remote end of `connection` listens at `peer`, so that
  // frames to `peer` use this connection.
  void Bind(ConnectionHandle connection, const SocketAddress& peer);

  void Drop(ConnectionHandle connection);
  // Closes the connection to the peer that listens at `peer`.
  void Drop(const SocketAddress& peer);

  ControlTransportStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  // Shared with pending handlers.
};

}  // namespace verbenastile

#endif  // IO_CONTROL_TRANSPORT_H_
