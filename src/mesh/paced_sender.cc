#include "mesh/paced_sender.h"

#include <algorithm>
#include <utility>

namespace verbenastile {
namespace {

// Bounds of the time between two looks at the queue: one wakes the process
// for a few kilobytes at least, the other for receivers that have gone.
constexpr Duration kShortestWait = std::chrono::milliseconds(2);
constexpr Duration kLongestWait = std::chrono::milliseconds(100);

}  // namespace

PacedSender::PacedSender(asio::io_context& io, const LinkPacerInit& init)
    : timer_(io), pacer_(init, SteadyNow()) {}

void PacedSender::Queue(std::string bytes,
                        std::shared_ptr<LinkPacer> receiver,
                        Write write) {
  backlog_ += bytes.size();
  items_.push_back(
      {std::move(bytes), 0, std::move(receiver), std::move(write)});
  if (!std::exchange(sending_, true)) {
    SendQueued();
  }
}

void PacedSender::OnSent(std::size_t bytes) {
  pacer_.OnSent(bytes, SteadyNow());
}

bool PacedSender::SendSome(Item& item, Time now) {
  const std::size_t left = item.bytes.size() - item.sent;
  std::size_t taken = left;
  if (item.receiver) {
    taken = std::min(taken, item.receiver->Available(now));
  }
  taken = pacer_.Take(taken, now);
  if (taken == 0 && left > 0) {
    return false;
  }
  if (item.receiver) {
    item.receiver->OnSent(taken, now);
  }
  const bool whole = taken == left;
  std::string piece = item.bytes.substr(item.sent, taken);
  item.sent += taken;
  backlog_ -= taken;
  const Write write = item.write;
  if (!write(std::move(piece), whole) && !whole) {
    backlog_ -= left - taken;
    return true;
  }
  return whole;
}

void PacedSender::SendQueued() {
  const Time now = SteadyNow();
  Duration wait = kLongestWait;
  for (auto item = items_.begin(); item != items_.end();) {
    if (SendSome(*item, now)) {
      item = items_.erase(item);
      continue;
    }
    const Duration next =
        item->receiver ? item->receiver->UntilNext(now) : Duration::zero();
    wait = std::min(wait, std::max(next, pacer_.UntilNext(now)));
    ++item;
  }
  sending_ = !items_.empty();
  if (!sending_) {
    return;
  }
  timer_.expires_after(std::max(wait, kShortestWait));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      SendQueued();
    }
  });
}

}  // namespace verbenastile
