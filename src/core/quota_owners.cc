#include "core/quota_owners.h"

#include <algorithm>
#include <utility>

#include "core/quota_part_giver.h"
#include "core/quota_peers.h"

namespace verbenastile {
namespace {

// An owner that this node could not reach for this long is taken for dead: a
// node that reaches the store lists the members more often.
constexpr Duration kDeadAfter = std::chrono::seconds(60);
// The others count a node that joins, so that its part is unused meanwhile. One
// that does not come through in this time withdraws for as long.
constexpr Duration kJoinTimeout = std::chrono::seconds(3);

}  // namespace

void QuotaOwners::SetMembers(const Names& owners,
                             const Names& linked,
                             const Names& confirmed_by,
                             const QuotaStanding& standing,
                             Time now) {
  standing_ = standing;
  linked_ = linked;
  confirmed_by_ = confirmed_by;
  for (const std::string& owner : owners) {
    seen_since_.try_emplace(owner, now);
    left_until_.erase(owner);
  }
  for (const std::string& owner : owners_) {
    if (!owners.contains(owner)) {
      left_until_[owner] = now + kQuotaPartFreeAfter;
      seen_since_.erase(owner);
    }
  }
  owners_ = owners;
  owners_.erase(self_);
  UpdateDigests(now);
  Update(now);
}

bool QuotaOwners::HasAll(const Names& names, Time now) const {
  return std::all_of(
      owners_.begin(), owners_.end(), [&](const std::string& owner) {
        const auto seen = seen_since_.find(owner);
        return names.contains(owner) ||
               (seen != seen_since_.end() && now - seen->second >= kDeadAfter);
      });
}

void QuotaOwners::Update(Time now) {
  if (std::erase_if(left_until_,
                    [&](const auto& left) { return left.second <= now; }) > 0) {
    UpdateDigests(now);
  }
  const bool may_stand = !standing_.is_leaving && standing_.knows_owners;
  if (!may_stand) {
    joins_ = false;
    confirmed_since_.reset();
  } else if (!may_own_ && !standing_.was_owner) {
    UpdateJoining(now);
  }
  const bool has_joined = joins_ && confirmed_since_ &&
                          now - *confirmed_since_ >= kQuotaPartFreeAfter;
  const bool may_own =
      may_stand && (may_own_ || standing_.was_owner || has_joined);
  if (std::exchange(may_own_, may_own) != may_own) {
    changed_at_ = now;
  }
}

void QuotaOwners::UpdateJoining(Time now) {
  if (!joins_) {
    const bool is_due =
        joins_changed_at_ == Time() || now - joins_changed_at_ >= kJoinTimeout;
    if (is_due && HasAll(linked_, now)) {
      joins_ = true;
      joins_changed_at_ = now;
    }
    return;
  }
  if (!confirmed_since_ && standing_.is_listed && HasAll(confirmed_by_, now)) {
    confirmed_since_ = now;
  }
  if (!confirmed_since_ && now - joins_changed_at_ >= kJoinTimeout) {
    joins_ = false;
    joins_changed_at_ = now;
  }
}

void QuotaOwners::UpdateDigests(Time now) {
  std::set<std::uint64_t> digests;
  for (const std::string& owner : owners_) {
    digests.insert(QuotaDigest(owner));
  }
  for (const auto& [owner, until] : left_until_) {
    digests.insert(QuotaDigest(owner));
  }
  digests.erase(QuotaDigest(self_));
  if (digests != digests_) {
    digests_ = std::move(digests);
    changed_at_ = now;
  }
}

std::size_t QuotaOwners::OwnersWithSelf(std::uint64_t group) const {
  if (!may_own_) {
    return 0;
  }
  const std::uint64_t own_rank = CoordinatorRank(group, QuotaDigest(self_));
  const auto before = static_cast<std::size_t>(
      std::count_if(digests_.begin(), digests_.end(), [&](std::uint64_t other) {
        return CoordinatorRank(group, other) > own_rank;
      }));
  return before < kMaxQuotaOwners
             ? std::min(digests_.size() + 1, kMaxQuotaOwners)
             : 0;
}

}  // namespace verbenastile
