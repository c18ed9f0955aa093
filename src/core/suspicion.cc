#include "core/suspicion.h"

#include <algorithm>
#include <bit>

namespace verbenastile {
namespace {

constexpr Duration kFloor = std::chrono::seconds(2);
constexpr Duration kPerDoubling = std::chrono::milliseconds(300);
// log(c + 1) / log(kMaxConfirmations + 1) in thousandths, by confirmations c.
constexpr int kShortening[kMaxConfirmations + 1] = {0, 500, 792, 1'000};

}  // namespace

Duration ShortestSuspicion(std::size_t members) {
  return std::max(kFloor,
                  kPerDoubling * static_cast<int>(std::bit_width(members)));
}

Suspicion::Suspicion(Time start,
                     std::size_t members,
                     std::uint64_t incarnation,
                     std::uint32_t accuser)
    : start_(start),
      shortest_(ShortestSuspicion(members)),
      expected_(members < kMaxConfirmations + 3 ? 0 : kMaxConfirmations),
      incarnation_(incarnation),
      accusers_{accuser} {}

bool Suspicion::Confirm(std::uint32_t accuser) {
  const bool enough = accusers_.size() > expected_;
  if (accuser == 0 || enough ||
      std::find(accusers_.begin(), accusers_.end(), accuser) !=
          accusers_.end()) {
    return false;
  }
  accusers_.push_back(accuser);
  return true;
}

void Suspicion::Restart(Time now) {
  start_ = now;
  accusers_.resize(1);
}

Time Suspicion::deadline() const {
  if (expected_ == 0) {
    return start_ + shortest_;
  }
  const Duration longest = shortest_ * kSuspicionSpread;
  const int shortening = kShortening[accusers_.size() - 1];
  return start_ + longest - (longest - shortest_) * shortening / 1'000;
}

}  // namespace verbenastile
