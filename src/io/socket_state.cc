#include "io/socket_state.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

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

asio::error_code TakeSocketError(asio::ip::tcp::socket& socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) !=
      0) {
    error = errno;
  }
  return {error, asio::error::get_system_category()};
}

bool HasUnacknowledgedOutput(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

}  // namespace verbenastile
