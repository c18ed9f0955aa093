// Intervals, timeouts and limits of the membership protocol.
#ifndef CORE_MEMBERSHIP_TIMING_H_
#define CORE_MEMBERSHIP_TIMING_H_

#include "base/time.h"

namespace verbenastile {

// Interval between probes of members in the local failure domain.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// Indirect probes are requested if no ack arrives within this time.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
// Number of members asked to probe indirectly.
constexpr std::size_t kHelpers = 3;
// Interval between probes of members in other failure domains.
constexpr Duration kFarProbeInterval = std::chrono::seconds(8);
// After a probe of another failure domain fails, this many further ones are
// sent at `kProbeInterval`.
constexpr unsigned kUrgentFarProbes = 8;
// Interval at which the fleet as a whole probes each dead member.
constexpr Duration kGoneProbeInterval = std::chrono::seconds(10);

constexpr Duration kGossipInterval = std::chrono::milliseconds(200);
constexpr std::size_t kGossipFanout = 3;

constexpr Duration kSyncInterval = std::chrono::seconds(5);
// Delay before the next sync after one that found a difference. Doubles with
// each such sync in a row.
constexpr Duration kQuickSync = std::chrono::seconds(1);
constexpr unsigned kMaxQuickSyncs = 4;

}  // namespace verbenastile

#endif  // CORE_MEMBERSHIP_TIMING_H_
