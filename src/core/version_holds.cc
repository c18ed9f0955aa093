#include "core/version_holds.h"

#include <algorithm>
#include <utility>

namespace verbenastile {
namespace {

// Orders reach all nodes within this time: a change of the configuration may
// take 2.5 s.
constexpr Duration kOrderDelay = std::chrono::seconds(3);
// A new version is an ordinary release from then on, also when the store cannot
// say that there is no order.
constexpr Duration kMaxHold = std::chrono::seconds(15);
// How long a node that starts waits to be told which orders exist. Its first
// link tells, as does the store.
constexpr Duration kStartPeriod = std::chrono::seconds(2);
// An order for a version that has run for so long is not for a new one.
constexpr Duration kRanBefore = std::chrono::seconds(10);
// Old instances stop when a roll-out completes. Should their versions run later
// than this, they are an ordinary release.
constexpr Duration kOldHold = std::chrono::minutes(1);
// Versions of a service that are remembered after its instances have left.
constexpr std::size_t kMaxVersions = 16;

}  // namespace

void VersionHolds::Bar(std::string_view service,
                       std::string_view version,
                       Time until) {
  Version& barred = services_[std::string(service)][std::string(version)];
  barred.barred_until = std::max(barred.barred_until, until);
  barred.proven = false;
}

bool VersionHolds::Update(const MemberDirectory& directory,
                          const Knowledge& known,
                          Time now) {
  std::map<std::string_view, Members> services;
  for (const auto& [name, member] : directory.members()) {
    if (member.state <= MemberState::kSuspect && !member.service.empty()) {
      services[member.service][member.software].push_back(name);
    }
  }
  const auto before = std::exchange(held_, {});
  unconfirmed_since_.reset();
  for (const auto& [service, members] : services) {
    Versions& versions = services_[std::string(service)];
    if (versions.size() > kMaxVersions) {
      std::erase_if(versions, [&, &running = members](const auto& entry) {
        return !running.contains(entry.first) &&
               entry.second.barred_until <= now;
      });
    }
    for (const auto& [software, names] : members) {
      versions.try_emplace(std::string(software), Version{now, false, Time()});
    }
    const std::optional<Order> order = known.order(service);
    if (order && !order->target.empty()) {
      NoteOrder(*order, versions);
      HoldByOrder(*order, versions, members, now);
    } else {
      HoldUnproven(versions, members, known, now);
    }
    for (const auto& [software, version] : versions) {
      const auto found = members.find(software);
      const bool ordered = order && order->target == software;
      if (!ordered && now < version.barred_until && found != members.end()) {
        Hold(found->second);
      }
    }
  }
  return held_ != before;
}

// Which versions the order leaves as those that ordinary calls go to.
void VersionHolds::NoteOrder(const Order& order, Versions& versions) {
  for (auto& [software, version] : versions) {
    if (order.state == RolloutState::kCompleted) {
      version.proven = software == order.target;
    } else if (software != order.target) {
      version.proven = true;
    } else if (order.state == RolloutState::kRolledBack) {
      version.proven = false;
    }
  }
}

void VersionHolds::Hold(const std::vector<std::string_view>& names) {
  held_.insert(names.begin(), names.end());
}

void VersionHolds::HoldByOrder(const Order& order,
                               const Versions& versions,
                               const Members& members,
                               Time now) {
  const bool target_serves = members.contains(order.target);
  const bool only_target = target_serves && members.size() == 1;
  for (const auto& [software, names] : members) {
    const bool is_target = software == order.target;
    const bool unknown = software.empty() && now < order.deadline;
    switch (order.state) {
      case RolloutState::kRunning: {
        // The service ran the target before the order, and runs nothing else.
        const auto version = versions.find(software);
        const bool ran_before =
            only_target && version != versions.end() &&
            version->second.proven &&
            order.learned - version->second.first_seen >= kRanBefore;
        if ((is_target && !ran_before) || unknown) {
          Hold(names);
        }
        break;
      }
      case RolloutState::kRolledBack:
        if (is_target || unknown) {
          Hold(names);
        }
        break;
      case RolloutState::kCompleted: {
        const auto version = versions.find(software);
        const bool old = version != versions.end() &&
                         version->second.first_seen <= order.deadline &&
                         now < order.deadline + kOldHold;
        if (!is_target && target_serves && old) {
          Hold(names);
        }
        break;
      }
    }
  }
}

// Without an order a version that is new to the service is held for the time in
// which an order would be heard.
void VersionHolds::HoldUnproven(Versions& versions,
                                const Members& members,
                                const Knowledge& known,
                                Time now) {
  const Duration running = now - started_;
  if (!known.informed && running < kStartPeriod) {
    for (const auto& [software, names] : members) {
      Hold(names);
    }
    return;
  }
  const bool any_proven =
      std::any_of(versions.begin(), versions.end(),
                  [](const auto& entry) { return entry.second.proven; });
  if (!any_proven) {
    const bool all = members.size() == 1 || running >= kOrderDelay;
    const auto most = std::max_element(
        members.begin(), members.end(), [](const auto& a, const auto& b) {
          return a.second.size() < b.second.size();
        });
    for (const auto& [software, names] : members) {
      versions.find(software)->second.proven = all || software == most->first;
    }
  }
  const bool proven_serves =
      std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return versions.find(entry.first)->second.proven;
      });
  for (const auto& [software, names] : members) {
    Version& version = versions.find(software)->second;
    const Duration known_for = now - version.first_seen;
    const bool confirmed = known.informed && known.confirmed &&
                           *known.confirmed > version.first_seen;
    if ((known_for >= kOrderDelay && (confirmed || !proven_serves)) ||
        known_for >= kMaxHold) {
      version.proven = true;
    }
    if (!version.proven) {
      Hold(names);
      if (!confirmed) {
        unconfirmed_since_ =
            std::max(unconfirmed_since_, std::optional(version.first_seen));
      }
    }
  }
}

}  // namespace verbenastile
