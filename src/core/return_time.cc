#include "core/return_time.h"

#include <algorithm>
#include <cmath>

namespace verbenastile {
namespace {

constexpr Duration kLeast = std::chrono::milliseconds(50);
constexpr Duration kMost = std::chrono::seconds(3);
// Where nothing tells when room is likely.
constexpr Duration kUnknown = std::chrono::milliseconds(300);
// Requests count for about this long: a node of the platform's largest sites
// sees one or two a second of the rarest rule.
constexpr double kMemorySeconds = 4;
// Where more than this part of the requests is refused, there is not room for
// all of them; fewer are refused by chance, at instances that others chose in
// the same moment.
constexpr double kCrowdedShare = 0.1;
// Fewer requests say nothing of a share.
constexpr double kLeastAsked = 3;
// Callers go by what they are asked up to this part of the time they have left.
constexpr int kLongestPart = 3;

}  // namespace

double ReturnTimes::Fade(const Crowd& crowd, Time now) {
  const std::chrono::duration<double> passed = now - crowd.counted;
  return std::exp(-passed.count() / kMemorySeconds);
}

void ReturnTimes::OnOutcome(std::string_view rule, bool refused, Time now) {
  auto found = rules_.find(rule);
  if (found == rules_.end()) {
    if (rules_.size() >= kMaxRules) {
      return;
    }
    found = rules_.emplace(rule, Crowd{0, 0, now}).first;
  }
  Crowd& crowd = found->second;
  const double faded = Fade(crowd, now);
  crowd.asked = crowd.asked * faded + 1;
  crowd.refused = crowd.refused * faded + (refused ? 1 : 0);
  crowd.counted = now;
}

bool ReturnTimes::IsCrowded(std::string_view rule, Time now) const {
  const auto found = rules_.find(rule);
  if (found == rules_.end()) {
    return false;
  }
  const Crowd& crowd = found->second;
  return crowd.asked * Fade(crowd, now) >= kLeastAsked &&
         crowd.refused > crowd.asked * kCrowdedShare;
}

Duration ReturnTimes::For(const RefusedCaller& caller,
                          Time now,
                          Random& random) const {
  const Duration longest =
      std::clamp(caller.left / kLongestPart, kLeast, kMost);
  if (IsCrowded(caller.rule, now)) {
    return longest / 2 + random.UpTo(longest / 2);
  }
  const Duration hint =
      std::clamp(caller.hint == Duration::zero() ? kUnknown : caller.hint,
                 kLeast, longest);
  return std::min(hint + random.UpTo(hint), longest);
}

}  // namespace verbenastile
