// Which groups of callers hold more slots of an instance than their share, so
// that under too little room a group that sends more than usual takes room from
// itself first.
//
// A group's share is its part of the weights of all groups that held slots
// lately. What it held is an exponentially decaying average.
#ifndef CORE_GROUP_SHARES_H_
#define CORE_GROUP_SHARES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

struct GroupSharesLimits {
  // Time in which what a group held decays to 1/e.
  Duration memory = std::chrono::seconds(1);
  // A group may hold this many slots beyond its share: with many groups a share
  // is less than one call at a time.
  double allowance_slots = 1;
  // Number of groups that are tracked; further ones count as within their
  // share.
  std::size_t max_groups = 4'096;
};

class GroupShares {
 public:
  explicit GroupShares(GroupSharesLimits limits = {}) : limits_(limits) {}

  // A call of `group` holds or held a slot for `time`; negative if more was
  // reported of it before. `weight` is at least zero.
  void OnSlotTime(std::string_view group,
                  double weight,
                  Duration time,
                  Time now);
  // Whether `group` holds more than its share of `slots`. It matters only where
  // calls wait for a slot.
  bool IsOver(std::string_view group, std::uint32_t slots, Time now) const;
  std::size_t group_count() const { return groups_.size(); }

 private:
  struct Usage {
    double weight = 0;
    // Slot time in microseconds, as of `updated_`.
    double slot_time = 0;
  };

  double DecayUntil(Time now) const;
  void Update(Time now);

  GroupSharesLimits limits_;
  std::map<std::string, Usage, std::less<>> groups_;
  double total_weight_ = 0;
  Time updated_;
};

}  // namespace verbenastile

#endif  // CORE_GROUP_SHARES_H_
