// Two attempts for one request that run at the same time: the first one and its
// copy. The first complete response that is no server error wins; the other
// attempt is then cancelled, so that its instance stops. An attempt that ends
// without such a response leaves the request to the other.
#ifndef CORE_ATTEMPT_RACE_H_
#define CORE_ATTEMPT_RACE_H_

#include <cstdint>

namespace verbenastile {

enum class RaceEntrant : std::uint8_t { kFirst = 0, kCopy = 1 };

enum class RaceEvent : std::uint8_t {
  kAnswered = 0,     // A complete response that is no server error.
  kServerError = 1,  // A complete response that is one.
  kRefused = 2,      // The attempt provably did not run.
  kBroken = 3,       // It may have run, and no complete response will arrive.
  kStreamed = 4,     // A part of its response is on its way to the caller.
  kTooLarge = 5,     // Its response is too large to be held back.
  kCallerGone = 6,   // Nobody waits for the response, at either attempt.
  kDeadline = 7,     // Likewise.
};

// What follows for both attempts.
enum class RaceAction : std::uint8_t {
  kNone = 0,          // The race is over already, or goes on.
  kDeliverFirst = 1,  // Deliver the first one's response, cancel the copy.
  kDeliverCopy = 2,   // Likewise the other way round.
  kFirstGoesOn = 3,   // The copy has ended: the first one decides alone.
  kCopyGoesOn = 4,    // The first one has ended: the copy decides alone.
  kDropCopy = 5,      // Cancel the copy: the first one decides alone.
  kCancelBoth = 6,
};

class AttemptRace {
 public:
  // The copy was sent while the first attempt was running.
  void Begin() { running_ = true; }
  // What to do when an attempt has an event. The race ends with any action but
  // `kNone`; events of an ended race lead to nothing.
  RaceAction OnEvent(RaceEntrant entrant, RaceEvent event);

  bool running() const { return running_; }

 private:
  bool running_ = false;
};

}  // namespace verbenastile

#endif  // CORE_ATTEMPT_RACE_H_
