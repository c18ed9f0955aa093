// How one attempt of a call ended, as far as this node can prove.
#ifndef CORE_CALL_OUTCOME_H_
#define CORE_CALL_OUTCOME_H_

#include <cstdint>

namespace verbenastile {

enum class AttemptOutcome : std::uint8_t {
  kAnswered = 0,   // A whole answer came.
  kFailed = 1,     // A whole answer came; it says that the upstream failed.
  kRefused = 2,    // The receiving node refused before anything ran.
  kNotSent = 3,    // No connection; no part of the request left this node.
  kUnknown = 4,    // Sent, and no whole answer came.
  kCancelled = 5,  // Given up on this side; it may have run.
};

// Whether no part of the request reached an upstream.
inline bool ProvablyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kNotSent;
}

}  // namespace verbenastile

#endif  // CORE_CALL_OUTCOME_H_
