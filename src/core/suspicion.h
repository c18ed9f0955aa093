// How long a member may stay suspect. Each further accuser shortens the time,
// as Lifeguard has it, so that a single slow accuser has to wait.
#ifndef CORE_SUSPICION_H_
#define CORE_SUSPICION_H_

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace verbenastile {

// Independent accusers besides the first after which the time is shortest.
constexpr std::size_t kMaxConfirmations = 3;
// The longest time in multiples of the shortest.
constexpr int kSuspicionSpread = 4;

// The shortest time in a fleet of `members`.
Duration ShortestSuspicion(std::size_t members);

class Suspicion {
 public:
  Suspicion(Time start,
            std::size_t members,
            std::uint64_t incarnation,
            std::uint32_t accuser);

  // Counts `accuser`; false when it was counted already, or enough were.
  bool Confirm(std::uint32_t accuser);
  // Waits as long as with a single accuser, from `now` on.
  void Restart(Time now);

  // When the member counts as dead.
  Time deadline() const;
  std::uint64_t incarnation() const { return incarnation_; }
  std::uint32_t latest_accuser() const { return accusers_.back(); }

 private:
  Time start_;
  Duration shortest_;
  std::size_t expected_;  // Confirmations for the shortest time.
  std::uint64_t incarnation_;
  std::vector<std::uint32_t> accusers_;
};

}  // namespace verbenastile

#endif  // CORE_SUSPICION_H_
