// Frames between nodes over TCP: few lasting connections, each used in both
// directions, idle ones closed.
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

// Names a connection; 0 names none. Never used again after its end.
struct ConnectionHandle {
  std::uint64_t id = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const ConnectionHandle&) const = default;
};

struct ControlTransportInit {
  SocketAddress address;  // Listens here.
  FrameBytes hello;       // The first frame to each peer.
  std::size_t max_connections = 64;
  std::size_t max_frame_bytes = 8'388'608;
  // A connection with more than this waiting to be sent is closed.
  std::size_t max_queued_bytes = 16'777'216;
  Duration idle_timeout = std::chrono::seconds(30);
  Duration connect_timeout = std::chrono::seconds(1);
};

struct ControlTransportHooks {
  // A whole frame arrived; the bytes are valid during the call.
  std::function<void(ConnectionHandle, std::span<const std::uint8_t>)> on_frame;
  // The connection ended.
  std::function<void(ConnectionHandle)> on_closed;
  // No connection could be made, or what was sent there may be lost.
  std::function<void(const SocketAddress&)> on_failed;
};

struct ControlTransportStats {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t connects = 0;
  std::uint64_t accepts = 0;
  std::uint64_t oversize = 0;   // Frames beyond the bound; refused.
  std::uint64_t truncated = 0;  // Connections that ended within a frame.
  std::uint64_t overflows = 0;  // Connections closed for a full queue.
  std::size_t connections = 0;
};

// Belongs to the thread of its `io_context`.
class ControlTransport {
 public:
  ControlTransport(asio::io_context& io,
                   ControlTransportInit init,
                   ControlTransportHooks hooks);
  ~ControlTransport();
  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;

  // Returns what went wrong; empty when it listens.
  std::string Open();
  void Close();

  // Sends `frame` to the peer that listens at `to`, over a connection that is
  // there or a new one.
  void Send(const SocketAddress& to, FrameBytes frame);

  // Says that the peer at the other end of `connection` listens at `peer`.
  void Bind(ConnectionHandle connection, const SocketAddress& peer);

  void Drop(ConnectionHandle connection);
  // Drops the connection to the peer that listens at `peer`.
  void Drop(const SocketAddress& peer);

  ControlTransportStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  // Shared with handlers that are still due.
};

}  // namespace verbenastile

#endif  // IO_CONTROL_TRANSPORT_H_
