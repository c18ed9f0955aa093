#include "io/socket_state.h"

#include <poll.h>

namespace verbenastile {
namespace {

constexpr short kFailureEvents = POLLHUP | POLLERR | POLLNVAL;

bool HasEvent(asio::ip::tcp::socket& socket, short events) {
  pollfd state = {socket.native_handle(), events, 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (events | kFailureEvents)) != 0;
}

}  // namespace

bool HasPeerClosed(asio::ip::tcp::socket& socket) {
  return HasEvent(socket, POLLRDHUP);
}

bool HasUnreadInput(asio::ip::tcp::socket& socket) {
  return HasEvent(socket, POLLIN | POLLRDHUP);
}

}  // namespace verbenastile
