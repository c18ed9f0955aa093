// Whether the other end of a connection has closed it.
#ifndef IO_PEER_CLOSED_H_
#define IO_PEER_CLOSED_H_

#include <asio/ip/tcp.hpp>

namespace verbenastile {

// Returns true if the peer has closed the connection or its sending direction,
// even if bytes that it sent before are still unread. False says nothing about
// a peer that cannot be reached.
bool HasPeerClosed(asio::ip::tcp::socket& socket);

}  // namespace verbenastile

#endif  // IO_PEER_CLOSED_H_
