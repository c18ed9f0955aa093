#include "io/peer_closed.h"

#include <poll.h>

namespace verbenastile {

bool HasPeerClosed(asio::ip::tcp::socket& socket) {
  constexpr short kClosedEvents = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;
  pollfd state = {socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & kClosedEvents) != 0;
}

}  // namespace verbenastile
