// Passes an answer on while it arrives, with a bounded number of bytes under
// way: a slow reader pauses the sender.
#ifndef NODE_ANSWER_RELAY_H_
#define NODE_ANSWER_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "io/http_server.h"

namespace verbenastile {

// How the relay slows its sender down.
struct RelayFlow {
  std::function<void()> pause;
  std::function<void()> resume;
};

class AnswerRelay {
 public:
  // Bytes that were taken and have not left; the sender is paused above.
  static constexpr std::size_t kMaxUnsentBytes = 262'144;

  AnswerRelay(HttpReply reply, RelayFlow flow);
  AnswerRelay(const AnswerRelay&) = delete;
  AnswerRelay& operator=(const AnswerRelay&) = delete;

  // Answers whole; instead of the calls below.
  void Send(int status, std::span<const HttpHeader> headers, std::string body);

  void Start(int status,
             std::span<const HttpHeader> headers,
             std::optional<std::uint64_t> length);
  void Write(std::string_view part);
  void Finish();
  // The answer shows as cut.
  void Abort();

  bool started() const { return started_; }
  bool paused() const { return window_->paused; }
  void OnGone(std::function<void()> on_gone);

 private:
  // Shared with parts under way, which may outlive the relay.
  struct Window {
    std::size_t unsent = 0;
    bool paused = false;
    RelayFlow flow;
  };

  HttpReply reply_;
  std::shared_ptr<Window> window_ = std::make_shared<Window>();
  bool started_ = false;
};

}  // namespace verbenastile

#endif  // NODE_ANSWER_RELAY_H_
