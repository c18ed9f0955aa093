// One TCP connection between two nodes that carries frames both ways.
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

// Belongs to the thread of its `io_context`. Writes of one turn of the loop
// leave together.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using Tcp = asio::ip::tcp;

  struct Events {
    std::function<void(LinkFrame)> on_frame;
    // Once, unless the link was closed by `Close`.
    std::function<void(std::string_view why)> on_closed;
  };

  // `deltas` outlives this.
  Link(Tcp::socket socket, SmallTextDeltas* deltas)
      : socket_(std::move(socket)), reader_(deltas), writer_(deltas) {}

  // Starts on a connected socket.
  void Open(Events events);
  // Returns the frame's size in bytes.
  std::size_t Send(const LinkFrame& frame);
  // Closes without `on_closed`.
  void Close();

  bool open() const { return open_; }
  Time last_heard() const { return last_heard_; }

 private:
  void Read();
  bool DeliverFrames();
  void Flush();
  void Fail(std::string_view why);

  Tcp::socket socket_;
  Events events_;
  LinkReader reader_;
  LinkWriter writer_;
  std::string out_;
  std::string writing_;
  Time last_heard_;
  bool open_ = false;
  bool flush_posted_ = false;
};

}  // namespace verbenastile

#endif  // MESH_LINK_H_
