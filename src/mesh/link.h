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

#include "base/time.h"
#include "mesh/link_codec.h"

namespace verbenastile {

// Used only on the thread that runs the socket's `io_context`. Frames sent
// during one iteration of the event loop are written together.
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
  Time last_received() const { return last_received_; }

 private:
  void Read();
  bool DeliverFrames();
  void Flush();
  void Fail(std::string_view reason);

  Tcp::socket socket_;
  Events events_;
  LinkReader reader_;
  LinkWriter writer_;
  std::string pending_;  // Encoded, not yet passed to the socket.
  std::string writing_;  // Used by the write in progress.
  Time last_received_;
  bool open_ = false;
  bool flush_posted_ = false;
};

}  // namespace verbenastile

#endif  // MESH_LINK_H_
