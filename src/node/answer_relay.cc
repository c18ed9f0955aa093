#include "node/answer_relay.h"

namespace verbenastile {

AnswerRelay::AnswerRelay(HttpReply reply, RelayFlow flow)
    : reply_(std::move(reply)) {
  flow_state_->flow = std::move(flow);
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
  flow_state_->unsent_bytes += part.size();
  if (flow_state_->unsent_bytes > kMaxUnsentBytes && !flow_state_->paused) {
    flow_state_->paused = true;
    flow_state_->flow.pause();
  }
  reply_.Write(
      std::string(part), [weak_state = std::weak_ptr<FlowState>(flow_state_),
                          size = part.size()](bool) {
        const auto state = weak_state.lock();
        if (!state) {
          return;
        }
        state->unsent_bytes -= size;
        if (state->paused && state->unsent_bytes <= kMaxUnsentBytes / 2) {
          state->paused = false;
          state->flow.resume();
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
