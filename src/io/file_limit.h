// Limit on the open file descriptors of the process.
#ifndef IO_FILE_LIMIT_H_
#define IO_FILE_LIMIT_H_

#include <cstddef>

namespace verbenastile {

// Raises the limit to the hard limit and returns the new value, or 0 on
// failure. RESTinio permanently stops accepting connections once an accept
// fails because file descriptors have run out, so the limit must exceed the
// number that the servers and clients may open together.
std::size_t RaiseFileLimit();

}  // namespace verbenastile

#endif  // IO_FILE_LIMIT_H_
