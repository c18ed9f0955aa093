#include "core/broken_calls.h"

#include <algorithm>
#include <utility>

namespace verbenastile {

void BrokenCalls::Add(BrokenCall call) {
  calls_.push_back(std::move(call));
  if (calls_.size() > kMaxCalls) {
    calls_.erase(calls_.begin());
  }
}

std::vector<BrokenCall> BrokenCalls::TakeOnInstanceEnd(Time now) {
  std::vector<BrokenCall> running = std::exchange(calls_, {});
  Time ended_at;
  for (const BrokenCall& call : running) {
    if (!call.cancelled) {
      ended_at = std::max(ended_at, call.broken_at);
    }
  }
  if (ended_at == Time()) {
    ended_at = now;
  }
  std::erase_if(running, [&](const BrokenCall& call) {
    const Duration margin = call.cancelled ? kCancelledRunTime : kBreakSpan;
    return call.broken_at + margin < ended_at;
  });
  return running;
}

}  // namespace verbenastile
