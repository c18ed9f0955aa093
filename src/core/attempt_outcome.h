// The outcome of one attempt of a call, as far as this node can prove it.
#ifndef CORE_ATTEMPT_OUTCOME_H_
#define CORE_ATTEMPT_OUTCOME_H_

#include <cstdint>

namespace verbenastile {

enum class AttemptOutcome : std::uint8_t {
  kAnswered = 0,  // A complete answer arrived.
  kFailed = 1,    // A complete answer arrived that reports an upstream failure.
  kRefused = 2,   // The receiving node refused it before the upstream ran.
  kNotSent = 3,   // No connection; no part of the request was sent.
  kUnknown = 4,   // Sent, but no complete answer arrived.
  kCancelled = 5,  // Cancelled by this side; it may have run.
};

// Whether no part of the request reached an upstream.
inline bool ProvablyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kNotSent;
}

}  // namespace verbenastile

#endif  // CORE_ATTEMPT_OUTCOME_H_
