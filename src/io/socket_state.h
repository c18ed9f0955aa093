// What the kernel knows of a connection.
#ifndef IO_SOCKET_STATE_H_
#define IO_SOCKET_STATE_H_

#include <asio/ip/tcp.hpp>

namespace verbenastile {

// Returns true if the peer has closed the connection or its sending direction,
// even if bytes that it sent before are still unread. False says nothing about
// a peer that cannot be reached.
bool HasPeerClosed(asio::ip::tcp::socket& socket);

// Returns true if bytes or the end of the connection wait to be read.
bool HasUnreadInput(asio::ip::tcp::socket& socket);

// Returns the error that has ended the connection, and clears it; no error if
// there is none or an operation has reported it before.
asio::error_code TakeSocketError(asio::ip::tcp::socket& socket);

// Returns true if the peer has not acknowledged all bytes that were written.
// False if the system cannot tell.
bool HasUnacknowledgedOutput(asio::ip::tcp::socket& socket);

}  // namespace verbenastile

#endif  // IO_SOCKET_STATE_H_
