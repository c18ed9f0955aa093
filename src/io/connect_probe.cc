#include "io/connect_probe.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace verbenastile {
namespace {

using asio::ip::tcp;

ConnectResult ToResult(const asio::error_code& error) {
  if (!error) {
    return ConnectResult::kAccepted;
  }
  return error == asio::error::connection_refused ? ConnectResult::kRefused
                                                  : ConnectResult::kNoAnswer;
}

}  // namespace

struct ConnectProbe::Attempt {
  explicit Attempt(asio::io_context& io) : socket(io), timer(io) {}

  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(ConnectResult)> on_done;
};

void ConnectProbe::Start(const SocketAddress& address,
                         Duration timeout,
                         std::function<void(ConnectResult)> on_done) {
  const auto attempt = std::make_shared<Attempt>(io_);
  attempt_ = attempt;
  attempt->on_done = std::move(on_done);
  const auto finish = [this, attempt](ConnectResult result) {
    if (attempt != attempt_) {
      return;
    }
    const auto done = std::move(attempt->on_done);
    Cancel();
    done(result);
  };
  asio::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error),
                               address.port);
  if (error) {
    asio::post(io_, [finish] { finish(ConnectResult::kNoAnswer); });
    return;
  }
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([finish](const asio::error_code& cancelled) {
    if (!cancelled) {
      finish(ConnectResult::kNoAnswer);
    }
  });
  attempt->socket.async_connect(
      endpoint,
      [finish](const asio::error_code& failed) { finish(ToResult(failed)); });
}

void ConnectProbe::Cancel() {
  if (const auto attempt = std::exchange(attempt_, nullptr)) {
    attempt->timer.cancel();
    asio::error_code ignored;  // The connection is not used.
    attempt->socket.close(ignored);
  }
}

}  // namespace verbenastile
