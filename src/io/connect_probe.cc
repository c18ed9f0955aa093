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

// Handlers hold the attempt, not the probe, which may be gone when they run.
struct ConnectProbe::Attempt {
  explicit Attempt(asio::io_context& io) : socket(io), timer(io) {}

  void Finish(ConnectResult result) {
    if (const auto done = Close()) {
      done(result);
    }
  }
  std::function<void(ConnectResult)> Close() {
    timer.cancel();
    asio::error_code ignored;  // The connection is not used.
    socket.close(ignored);
    return std::exchange(on_done, nullptr);
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(ConnectResult)> on_done;  // Null once it has ended.
};

void ConnectProbe::Start(const SocketAddress& address,
                         Duration timeout,
                         std::function<void(ConnectResult)> on_done) {
  const auto attempt = std::make_shared<Attempt>(io_);
  attempt_ = attempt;
  attempt->on_done = std::move(on_done);
  asio::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error),
                               address.port);
  if (error) {
    asio::post(io_, [attempt] { attempt->Finish(ConnectResult::kNoAnswer); });
    return;
  }
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([attempt](const asio::error_code& cancelled) {
    if (!cancelled) {
      attempt->Finish(ConnectResult::kNoAnswer);
    }
  });
  attempt->socket.async_connect(endpoint,
                                [attempt](const asio::error_code& failed) {
                                  attempt->Finish(ToResult(failed));
                                });
}

void ConnectProbe::Cancel() {
  if (const auto attempt = std::exchange(attempt_, nullptr)) {
    attempt->Close();
  }
}

bool ConnectProbe::active() const {
  return attempt_ != nullptr && attempt_->on_done != nullptr;
}

}  // namespace verbenastile
