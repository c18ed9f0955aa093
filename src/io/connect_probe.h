// Finds out whether anything accepts connections at an address, by opening one
// and closing it at once.
#ifndef IO_CONNECT_PROBE_H_
#define IO_CONNECT_PROBE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"
#include "config/settings.h"

namespace verbenastile {

enum class ConnectResult : std::uint8_t {
  kAccepted = 0,
  kRefused,   // Nothing listens at the address.
  kNoAnswer,  // No result within the time limit, or another error.
};

// Not thread-safe: use it only on the thread that runs its `io_context`.
class ConnectProbe {
 public:
  explicit ConnectProbe(asio::io_context& io) : io_(io) {}
  ~ConnectProbe() { Cancel(); }
  ConnectProbe(const ConnectProbe&) = delete;
  ConnectProbe& operator=(const ConnectProbe&) = delete;

  // Runs `on_done` once, never from within this call. Must not be called while
  // another probe is under way.
  void Start(const SocketAddress& address,
             Duration timeout,
             std::function<void(ConnectResult)> on_done);
  // Ends a probe that is under way without a result.
  void Cancel();
  bool active() const;

 private:
  struct Attempt;

  asio::io_context& io_;
  std::shared_ptr<Attempt> attempt_;
};

}  // namespace verbenastile

#endif  // IO_CONNECT_PROBE_H_
