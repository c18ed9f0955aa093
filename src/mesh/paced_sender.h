// Sends the bodies of large responses one after another, at the rate that the
// machine's network link can carry.
#ifndef MESH_PACED_SENDER_H_
#define MESH_PACED_SENDER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "core/link_forecast.h"
#include "core/link_pacer.h"

namespace verbenastile {

class PacedSender {
 public:
  // Receives the chunks of one body in order; `last` marks the final one.
  // Returns false to drop the rest.
  using WriteHandler = std::function<bool(std::string chunk, bool last)>;

  // Frames and bodies up to this size need not be queued.
  static constexpr std::size_t kMaxUnpacedBytes = 4'096;

  PacedSender(asio::io_context& io, const LinkPacerOptions& init);
  PacedSender(const PacedSender&) = delete;
  PacedSender& operator=(const PacedSender&) = delete;

  void Enqueue(std::string bytes, WriteHandler write);
  // Accounts for bytes that were sent without being queued.
  void OnSent(std::size_t bytes);
  LinkState link_state() const {
    return {pacer_.AvailableBytesPerSecond(SteadyNow()),
            static_cast<std::int64_t>(queued_bytes_)};
  }

 private:
  struct Item {
    std::string bytes;
    std::size_t sent = 0;
    WriteHandler write;
  };

  void SendQueued();

  asio::steady_timer timer_;
  LinkPacer pacer_;
  std::deque<Item> items_;
  std::size_t queued_bytes_ = 0;  // Not sent yet.
  bool sending_ = false;
  // Timers that have expired run their handlers although they are cancelled;
  // those that find this gone do nothing.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace verbenastile

#endif  // MESH_PACED_SENDER_H_
