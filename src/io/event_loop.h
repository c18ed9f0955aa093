// Runs an event loop in a way that survives unexpected exceptions.
#ifndef IO_EVENT_LOOP_H_
#define IO_EVENT_LOOP_H_

#include <asio/io_context.hpp>
#include <functional>
#include <string_view>

namespace verbenastile {

// Runs `io` until it is stopped or has no more work. An exception ends only the
// handler that threw it: `on_error` receives its message, and the loop goes on,
// so that one bad message does not take the other requests down.
void RunEventLoop(asio::io_context& io,
                  const std::function<void(std::string_view)>& on_error);

}  // namespace verbenastile

#endif  // IO_EVENT_LOOP_H_
