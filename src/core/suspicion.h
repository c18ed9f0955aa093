// Suspicion timeout of a member. As in Lifeguard, each independent accuser
// shortens it, so that a single slow accuser has to wait longest.
#ifndef CORE_SUSPICION_H_
#define CORE_SUSPICION_H_

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace verbenastile {

// Number of accusers after the first at which the timeout is shortest.
constexpr std::size_t kMaxConfirmations = 3;
// Ratio of the longest to the shortest timeout.
constexpr int kSuspicionSpread = 4;

// Returns the shortest timeout in a fleet of `members`.
Duration ShortestSuspicion(std::size_t members);

class Suspicion {
 public:
  Suspicion(Time start,
            std::size_t members,
            std::uint64_t incarnation,
            std::uint32_t accuser);

  // Counts `accuser`. Returns false if it is 0 or already counted, or if no
  // further accusers are needed.
  bool Confirm(std::uint32_t accuser);
  // Restarts the timeout at `now` with only the first accuser counted.
  void Restart(Time now);

  // When the member is declared dead.
  Time deadline() const;
  std::uint64_t incarnation() const { return incarnation_; }
  std::uint32_t latest_accuser() const { return accusers_.back(); }

 private:
  Time start_;
  Duration shortest_;
  std::size_t expected_;  // Confirmations that give the shortest timeout.
  std::uint64_t incarnation_;
  std::vector<std::uint32_t> accusers_;
};

}  // namespace verbenastile

#endif  // CORE_SUSPICION_H_
