// A TCP connection between two nodes that carries link frames in both
// directions.
#ifndef MESH_LINK_H_
#define MESH_LINK_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "io/socket_state.h"
#include "mesh/link_codec.h"

namespace verbenastile {

// Used only on the thread that runs the socket's `io_context`. Frames sent
// during one iteration of the event loop are written together, and frames that
// wait to be read are delivered together.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using Tcp = asio::ip::tcp;

  struct Events {
    std::function<void(LinkFrame)> on_frame;
    // Runs once when the link fails or the peer closes it; not after `Close`.
    std::function<void(std::string_view reason)> on_closed;
  };

  // `deltas` must outlive the link.
  Link(Tcp::socket socket, SmallTextDeltas* deltas)
      : socket_(std::move(socket)), reader_(deltas), writer_(deltas) {}

  // Starts reading; the socket must be connected.
  void Open(Events events);
  // Queues `frame` and returns its encoded size in bytes; 0 if the link is
  // closed.
  std::size_t Send(const LinkFrame& frame);
  // Closes the connection without calling `on_closed`.
  void Close();

  bool open() const { return open_; }
  // Whether the peer has closed the connection. Its last frames may be unread.
  bool HasPeerClosed() {
    return !open_ || verbenastile::HasPeerClosed(socket_);
  }
  Time last_received() const { return last_received_; }
  // The calls sent of which the kernel did not get every byte. Once the link is
  // closed, the peer has not received these calls and never will.
  std::vector<CallId> UnsentCalls() const;

 private:
  void Read();
  void OnRead(asio::error_code error, std::string_view bytes);
  bool DeliverFrames();
  void Flush();
  void FlushWhenWritable();
  void Fail(std::string_view reason);

  Tcp::socket socket_;
  Events events_;
  LinkReader reader_;
  LinkWriter writer_;
  std::string pending_;      // Encoded, none of it passed to the kernel.
  std::string writing_;      // Passed to the kernel in part.
  std::size_t written_ = 0;  // Of `writing_`.
  // Calls with bytes in the two buffers, with the positions in the stream at
  // which their frames end.
  std::vector<std::pair<CallId, std::uint64_t>> unsent_calls_;
  std::uint64_t encoded_bytes_ = 0;  // Of the stream.
  std::uint64_t written_bytes_ = 0;  // Of the stream.
  Time last_received_;
  bool open_ = false;
  bool flush_posted_ = false;
  bool awaits_writable_ = false;
};

}  // namespace verbenastile

#endif  // MESH_LINK_H_
