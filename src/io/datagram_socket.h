// A UDP socket bound to one address.
#ifndef IO_DATAGRAM_SOCKET_H_
#define IO_DATAGRAM_SOCKET_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "config/settings.h"

namespace verbenastile {

// Receives until it is closed. Not thread-safe: use only on the thread that
// runs its `io_context`.
class DatagramSocket {
 public:
  // `datagram` is valid only during the call. Datagrams longer than
  // `kMaxReceivedBytes` are truncated to that length.
  using Handler = std::function<void(const SocketAddress& from,
                                     std::span<const std::byte> datagram)>;

  static constexpr std::size_t kMaxReceivedBytes = 2'048;

  DatagramSocket(asio::io_context& io, Handler on_datagram);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `address` and starts receiving. Returns an error message, or an
  // empty string on success.
  std::string Open(const SocketAddress& address);
  void Close();

  // Sends without blocking. Returns false if the system does not accept the
  // datagram now; it is then dropped.
  bool Send(const SocketAddress& to, std::span<const std::byte> datagram);

 private:
  void Receive();

  asio::ip::udp::socket socket_;
  Handler on_datagram_;
  asio::ip::udp::endpoint sender_;
  std::array<std::byte, kMaxReceivedBytes> buffer_{};
};

}  // namespace verbenastile

#endif  // IO_DATAGRAM_SOCKET_H_
