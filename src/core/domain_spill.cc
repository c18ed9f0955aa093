#include "core/domain_spill.h"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1000;
constexpr std::int64_t kKilobyte = 1'000;
constexpr Duration kInterval = std::chrono::milliseconds(200);
// A service without calls for this long starts again with share 0.
constexpr Duration kMaxPause = std::chrono::seconds(2);
// Calls for each slot, in permille: the share rises above `kShort`, falls below
// `kRelaxed`, and rises only where the other domain has `kMinGap` fewer.
constexpr std::int64_t kShort = 800;
constexpr std::int64_t kRelaxed = 600;
constexpr std::int64_t kAim = (kShort + kRelaxed) / 2;
constexpr std::int64_t kMinGap = 250;
// Domains that differ by less are short alike.
constexpr std::int64_t kAlikeGap = 100;
constexpr std::int64_t kMaxLostPermille = 200;
constexpr std::int64_t kMaxRise = 50;
constexpr std::int64_t kMinRise = 5;
constexpr std::int64_t kMinFall = 25;
constexpr std::int64_t kFallDivisor = 8;
// The part of the calls that is taken to stay at home, at least.
constexpr std::int64_t kMinRemainder = 100;
// The part of the difference that a step removes. Its effect is seen in reports
// two to three steps later.
constexpr std::int64_t kDamping = 8;
constexpr int kLatestUsefulDivisor = 4;
constexpr std::size_t kMaxTargets = 64;

std::int64_t Pressure(const DomainRoom& room) {
  return room.slots > 0 ? room.calls * kPermille / room.slots : 0;
}

bool IsReachable(const DomainRoom& room) {
  return room.slots > 0 && room.lost_permille <= kMaxLostPermille;
}

// Whether the own domain is short and `there` has more room.
bool MayRise(const DomainRoom& own, const DomainRoom& there) {
  return IsReachable(there) && Pressure(own) >= kShort &&
         Pressure(own) - Pressure(there) >= kMinGap;
}

// The step of the share of `there`. `elsewhere` is the sum of the domains that
// get calls together. Aims at the middle between the thresholds or, if that is
// not to be had, at equal pressures.
std::int64_t Rise(const DomainRoom& own,
                  const DomainRoom& there,
                  const DomainRoom& elsewhere) {
  const std::int64_t pressure = Pressure(own);
  const std::int64_t evening = (pressure - Pressure(elsewhere)) * kPermille /
                               pressure * elsewhere.slots /
                               (own.slots + elsewhere.slots);
  const std::int64_t surplus = (pressure - kAim) * kPermille / pressure;
  const std::int64_t step =
      std::max(std::min(evening, surplus) / kDamping, kMinRise);
  return std::clamp<std::int64_t>(step * there.slots / elsewhere.slots, 1,
                                  kMaxRise);
}

// The step back of a `share`, of which `total` leave in all.
std::int64_t Fall(const DomainRoom& own,
                  std::int64_t share,
                  std::int64_t total) {
  const std::int64_t pressure = std::max<std::int64_t>(Pressure(own), 1);
  const std::int64_t missing =
      std::max(kPermille - total, kMinRemainder) * (kAim - pressure) / pressure;
  const std::int64_t step = std::max(missing / kDamping, kMinFall);
  return std::clamp<std::int64_t>(
      step * share / std::max<std::int64_t>(total, 1), 1,
      std::max(kMinFall, share / kFallDivisor));
}

}  // namespace

std::string_view ToString(SpillReason reason) {
  constexpr std::array<std::string_view, kSpillReasonCount> kNames = {
      "own_room", "own_short", "no_instance", "short_alike",
      "lost",     "unknown",   "held"};
  return kNames[static_cast<std::size_t>(reason)];
}

Duration StayBonus(Duration objective) {
  return objective / kLatestUsefulDivisor;
}

Duration LeaveCost(const DomainPrice& price,
                   std::int64_t bytes,
                   Duration objective) {
  return price.hop + std::min(price.per_kilobyte * bytes / kKilobyte,
                              objective / kLatestUsefulDivisor);
}

DomainSpill::DomainSpill(std::string own_domain)
    : own_domain_(std::move(own_domain)) {}

bool DomainSpill::IsDue(std::string_view service, Time now) const {
  const auto found = services_.find(service);
  return found == services_.end() ||
         now - found->second.updated_at >= kInterval;
}

std::vector<DomainSpill::Change> DomainSpill::Update(
    std::string_view service,
    std::span<const DomainRoom> rooms,
    Time now) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, Service{now, {}}).first;
  }
  Service& state = found->second;
  if (now - state.updated_at > kMaxPause) {
    state.targets.clear();
  }
  state.updated_at = now;
  DomainRoom own;
  for (const DomainRoom& room : rooms) {
    if (room.domain == own_domain_) {
      own = room;
    }
  }
  std::erase_if(state.targets, [&](const auto& target) {
    return std::none_of(
        rooms.begin(), rooms.end(),
        [&](const DomainRoom& room) { return room.domain == target.first; });
  });
  DomainRoom elsewhere;
  std::int64_t total = 0;
  for (const DomainRoom& room : rooms) {
    if (room.domain != own_domain_ && MayRise(own, room)) {
      elsewhere.slots += room.slots;
      elsewhere.calls += room.calls;
    }
  }
  for (const auto& [domain, target] : state.targets) {
    total += target.share_permille;
  }
  if (own.instances > 0 && total > kPermille) {
    // The own domain had no instance until now.
    for (auto& [domain, target] : state.targets) {
      target.share_permille = target.share_permille * kPermille / total;
    }
    total = kPermille;
  }
  std::vector<Change> changes;
  for (const DomainRoom& room : rooms) {
    if (room.domain == own_domain_ || (state.targets.size() >= kMaxTargets &&
                                       !state.targets.contains(room.domain))) {
      continue;
    }
    const auto entry = state.targets.try_emplace(room.domain).first;
    const std::int64_t before = entry->second.share_permille;
    Step(entry->second, own, room, elsewhere, total);
    if (entry->second.share_permille != before) {
      changes.push_back({entry->first, before, entry->second.share_permille,
                         entry->second.reason, Pressure(own), Pressure(room)});
    }
  }
  return changes;
}

void DomainSpill::Step(Target& target,
                       const DomainRoom& own,
                       const DomainRoom& there,
                       const DomainRoom& elsewhere,
                       std::int64_t total) {
  const std::int64_t gap = Pressure(own) - Pressure(there);
  std::int64_t& share = target.share_permille;
  const bool reachable = IsReachable(there);
  const bool none_here = own.instances == 0;
  target.free_slots = reachable && (none_here || gap > kAlikeGap)
                          ? std::max<std::int64_t>(there.slots - there.calls, 1)
                          : 0;
  if (!reachable) {
    target.reason =
        there.slots == 0 ? SpillReason::kUnknown : SpillReason::kLost;
    share = 0;
  } else if (none_here) {
    target.reason = SpillReason::kNoInstance;
    share = kPermille;
  } else if (own.slots == 0) {
    target.reason = SpillReason::kUnknown;
  } else if (Pressure(own) < kRelaxed) {
    target.reason = SpillReason::kOwnRoom;
    share -= std::min(share, Fall(own, share, total));
  } else if (gap < kAlikeGap) {
    target.reason = SpillReason::kShortAlike;
    share -= std::min(share, std::max(kMinFall, share / kFallDivisor));
  } else if (MayRise(own, there)) {
    target.reason = SpillReason::kOwnShort;
    share = std::min(kPermille, share + Rise(own, there, elsewhere));
  } else {
    target.reason = SpillReason::kHeld;
  }
}

std::string_view DomainSpill::Pick(std::string_view service,
                                   bool refused,
                                   std::mt19937_64& random) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  const auto weight = [refused](const Target& target) {
    const bool by_room = refused || target.reason == SpillReason::kNoInstance;
    return by_room ? target.free_slots : target.share_permille;
  };
  std::int64_t sum = 0;
  bool all_leave = refused;
  for (const auto& [domain, target] : found->second.targets) {
    sum += weight(target);
    all_leave = all_leave || target.reason == SpillReason::kNoInstance;
  }
  if (sum == 0) {
    return {};
  }
  std::int64_t left = static_cast<std::int64_t>(
      random() %
      static_cast<std::uint64_t>(all_leave ? sum : std::max(sum, kPermille)));
  for (const auto& [domain, target] : found->second.targets) {
    left -= weight(target);
    if (left < 0) {
      return domain;
    }
  }
  return {};
}

std::int64_t DomainSpill::SharePermille(std::string_view service,
                                        std::string_view domain) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  const auto target = found->second.targets.find(domain);
  return target == found->second.targets.end() ? 0
                                               : target->second.share_permille;
}

}  // namespace verbenastile
