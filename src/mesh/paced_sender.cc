#include "mesh/paced_sender.h"

#include <utility>

namespace verbenastile {

PacedSender::PacedSender(asio::io_context& io, const LinkPacerOptions& init)
    : timer_(io), pacer_(init, SteadyNow()) {}

void PacedSender::Queue(std::string bytes, Write write) {
  backlog_ += bytes.size();
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
    const std::size_t left = first.bytes.size() - first.sent;
    const std::size_t taken = pacer_.Acquire(left, now);
    if (taken == 0 && left > 0) {
      timer_.expires_after(pacer_.TimeUntilBurst(now));
      timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
          SendQueued();
        }
      });
      return;
    }
    const bool whole = taken == left;
    std::string piece = first.bytes.substr(first.sent, taken);
    first.sent += taken;
    backlog_ -= taken;
    const Write write = first.write;
    if (!write(std::move(piece), whole) && !whole) {
      backlog_ -= left - taken;
      items_.pop_front();
    } else if (whole) {
      items_.pop_front();
    }
  }
  sending_ = false;
}

}  // namespace verbenastile
