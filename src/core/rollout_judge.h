// Judges the target version of a roll-out by comparing its outcomes with those
// of the versions before, in the same seconds.
#ifndef CORE_ROLLOUT_JUDGE_H_
#define CORE_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/rollout_evidence.h"
#include "core/rollout_messages.h"

namespace verbenastile {

enum class RolloutOpinion : std::uint8_t {
  kThin,        // Too few answers, in all or to one rule.
  kSound,       // Enough answers, none of them suspicious.
  kSuspicious,  // Too few bad answers yet, or of a single instance only.
  kBad,
};

// The name of `opinion` in lower case.
std::string_view ToString(RolloutOpinion opinion);

struct RolloutFinding {
  RolloutOpinion opinion = RolloutOpinion::kThin;
  std::uint64_t target_responses = 0;
  std::uint64_t old_responses = 0;
  // The comparison with the most bad answers beyond the expected ones, without
  // the instances that were left out.
  std::string rule;   // Empty: all rules together.
  bool slow = false;  // Slow answers; else failures.
  std::uint64_t bad = 0;
  std::uint64_t compared = 0;  // Answers of the target version.
  double expected = 0;         // Bad answers at the rate of the old versions.
};

class RolloutJudge {
 public:
  // `instances`: how many of the target version accept calls.
  RolloutFinding Evaluate(const OutcomeTable& totals,
                          std::size_t instances,
                          Time now);

 private:
  struct Snapshot {
    Time taken;
    OutcomeTable totals;
  };

  void TakeSnapshot(const OutcomeTable& totals, Time now);

  // Of the last seconds, the oldest first: a version that has turned bad is
  // seen in what was added since.
  std::deque<Snapshot> snapshots_;
  // When bad answers were first suspicious; empty: they are not.
  std::optional<Time> suspicious_since_;
  std::uint64_t suspicious_bad_ = 0;  // At that time.
};

// The verdict, if it is due: a bad version is returned from at once, the rest
// is decided as late as the move and the write of the status allow.
std::optional<RolloutState> DecideRollout(const RolloutFinding& finding,
                                          Duration duration,
                                          Duration remaining);

// The time before the deadline at which a sound version is moved to.
Duration RolloutMargin(Duration duration);

}  // namespace verbenastile

#endif  // CORE_ROLLOUT_JUDGE_H_
