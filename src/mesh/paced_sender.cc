#include "mesh/paced_sender.h"

#include <utility>

namespace verbenastile {

PacedSender::PacedSender(asio::io_context& io, const LinkPacerOptions& init)
    : timer_(io), pacer_(init, SteadyNow()) {}

void PacedSender::Enqueue(std::string bytes, WriteHandler write) {
  queued_bytes_ += bytes.size();
  items_.push_back({std::move(bytes), 0, std::move(write)});
  if (!std::exchange(sending_, true)) {
    SendQueued();
  }
}

void PacedSender::OnSent(std::size_t bytes) {
  pacer_.OnUnpacedSent(bytes, SteadyNow());
}

void PacedSender::SendQueued() {
  const Time now = SteadyNow();
  while (!items_.empty()) {
    Item& first = items_.front();
    const std::size_t remaining = first.bytes.size() - first.sent;
    const std::size_t allowed = pacer_.Acquire(remaining, now);
    if (allowed == 0 && remaining > 0) {
      timer_.expires_after(pacer_.TimeUntilBurst(now));
      timer_.async_wait(
          [this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
            if (!error && !alive.expired()) {
              SendQueued();
            }
          });
      return;
    }
    const bool is_final = allowed == remaining;
    std::string chunk = first.bytes.substr(first.sent, allowed);
    first.sent += allowed;
    queued_bytes_ -= allowed;
    const WriteHandler write = first.write;
    if (!write(std::move(chunk), is_final) && !is_final) {
      queued_bytes_ -= remaining - allowed;
      items_.pop_front();
    } else if (is_final) {
      items_.pop_front();
    }
  }
  sending_ = false;
}

}  // namespace verbenastile
