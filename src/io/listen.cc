#include "io/listen.h"

namespace verbenastile {
namespace {

// Queue length for connections that wait to be accepted. It exceeds the number
// that a fleet opens simultaneously.
constexpr int kListenBacklog = 1'024;

}  // namespace

std::string Listen(asio::ip::tcp::acceptor& acceptor,
                   const SocketAddress& address) {
  using Tcp = asio::ip::tcp;
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  const Tcp::endpoint endpoint(ip, address.port);
  if (!error) {
    acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  return error ? error.message() : std::string();
}

}  // namespace verbenastile
