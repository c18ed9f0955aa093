#include "node/answer_relay.h"

namespace verbenastile {

AnswerRelay::AnswerRelay(HttpReply reply, RelayFlow flow)
    : reply_(std::move(reply)) {
  window_->flow = std::move(flow);
}

void AnswerRelay::Send(int status,
                       std::span<const HttpHeader> headers,
                       std::string body) {
  started_ = true;
  reply_.Send(status, headers, std::move(body));
}

void AnswerRelay::Start(int status,
                        std::span<const HttpHeader> headers,
                        std::optional<std::uint64_t> length) {
  started_ = true;
  reply_.StartStream(status, headers, length);
}

void AnswerRelay::Write(std::string_view part) {
  if (part.empty()) {
    return;
  }
  window_->unsent += part.size();
  if (window_->unsent > kMaxUnsentBytes && !window_->paused) {
    window_->paused = true;
    window_->flow.pause();
  }
  reply_.Write(std::string(part), [window = std::weak_ptr<Window>(window_),
                                   size = part.size()](bool) {
    const auto held = window.lock();
    if (!held) {
      return;
    }
    held->unsent -= size;
    if (held->paused && held->unsent <= kMaxUnsentBytes / 2) {
      held->paused = false;
      held->flow.resume();
    }
  });
}

void AnswerRelay::Finish() {
  reply_.Finish();
}

void AnswerRelay::Abort() {
  reply_.Abort();
}

void AnswerRelay::OnGone(std::function<void()> on_gone) {
  reply_.OnDisconnect(std::move(on_gone));
}

}  // namespace verbenastile
