// The number of files and sockets that the process may have open.
#ifndef IO_FILE_LIMIT_H_
#define IO_FILE_LIMIT_H_

#include <cstddef>

namespace verbenastile {

// Raises the limit as far as the system allows. RESTinio stops to accept for
// good when a connection cannot be accepted for want of files, so the limit has
// to lie above what the servers and clients together may open. Returns it.
std::size_t RaiseFileLimit();

}  // namespace verbenastile

#endif  // IO_FILE_LIMIT_H_
