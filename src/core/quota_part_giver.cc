#include "core/quota_part_giver.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/quota_peers.h"

namespace verbenastile {
namespace {

// A request that names a longer lifetime is given this one.
constexpr Duration kMaxLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxChangesKept = 1'024;

Duration WithDrift(Duration lifetime) {
  return lifetime + lifetime / kQuotaClockDriftDivisor;
}

}  // namespace

QuotaPartGiver::QuotaPartGiver(std::string_view self, Time started)
    : self_(QuotaDigest(self)), owners_(self), started_(started) {}

void QuotaPartGiver::SetMembers(std::span<const std::uint64_t> candidates,
                                bool all_new,
                                Time now) {
  fleet_was_new_ = fleet_was_new_ || all_new;
  for (auto& [digest, candidate] : candidates_) {
    candidate.leaves = true;
  }
  for (const std::uint64_t digest : candidates) {
    const auto [found, added] = candidates_.try_emplace(digest);
    found->second.leaves = false;
    if (added) {
      AddChange(digest, true);
      found->second.since_version = version_;
    }
  }
  any_leaves_ = candidates_.size() > candidates.size();
  RemoveLeaving(now);
}

void QuotaPartGiver::AddChange(std::uint64_t digest, bool added) {
  changes_.push_back({++version_, digest, added});
  all_known_ = false;
  if (changes_.size() > kMaxChangesKept) {
    changes_.pop_front();
  }
}

bool QuotaPartGiver::HoldsPart(std::uint64_t member, Time now) const {
  const auto found = holders_.find(member);
  return found != holders_.end() && found->second.until > now;
}

// The others go on to see a candidate that left until it holds no part.
void QuotaPartGiver::RemoveLeaving(Time now) {
  const bool any_leaves = std::exchange(any_leaves_, false);
  for (auto it = candidates_.begin(); any_leaves && it != candidates_.end();) {
    if (it->second.leaves && !HoldsPart(it->first, now)) {
      AddChange(it->first, false);
      removed_until_ = std::max(removed_until_, it->second.last_until);
      it = candidates_.erase(it);
    } else {
      any_leaves_ = any_leaves_ || it->second.leaves;
      ++it;
    }
  }
  std::erase_if(holders_, [&](const auto& entry) {
    const auto& [digest, holder] = entry;
    return holder.until <= now &&
           !(holder.was_refused && candidates_.contains(digest));
  });
  UpdateKnownSince(now);
}

void QuotaPartGiver::UpdateKnownSince(Time now) {
  const bool all_know =
      std::all_of(holders_.begin(), holders_.end(), [&](const auto& entry) {
        return entry.second.until <= now || entry.second.version == version_;
      });
  if (all_know && std::exchange(all_known_, true)) {
    return;
  }
  all_known_ = all_know;
  for (auto& [digest, candidate] : candidates_) {
    if (!IsKnownToHolders(digest, candidate, now)) {
      candidate.known_since.reset();
    } else if (!candidate.known_since) {
      candidate.known_since = now;
    }
  }
}

// Since when no other node can have counted what this node gives the candidate.
Time QuotaPartGiver::FreeSince(const Candidate& candidate) const {
  return std::max({candidate.known_since.value_or(Time::max()), removed_until_,
                   MayGiveFrom(), owners_.changed_at()});
}

// Whether all that may count a part know that the candidate precedes them where
// it does, so that none counts what the candidate is given.
bool QuotaPartGiver::IsKnownToHolders(std::uint64_t member,
                                      const Candidate& candidate,
                                      Time now) const {
  return std::all_of(holders_.begin(), holders_.end(), [&](const auto& entry) {
    const auto& [digest, holder] = entry;
    return digest == member || holder.until <= now ||
           holder.version >= candidate.since_version;
  });
}

bool QuotaPartGiver::MayGive(std::uint64_t member, Time now) const {
  const auto found = candidates_.find(member);
  return found != candidates_.end() && !found->second.leaves &&
         owners_.may_own() && now >= MayGiveFrom() &&
         IsKnownToHolders(member, found->second, now);
}

QuotaPartGrant QuotaPartGiver::OnRequest(std::string_view member,
                                         const QuotaPartRequest& request,
                                         Time now) {
  const std::uint64_t digest = QuotaDigest(member);
  QuotaPartGrant grant;
  grant.id = request.id;
  const auto candidate = candidates_.find(digest);
  if (request.lifetime <= Duration::zero()) {
    if (candidate != candidates_.end()) {
      candidate->second.last_until = now;
    }
    holders_.erase(digest);
    RemoveLeaving(now);
    return grant;
  }
  RemoveLeaving(now);
  Holder& holder = holders_[digest];
  holder.name = std::string(member);
  DescribeCandidates(request.version, grant);
  // One that asks anew may still count by the candidates that it had.
  if (grant.base != 0) {
    holder.version = grant.base;
  } else if (holder.until <= now) {
    holder.version = version_;
  }
  holder.told_version = version_;
  UpdateKnownSince(now);
  grant.granted = MayGive(digest, now);
  holder.was_refused = !grant.granted && candidates_.contains(digest);
  if (grant.granted) {
    for (const std::uint64_t group : request.groups) {
      grant.owners.push_back(
          static_cast<std::uint8_t>(owners_.OwnersWithSelf(group)));
    }
    Candidate& given = candidates_.at(digest);
    Time free_since = FreeSince(given);
    if (request.version == 0) {
      // An earlier process of the member may have used the part.
      free_since = std::max(free_since, given.last_until);
    }
    grant.free_for = std::max(now - free_since, Duration::zero());
    const Duration lifetime = std::min(request.lifetime, kMaxLifetime);
    holder.until = std::max(holder.until, now + WithDrift(lifetime));
    given.last_until = holder.until;
  }
  return grant;
}

void QuotaPartGiver::DescribeCandidates(std::uint64_t base,
                                        QuotaPartGrant& grant) const {
  grant.version = version_;
  const bool has_changes =
      base == version_ || (base < version_ && !changes_.empty() &&
                           changes_.front().version <= base + 1);
  if (base == 0 || !has_changes) {
    for (const auto& [digest, candidate] : candidates_) {
      grant.added.push_back(digest);
    }
    return;
  }
  grant.base = base;
  std::set<std::uint64_t> changed;
  for (const Change& change : changes_) {
    if (change.version > base) {
      changed.insert(change.digest);
    }
  }
  for (const std::uint64_t digest : changed) {
    (candidates_.contains(digest) ? grant.added : grant.removed)
        .push_back(digest);
  }
}

std::vector<std::string> QuotaPartGiver::TakeChanged(Time now) {
  RemoveLeaving(now);
  std::vector<std::string> changed;
  for (auto& [digest, holder] : holders_) {
    const bool is_outdated =
        holder.until > now && holder.told_version < version_;
    const bool can_have = holder.was_refused && MayGive(digest, now);
    if (is_outdated || can_have) {
      holder.told_version = version_;
      holder.was_refused = false;
      changed.push_back(holder.name);
    }
  }
  return changed;
}

std::optional<QuotaPart> QuotaPartGiver::OwnPart(std::uint64_t group,
                                                 Time now) const {
  const std::size_t owners = owners_.OwnersWithSelf(group);
  if (owners == 0 || !MayGive(self_, now)) {
    return std::nullopt;
  }
  const std::uint64_t own_rank = CoordinatorRank(group, self_);
  for (const auto& [digest, candidate] : candidates_) {
    if (CoordinatorRank(group, digest) > own_rank) {
      return std::nullopt;
    }
  }
  return QuotaPart{1.0 / static_cast<double>(owners),
                   FreeSince(candidates_.at(self_))};
}

// A coordinator may still count the part that an earlier process gave.
Time QuotaPartGiver::MayGiveFrom() const {
  return fleet_was_new_ ? started_ : started_ + kQuotaPartFreeAfter;
}

}  // namespace verbenastile
