#include "mesh/link.h"

#include <asio/post.hpp>
#include <utility>
#include <variant>

#include "io/shared_read.h"

namespace verbenastile {
namespace {

// A link with more pending output than this is closed because its peer does not
// read. Larger than the largest call with its body.
constexpr std::size_t kMaxUnsentBytes = 100'000'000;

// Bytes that are read before their frames are delivered.
constexpr std::size_t kMaxBytesAtOnce = 1'048'576;

// Clears `buffer` for reuse and frees the memory of all but small frames: a
// node has two links for each other node, most of them at rest.
void ClearBuffer(std::string& buffer) {
  constexpr std::size_t kMaxKeptBytes = 1'024;
  buffer.clear();
  if (buffer.capacity() > kMaxKeptBytes) {
    buffer.shrink_to_fit();
  }
}

}  // namespace

void Link::Open(Events events) {
  events_ = std::move(events);
  open_ = true;
  last_received_ = SteadyNow();
  asio::error_code ignored;  // Both options only tune the connection.
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  Read();
}

std::size_t Link::Send(const LinkFrame& frame) {
  if (!open_) {
    return 0;
  }
  const std::size_t before = pending_.size();
  writer_.Append(frame, pending_);
  const std::size_t size = pending_.size() - before;
  encoded_bytes_ += size;
  if (std::holds_alternative<GateCall>(frame.body)) {
    unsent_calls_.emplace_back(frame.call, encoded_bytes_);
  }
  const bool is_over_limit =
      pending_.size() + writing_.size() - written_ > kMaxUnsentBytes;
  if ((awaits_writable_ && !is_over_limit) ||
      std::exchange(flush_posted_, true)) {
    return size;
  }
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->Flush();
  });
  return size;
}

// Writes synchronously, so that the number of bytes that the kernel has is
// known at any time. A composed operation reports it only when it ends.
void Link::Flush() {
  if (!open_) {
    return;
  }
  if (awaits_writable_) {
    if (pending_.size() + writing_.size() - written_ > kMaxUnsentBytes) {
      Fail("the peer does not read");
    }
    return;
  }
  while (true) {
    if (written_ == writing_.size()) {
      written_ = 0;
      ClearBuffer(writing_);
      writing_.swap(pending_);
    }
    if (writing_.empty()) {
      break;
    }
    asio::error_code error;
    const std::size_t count =
        socket_.write_some(asio::buffer(writing_) + written_, error);
    written_ += count;
    written_bytes_ += count;
    if (error == asio::error::would_block) {
      FlushWhenWritable();
      break;
    }
    if (error) {
      Fail(error.message());
      return;
    }
  }
  std::erase_if(unsent_calls_, [this](const auto& call) {
    return call.second <= written_bytes_;
  });
}

void Link::FlushWhenWritable() {
  awaits_writable_ = true;
  socket_.async_wait(
      Tcp::socket::wait_write,
      [self = shared_from_this()](const asio::error_code& error) {
        self->awaits_writable_ = false;
        if (error) {
          self->Fail(error.message());
        } else {
          self->Flush();
        }
      });
}

std::vector<CallId> Link::UnsentCalls() const {
  std::vector<CallId> unsent;
  for (const auto& [id, end] : unsent_calls_) {
    if (end > written_bytes_) {
      unsent.push_back(id);
    }
  }
  return unsent;
}

void Link::Read() {
  ReadWithSharedBuffer(
      socket_, [self = shared_from_this()](const asio::error_code& error,
                                           std::string_view bytes) {
        self->OnRead(error, bytes);
      });
}

// Reads on while the buffer was filled, so that the frames that end a call are
// delivered together with the call.
void Link::OnRead(asio::error_code error, std::string_view bytes) {
  if (!open_) {
    return;
  }
  std::size_t total = 0;
  while (!error && !bytes.empty()) {
    last_received_ = SteadyNow();
    reader_.Append(bytes.data(), bytes.size());
    total += bytes.size();
    if (bytes.size() < kSharedReadBufferSize || total >= kMaxBytesAtOnce) {
      break;
    }
    auto& buffer = SharedReadBuffer();
    bytes = {buffer.data(), socket_.read_some(asio::buffer(buffer), error)};
  }
  if (!DeliverFrames()) {
    return;
  }
  if (error && error != asio::error::would_block) {
    Fail(error.message());
    return;
  }
  Read();
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

void Link::Fail(std::string_view reason) {
  if (!open_) {
    return;
  }
  const auto on_closed = events_.on_closed;
  const std::string reason_copy(reason);
  Close();
  if (on_closed) {
    on_closed(reason_copy);
  }
}

void Link::Close() {
  if (!std::exchange(open_, false)) {
    return;
  }
  events_ = {};
  asio::error_code ignored;  // The connection is discarded anyway.
  socket_.close(ignored);
}

}  // namespace verbenastile
