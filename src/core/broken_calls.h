// The calls that lately ended at an instance without a complete response. When
// the instance turns out to have ended, one of them may be the cause.
#ifndef CORE_BROKEN_CALLS_H_
#define CORE_BROKEN_CALLS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/digest.h"

namespace verbenastile {

struct BrokenCall {
  Digest digest;  // Of the request's content.
  std::string request_id;
  std::string caller_service;
  std::string target;  // Its beginning.
  Time broken_at;
  // The node broke it off. The instance may have worked on it for a while more.
  bool cancelled = false;
  bool on_trial = false;  // See core/crash_suspects.h.
};

class BrokenCalls {
 public:
  // The oldest calls are dropped first.
  static constexpr std::size_t kMaxCalls = 128;
  // All connections of an instance that ends break together. The margin covers
  // the time that a busy node takes to read that.
  static constexpr Duration kBreakSpan = std::chrono::milliseconds(100);
  // How long a cancelled call may still run.
  static constexpr Duration kCancelledRunTime = std::chrono::milliseconds(500);

  void Add(BrokenCall call);
  // Forgets the calls: the instance did not end, or another one took its place.
  void Clear() { calls_.clear(); }
  // The instance was found to have ended. Returns the calls that it may have
  // been running, and forgets all.
  std::vector<BrokenCall> TakeOnInstanceEnd(Time now);

  bool empty() const { return calls_.empty(); }

 private:
  std::vector<BrokenCall> calls_;
};

}  // namespace verbenastile

#endif  // CORE_BROKEN_CALLS_H_
