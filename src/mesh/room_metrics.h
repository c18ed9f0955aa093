// Counts of calls that got a slot or were refused for lack of room, by group
// and by rule. The number of groups and rules with counts of their own is
// bounded; the others are counted together.
#ifndef MESH_ROOM_METRICS_H_
#define MESH_ROOM_METRICS_H_

#include <map>
#include <string>
#include <string_view>

#include "base/metrics.h"
#include "config/rules.h"
#include "mesh/link_frames.h"

namespace verbenastile {

class RoomMetrics {
 public:
  // `metrics` has to outlive this object.
  explicit RoomMetrics(Metrics* metrics) : metrics_(metrics) {}

  // The call was sent to the instance.
  void OnStarted(const GateCall& call);
  // The call, which could have waited, was refused for lack of room.
  void OnRefused(const GateCall& call);

 private:
  static constexpr std::size_t kMaxGroups = 128;
  static constexpr std::size_t kMaxRules = 64;

  using Counters = std::map<std::string, CounterHandle, std::less<>>;

  void Add(Counters& counters,
           std::size_t limit,
           std::string_view metric,
           std::string_view label,
           std::string_view value,
           Priority priority);

  Metrics* metrics_;
  Counters started_by_group_;
  Counters refused_by_group_;
  Counters refused_by_rule_;
};

}  // namespace verbenastile

#endif  // MESH_ROOM_METRICS_H_
