#include "io/event_loop.h"

#include <exception>

namespace verbenastile {

void RunEventLoop(asio::io_context& io,
                  const std::function<void(std::string_view)>& on_error) {
  for (bool finished = false; !finished;) {
    try {
      io.run();
      finished = true;
    } catch (const std::exception& error) {
      on_error(error.what());
    }
  }
}

}  // namespace verbenastile
