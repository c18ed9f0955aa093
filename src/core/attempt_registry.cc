#include "core/attempt_registry.h"

#include <algorithm>

#include "core/digest.h"

namespace verbenastile {

std::string ToString(const AttemptId& id) {
  return ToString(Digest{id.high, id.low});
}

std::optional<AttemptId> ParseAttemptId(std::string_view text) {
  const auto digest = ParseDigest(text);
  if (!digest) {
    return std::nullopt;
  }
  return AttemptId{digest->high, digest->low};
}

std::string_view ToString(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kNew:
      return "new";
    case AttemptVerdict::kDuplicate:
      return "duplicate";
    case AttemptVerdict::kFull:
      return "full";
    case AttemptVerdict::kDeadlineLong:
      return "deadline_long";
  }
  return "unknown";
}

AttemptVerdict AttemptRegistry::Offer(const AttemptId& id,
                                      Duration remaining,
                                      Time now) {
  Tick(now);
  if (known_.contains(id)) {
    return AttemptVerdict::kDuplicate;
  }
  if (remaining > limits_.max_deadline) {
    return AttemptVerdict::kDeadlineLong;
  }
  if (known_.size() >= limits_.max_attempts) {
    return AttemptVerdict::kFull;
  }
  const Duration until =
      awake_ + std::max(remaining, Duration::zero()) + limits_.max_transit;
  const auto second = std::chrono::ceil<std::chrono::seconds>(until).count();
  known_.insert(id);
  by_expiry_[second].push_back(id);
  return AttemptVerdict::kNew;
}

void AttemptRegistry::Tick(Time now) {
  if (last_event_ && now > *last_event_) {
    awake_ += std::min<Duration>(now - *last_event_, limits_.max_gap);
  }
  last_event_ = last_event_ ? std::max(*last_event_, now) : now;
  const Second second =
      std::chrono::floor<std::chrono::seconds>(awake_).count();
  while (!by_expiry_.empty() && by_expiry_.begin()->first < second) {
    for (const AttemptId& id : by_expiry_.begin()->second) {
      known_.erase(id);
    }
    by_expiry_.erase(by_expiry_.begin());
  }
}

}  // namespace verbenastile
