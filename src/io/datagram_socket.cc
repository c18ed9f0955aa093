#include "io/datagram_socket.h"

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>

namespace verbenastile {
namespace {

// Holds the datagrams that arrive while the process is busy, and the burst when
// a member joins.
constexpr int kReceiveBufferBytes = 1'048'576;

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& io, Handler on_datagram)
    : socket_(io), on_datagram_(std::move(on_datagram)) {}

std::string DatagramSocket::Open(const SocketAddress& address) {
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  if (error) {
    return error.message();
  }
  const asio::ip::udp::endpoint endpoint(ip, address.port);
  socket_.open(endpoint.protocol(), error);
  if (error) {
    return error.message();
  }
  asio::error_code ignored;
  socket_.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  socket_.bind(endpoint, error);
  if (error) {
    return error.message();
  }
  socket_.non_blocking(true, error);
  if (error) {
    return error.message();
  }
  Receive();
  return {};
}

void DatagramSocket::Close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

bool DatagramSocket::Send(const SocketAddress& to,
                          std::span<const std::byte> datagram) {
  asio::error_code error;
  const auto ip = asio::ip::make_address(to.ip, error);
  if (error || !socket_.is_open()) {
    return false;
  }
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()),
                  asio::ip::udp::endpoint(ip, to.port), 0, error);
  return !error;
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const asio::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted || !socket_.is_open()) {
          return;
        }
        // Other errors report on a datagram sent earlier, such as an ICMP port
        // unreachable. Receiving continues.
        if (!error) {
          const SocketAddress from{sender_.address().to_string(),
                                   sender_.port()};
          on_datagram_(from, {buffer_.data(), size});
        }
        if (socket_.is_open()) {
          Receive();
        }
      });
}

}  // namespace verbenastile
