#include "mesh/link.h"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "io/shared_read.h"

namespace verbenastile {
namespace {

// A peer that leaves this much unread is given up; the largest call with its
// body fits in.
constexpr std::size_t kMaxUnsentBytes = 100'000'000;

// Empties `text`, and gives back what a large frame made it take.
void Reuse(std::string& text) {
  constexpr std::size_t kKeptBytes = 32'768;
  text.clear();
  if (text.capacity() > kKeptBytes) {
    text.shrink_to_fit();
  }
}

}  // namespace

void Link::Open(Events events) {
  events_ = std::move(events);
  open_ = true;
  last_heard_ = SteadyNow();
  asio::error_code ignored;  // The option only tunes the connection.
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  Read();
}

std::size_t Link::Send(const LinkFrame& frame) {
  if (!open_) {
    return 0;
  }
  const std::size_t before = out_.size();
  writer_.Append(frame, out_);
  const std::size_t size = out_.size() - before;
  if (!writing_.empty() || std::exchange(flush_posted_, true)) {
    return size;
  }
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->Flush();
  });
  return size;
}

void Link::Flush() {
  if (!open_ || !writing_.empty() || out_.empty()) {
    return;
  }
  if (out_.size() > kMaxUnsentBytes) {
    Fail("the peer does not read");
    return;
  }
  writing_.swap(out_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        Reuse(self->writing_);
        if (error) {
          self->Fail(error.message());
        } else {
          self->Flush();
        }
      });
}

void Link::Read() {
  ReadShared(socket_, [self = shared_from_this()](const asio::error_code& error,
                                                  std::string_view bytes) {
    if (!self->open_) {
      return;
    }
    if (error) {
      self->Fail(error.message());
      return;
    }
    self->last_heard_ = SteadyNow();
    self->reader_.Append(bytes.data(), bytes.size());
    if (self->DeliverFrames()) {
      self->Read();
    }
  });
}

bool Link::DeliverFrames() {
  while (open_) {
    auto next = reader_.Next();
    if (const auto* error = std::get_if<LinkCodecError>(&next)) {
      Fail(error->detail);
      return false;
    }
    auto& frame = std::get<std::optional<LinkFrame>>(next);
    if (!frame) {
      return true;
    }
    const auto on_frame = events_.on_frame;
    on_frame(std::move(*frame));
  }
  return false;
}

void Link::Fail(std::string_view why) {
  if (!open_) {
    return;
  }
  const auto on_closed = events_.on_closed;
  const std::string reason(why);
  Close();
  if (on_closed) {
    on_closed(reason);
  }
}

void Link::Close() {
  if (!std::exchange(open_, false)) {
    return;
  }
  events_ = {};
  asio::error_code ignored;  // The connection is given up either way.
  socket_.close(ignored);
}

}  // namespace verbenastile
