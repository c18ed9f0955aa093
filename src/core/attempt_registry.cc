#include "core/attempt_registry.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace verbenastile {
namespace {

constexpr std::size_t kFilterBits = std::size_t{1} << 20;
constexpr std::size_t kFilterProbes = 4;

std::size_t FilterBit(const AttemptId& id, std::size_t probe) {
  return (id.high + probe * (id.low | 1)) % kFilterBits;
}

}  // namespace

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
    case AttemptVerdict::kDeadlineTooLong:
      return "deadline_long";
  }
  return "unknown";
}

AttemptVerdict AttemptRegistry::Register(const AttemptId& id,
                                         Duration remaining,
                                         Time now) {
  Tick(now);
  if (attempts_.contains(id) || WasRefused(id)) {
    return AttemptVerdict::kDuplicate;
  }
  if (remaining > limits_.max_deadline) {
    return AttemptVerdict::kDeadlineTooLong;
  }
  const Duration expiry = running_time_ +
                          std::max(remaining, Duration::zero()) +
                          limits_.max_transit;
  if (attempts_.size() >= limits_.max_attempts) {
    AddRefused(id, expiry);
    return AttemptVerdict::kFull;
  }
  const auto second = std::chrono::ceil<std::chrono::seconds>(expiry).count();
  attempts_.insert(id);
  by_expiry_[second].push_back(id);
  return AttemptVerdict::kNew;
}

bool AttemptRegistry::WasRefused(const AttemptId& id) const {
  return std::any_of(
      refused_.begin(), refused_.end(), [&](const RefusedFilter& filter) {
        bool contained = !filter.bits.empty();
        for (std::size_t i = 0; contained && i < kFilterProbes; ++i) {
          contained = filter.bits[FilterBit(id, i)];
        }
        return contained;
      });
}

void AttemptRegistry::AddRefused(const AttemptId& id, Duration expiry) {
  RefusedFilter& filter = refused_[0];
  filter.bits.resize(kFilterBits);
  filter.expiry = std::max(filter.expiry, expiry);
  for (std::size_t i = 0; i < kFilterProbes; ++i) {
    filter.bits[FilterBit(id, i)] = true;
  }
}

void AttemptRegistry::Tick(Time now) {
  if (last_event_ && now > *last_event_) {
    running_time_ +=
        std::min<Duration>(now - *last_event_, limits_.max_time_step);
  }
  last_event_ = last_event_ ? std::max(*last_event_, now) : now;
  const Second second =
      std::chrono::floor<std::chrono::seconds>(running_time_).count();
  while (!by_expiry_.empty() && by_expiry_.begin()->first < second) {
    for (const AttemptId& id : by_expiry_.begin()->second) {
      attempts_.erase(id);
    }
    by_expiry_.erase(by_expiry_.begin());
  }
  if (!refused_[1].bits.empty() && running_time_ > refused_[1].expiry) {
    refused_[1] = {};
  }
  if (!refused_[0].bits.empty() && refused_[1].bits.empty()) {
    std::swap(refused_[0], refused_[1]);
  }
}

}  // namespace verbenastile
