#include "core/quota_owners.h"

#include <algorithm>
#include <utility>

#include "core/quota_part_giver.h"
#include "core/quota_peers.h"

namespace verbenastile {
namespace {

// A member that this node could not reach for this long is taken for dead: a
// node that reaches the store lists the members more often.
constexpr Duration kDeadAfter = std::chrono::seconds(60);
// The others count a node that joins, so that its part is unused meanwhile. One
// that does not come through in this time withdraws for as long.
constexpr Duration kJoinTimeout = std::chrono::seconds(3);
// One that has no links waits for so long: a later list of the store may show
// nodes that started with it.
constexpr Duration kAloneFor = std::chrono::milliseconds(2'500);
// A member without a link is asked through the store after this time. Links of
// nodes that start together open sooner.
constexpr Duration kAskAfter = std::chrono::seconds(3);

}  // namespace

void QuotaOwners::SetMembers(QuotaOwnersView view,
                             const QuotaStanding& standing,
                             Time now) {
  standing_ = standing;
  view.owners.erase(self_);
  view.linked.erase(self_);
  view.unlinked_majority.erase(self_);
  for (const std::string& owner : view.owners) {
    left_until_.erase(owner);
  }
  for (const std::string& owner : view_.owners) {
    if (!view.owners.contains(owner)) {
      left_until_[owner] = now + kQuotaPartFreeAfter;
    }
  }
  view_ = std::move(view);
  UpdateUnlinked(now);
  UpdateDigests(now);
  Update(now);
}

QuotaOwners::Names QuotaOwners::Required() const {
  Names required = view_.owners;
  required.insert(view_.unlinked_majority.begin(),
                  view_.unlinked_majority.end());
  return required;
}

void QuotaOwners::UpdateUnlinked(Time now) {
  if (may_own_ || standing_.was_owner) {
    unlinked_since_.clear();
    return;
  }
  const Names required = Required();
  std::erase_if(unlinked_since_, [&](const auto& unlinked) {
    return !required.contains(unlinked.first) ||
           view_.linked.contains(unlinked.first);
  });
  for (const std::string& member : required) {
    if (!view_.linked.contains(member)) {
      unlinked_since_.try_emplace(member, now);
    }
  }
}

bool QuotaOwners::IsDead(std::string_view member, Time now) const {
  const auto unlinked = unlinked_since_.find(member);
  return unlinked != unlinked_since_.end() &&
         now - unlinked->second >= kDeadAfter;
}

bool QuotaOwners::HasAll(const Names& required,
                         const Names& names,
                         Time now) const {
  return std::all_of(required.begin(), required.end(),
                     [&](const std::string& member) {
                       return names.contains(member) || IsDead(member, now);
                     });
}

void QuotaOwners::Update(Time now) {
  if (std::erase_if(left_until_,
                    [&](const auto& left) { return left.second <= now; }) > 0) {
    UpdateDigests(now);
  }
  if (!standing_.is_stored) {
    stored_since_.reset();
  } else if (!stored_since_) {
    stored_since_ = now;
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
  UpdateAsked(now);
}

void QuotaOwners::UpdateJoining(Time now) {
  if (!joins_) {
    const bool is_due =
        joins_changed_at_ == Time() || now - joins_changed_at_ >= kJoinTimeout;
    const bool may_have_peers =
        view_.linked.empty() && now - stored_since_.value_or(now) < kAloneFor;
    Names reached = view_.linked;
    reached.insert(view_.confirmed_by.begin(), view_.confirmed_by.end());
    if (is_due && stored_since_ && !may_have_peers &&
        HasAll(Required(), reached, now)) {
      joins_ = true;
      joins_changed_at_ = now;
    }
    return;
  }
  if (!confirmed_since_ && standing_.is_listed &&
      HasAll(view_.owners, view_.confirmed_by, now)) {
    confirmed_since_ = now;
  }
  if (!confirmed_since_ && now - joins_changed_at_ >= kJoinTimeout) {
    joins_ = false;
    joins_changed_at_ = now;
  }
}

void QuotaOwners::UpdateAsked(Time now) {
  asked_.clear();
  if (may_own_ || standing_.is_leaving || !standing_.knows_owners) {
    return;
  }
  for (const auto& [member, since] : unlinked_since_) {
    if (now - since >= kAskAfter && !IsDead(member, now)) {
      asked_.insert(member);
    }
  }
}

void QuotaOwners::UpdateDigests(Time now) {
  std::set<std::uint64_t> digests;
  for (const std::string& owner : view_.owners) {
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
