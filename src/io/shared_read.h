// Socket reads into a buffer shared by all sockets of a thread, so that sockets
// waiting for data hold no read buffer.
#ifndef IO_SHARED_READ_H_
#define IO_SHARED_READ_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <string_view>
#include <utility>

namespace verbenastile {

// Maximum size of one read.
constexpr std::size_t kSharedReadBufferSize = 65'536;

// The buffer that all sockets of this thread read into.
inline std::array<char, kSharedReadBufferSize>& SharedReadBuffer() {
  static thread_local std::array<char, kSharedReadBufferSize> buffer;
  return buffer;
}

// Waits until the non-blocking `socket` is readable and calls
// `handler(error, bytes)`. `bytes` is valid until the handler returns. The
// handler must keep the socket alive.
template <typename Handler>
void ReadWithSharedBuffer(asio::ip::tcp::socket& socket, Handler handler) {
  socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [&socket, handler = std::move(handler)](asio::error_code error) mutable {
        auto& buffer = SharedReadBuffer();
        std::size_t count = 0;
        if (!error) {
          count = socket.read_some(asio::buffer(buffer), error);
        }
        if (error == asio::error::would_block) {
          ReadWithSharedBuffer(socket, std::move(handler));
          return;
        }
        handler(error, std::string_view(buffer.data(), count));
      });
}

}  // namespace verbenastile

#endif  // IO_SHARED_READ_H_
