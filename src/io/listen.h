// Opens TCP addresses that this process serves.
#ifndef IO_LISTEN_H_
#define IO_LISTEN_H_

#include <asio/ip/tcp.hpp>
#include <string>

#include "config/settings.h"

namespace verbenastile {

// Makes `acceptor` listen on `address`. Returns an empty text, or why it
// cannot.
std::string Listen(asio::ip::tcp::acceptor& acceptor,
                   const SocketAddress& address);

}  // namespace verbenastile

#endif  // IO_LISTEN_H_
