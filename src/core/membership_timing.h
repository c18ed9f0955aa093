// Times and counts of the membership protocol.
#ifndef CORE_MEMBERSHIP_TIMING_H_
#define CORE_MEMBERSHIP_TIMING_H_

#include "base/time.h"

namespace verbenastile {

// One probe inside the own failure domain in each interval.
constexpr Duration kProbeInterval = std::chrono::seconds(1);
// Without an answer in this time, helpers are asked.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr std::size_t kHelpers = 3;
// One probe of another failure domain.
constexpr Duration kFarProbeInterval = std::chrono::seconds(8);
// Probes of other domains in `kProbeInterval` after one has failed.
constexpr unsigned kFarAlarmProbes = 8;
// How often each member that is gone is probed, by the fleet as a whole.
constexpr Duration kGoneProbeInterval = std::chrono::seconds(10);

constexpr Duration kGossipInterval = std::chrono::milliseconds(200);
constexpr std::size_t kGossipFanout = 3;

constexpr Duration kSyncInterval = std::chrono::seconds(5);
// The next sync after one that found a difference; doubled each time.
constexpr Duration kQuickSync = std::chrono::seconds(1);
constexpr unsigned kMaxQuickSyncs = 4;

}  // namespace verbenastile

#endif  // CORE_MEMBERSHIP_TIMING_H_
