#include "core/group_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace verbenastile {
namespace {

// Slot times decay together, at most this often.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
// A group that held less than this is forgotten, in microseconds.
constexpr double kMinSlotTime = 1'000;

}  // namespace

double GroupShares::DecayUntil(Time now) const {
  const std::chrono::duration<double> age = now - updated_;
  const std::chrono::duration<double> memory = limits_.memory;
  return std::exp(-age / memory);
}

void GroupShares::Update(Time now) {
  if (now - updated_ < kUpdateInterval) {
    return;
  }
  const double decay = DecayUntil(now);
  updated_ = now;
  total_weight_ = 0;
  for (auto it = groups_.begin(); it != groups_.end();) {
    Usage& usage = it->second;
    usage.slot_time *= decay;
    if (usage.slot_time < kMinSlotTime) {
      it = groups_.erase(it);
      continue;
    }
    total_weight_ += usage.weight;
    ++it;
  }
}

void GroupShares::OnSlotTime(std::string_view group,
                             double weight,
                             Duration time,
                             Time now) {
  Update(now);
  auto found = groups_.find(group);
  if (found == groups_.end()) {
    if (groups_.size() >= limits_.max_groups) {
      return;
    }
    found = groups_.emplace(std::string(group), Usage{}).first;
  }
  Usage& usage = found->second;
  const double before = usage.slot_time;
  usage.slot_time = std::max(before + static_cast<double>(time.count()), 0.0);
  total_weight_ += weight - usage.weight;
  usage.weight = weight;
}

bool GroupShares::IsOver(std::string_view group,
                         std::uint32_t slots,
                         Time now) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || total_weight_ <= 0) {
    return false;
  }
  const std::chrono::duration<double, std::micro> memory = limits_.memory;
  const double to_slots = DecayUntil(now) / memory.count();
  const Usage& usage = found->second;
  const double share = slots * usage.weight / total_weight_;
  return usage.slot_time * to_slots > share + limits_.allowance_slots;
}

}  // namespace verbenastile
