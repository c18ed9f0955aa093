// The part of failure domains in the choice of an instance: the room in each
// and the cost of leaving this node's.
#include <algorithm>
#include <utility>
#include <vector>

#include "core/balancer.h"

namespace verbenastile {
namespace {

// Older load reports and outcomes tell nothing about the room.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);

}  // namespace

std::vector<DomainRoom> Balancer::RoomByDomain(std::string_view service,
                                               Time now) const {
  std::vector<DomainRoom> rooms;
  const auto pool = pools_.find(service);
  if (pool == pools_.end()) {
    return rooms;
  }
  for (const auto& tier : pool->second.tiers) {
    for (const std::uint32_t index : tier) {
      const Upstream& upstream = upstreams_[index];
      const std::string& domain = upstream.member.failure_domain;
      auto room = std::find_if(
          rooms.begin(), rooms.end(),
          [&](const DomainRoom& known) { return known.domain == domain; });
      if (room == rooms.end()) {
        room = rooms.insert(room, DomainRoom{domain});
      }
      ++room->instances;
      if (now - upstream.load_reported_at > kMaxReportAge) {
        continue;
      }
      const std::int64_t slots =
          std::max<std::int64_t>(upstream.member.slots, 1);
      room->slots += slots;
      room->calls +=
          std::max<std::int64_t>(upstream.reported_calls, upstream.in_flight);
      if (now - upstream.last_outcome_at <= kMaxReportAge) {
        room->lost_permille += upstream.failures_permille * slots;
      }
    }
  }
  for (DomainRoom& room : rooms) {
    room.lost_permille /= std::max<std::int64_t>(room.slots, 1);
  }
  return rooms;
}

PaceRange Balancer::PacesOf(std::string_view service) const {
  std::vector<std::int64_t> paces;
  const auto pool = pools_.find(service);
  if (pool == pools_.end()) {
    return {};
  }
  for (const auto& tier : pool->second.tiers) {
    for (const std::uint32_t index : tier) {
      paces.push_back(upstreams_[index].told_slowness_permille);
    }
  }
  return PaceRangeOf(std::move(paces));
}

bool Balancer::IsNear(UpstreamHandle handle) const {
  const Upstream* upstream = Resolve(handle);
  return upstream != nullptr && upstream->tier == 0;
}

std::int64_t Balancer::TierCostUs(const Upstream& upstream,
                                  const ChooseQuery& query) {
  const auto cost =
      query.remote_cost->count() * static_cast<std::int64_t>(upstream.tier);
  const bool open = upstream.tier == 0 || !query.open_domain ||
                    upstream.member.failure_domain == *query.open_domain;
  return open ? cost : cost + query.closed_cost.count();
}

}  // namespace verbenastile
