// Opens listening TCP sockets.
#ifndef IO_LISTEN_H_
#define IO_LISTEN_H_

#include <asio/ip/tcp.hpp>
#include <string>

#include "config/settings.h"

namespace verbenastile {

// Makes `acceptor` listen on `address`. Returns an empty string, or the reason
// for the failure.
std::string Listen(asio::ip::tcp::acceptor& acceptor,
                   const SocketAddress& address);

}  // namespace verbenastile

#endif  // IO_LISTEN_H_
