// Streams a response to the client as it arrives and applies backpressure: a
// slow reader pauses the sender, so only a bounded number of bytes is buffered.
#ifndef NODE_ANSWER_RELAY_H_
#define NODE_ANSWER_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "io/http_server.h"

namespace verbenastile {

// Callbacks that pause and resume the sender of the response.
struct RelayFlow {
  std::function<void()> pause;
  std::function<void()> resume;
};

class AnswerRelay {
 public:
  // The sender is paused while more than this many bytes have been accepted but
  // not yet written to the client.
  static constexpr std::size_t kMaxUnsentBytes = 262'144;

  AnswerRelay(HttpReply reply, RelayFlow flow);
  AnswerRelay(const AnswerRelay&) = delete;
  AnswerRelay& operator=(const AnswerRelay&) = delete;

  // Sends a complete response. Use either this or the streaming calls below.
  void Send(int status, std::span<const HttpHeader> headers, std::string body);

  void Start(int status,
             std::span<const HttpHeader> headers,
             std::optional<std::uint64_t> length);
  void Write(std::string_view part);
  void Finish();
  // Closes the stream so that the client sees a truncated response.
  void Abort();

  bool started() const { return started_; }
  bool paused() const { return flow_state_->paused; }
  void OnGone(std::function<void()> on_gone);

 private:
  // Shared with the completion handlers of pending writes, which may outlive
  // the relay.
  struct FlowState {
    std::size_t unsent_bytes = 0;
    bool paused = false;
    RelayFlow flow;
  };

  HttpReply reply_;
  std::shared_ptr<FlowState> flow_state_ = std::make_shared<FlowState>();
  bool started_ = false;
};

}  // namespace verbenastile

#endif  // NODE_ANSWER_RELAY_H_
