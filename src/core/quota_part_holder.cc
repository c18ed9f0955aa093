#include "core/quota_part_holder.h"

#include <algorithm>
#include <iterator>

#include "core/quota_part_giver.h"
#include "core/quota_peers.h"

namespace verbenastile {

QuotaPartHolder::QuotaPartHolder(std::string_view self)
    : self_(QuotaDigest(self)) {}

void QuotaPartHolder::SetCandidates(std::span<const std::uint64_t> candidates) {
  own_candidates_ = {candidates.begin(), candidates.end()};
  for (auto& [name, owner] : owners_) {
    UpdateRivals(owner);
  }
}

void QuotaPartHolder::SetOwners(const Owners& owners) {
  for (auto& [name, owner] : owners_) {
    owner.wanted = owners.contains(name);
  }
  for (const auto& [name, groups] : owners) {
    Owner& owner = owners_[name];
    owner.wanted = true;
    if (owner.groups != groups) {
      owner.groups = groups;
      owner.ask_again_at = Time();
    }
  }
}

void QuotaPartHolder::UpdateRivals(Owner& owner) const {
  owner.rivals.clear();
  std::set_difference(owner.candidates.begin(), owner.candidates.end(),
                      own_candidates_.begin(), own_candidates_.end(),
                      std::back_inserter(owner.rivals));
}

QuotaPartHolder::Requests QuotaPartHolder::TakeRequests(Time now) {
  Requests requests;
  for (auto it = owners_.begin(); it != owners_.end();) {
    auto& [name, owner] = *it;
    if (!owner.wanted) {
      requests.emplace_back(name, QuotaPartRequest{++last_id_, 0, {}, {}});
      it = owners_.erase(it);
      continue;
    }
    const bool awaits_answer =
        owner.asked_id != 0 && now - owner.asked_at < kQuotaPartLifetime;
    if (!awaits_answer && now >= owner.ask_again_at) {
      owner.asked_id = ++last_id_;
      owner.asked_at = now;
      owner.ask_again_at = now + kQuotaPartInterval;
      owner.asked_groups = owner.groups;
      requests.emplace_back(name,
                            QuotaPartRequest{owner.asked_id, owner.version,
                                             kQuotaPartLifetime, owner.groups});
    }
    ++it;
  }
  return requests;
}

void QuotaPartHolder::OnGrant(std::string_view member,
                              const QuotaPartGrant& grant,
                              Time now) {
  const auto found = owners_.find(member);
  if (found == owners_.end() || grant.id == 0 ||
      grant.id != found->second.asked_id) {
    return;
  }
  Owner& owner = found->second;
  owner.asked_id = 0;
  if (grant.base != 0 && grant.base != owner.version) {
    owner.version = 0;
    owner.ask_again_at = now;
    return;
  }
  if (grant.base == 0) {
    owner.candidates.clear();
  }
  owner.candidates.insert(grant.added.begin(), grant.added.end());
  for (const std::uint64_t digest : grant.removed) {
    owner.candidates.erase(digest);
  }
  UpdateRivals(owner);
  // Without a candidate that was there, this node may come first for more
  // groups than before.
  if (owner.until <= now || grant.base == 0 || !grant.removed.empty()) {
    owner.since = now - grant.free_for;
  }
  owner.until = grant.granted ? owner.asked_at + kQuotaPartLifetime : Time();
  owner.owners_of.clear();
  const std::size_t answered =
      std::min(owner.asked_groups.size(), grant.owners.size());
  for (std::size_t i = 0; i < answered; ++i) {
    owner.owners_of[owner.asked_groups[i]] = grant.owners[i];
  }
  if (std::exchange(owner.version, grant.version) != grant.version) {
    owner.ask_again_at = now;  // Confirms the version.
  }
}

void QuotaPartHolder::OnChanged(std::string_view member) {
  const auto found = owners_.find(member);
  if (found != owners_.end()) {
    found->second.ask_again_at = Time();
  }
}

void QuotaPartHolder::OnLinkLost(std::string_view member) {
  const auto found = owners_.find(member);
  if (found != owners_.end()) {
    found->second.asked_id = 0;
    found->second.version = 0;
  }
}

std::optional<QuotaPart> QuotaPartHolder::Part(std::string_view owner_name,
                                               std::uint64_t group,
                                               Time now) const {
  const auto found = owners_.find(owner_name);
  if (found == owners_.end() || found->second.until <= now ||
      !found->second.candidates.contains(self_)) {
    return std::nullopt;
  }
  const Owner& owner = found->second;
  const auto owners = owner.owners_of.find(group);
  if (owners == owner.owners_of.end() || owners->second == 0) {
    return std::nullopt;
  }
  const std::uint64_t own_rank = CoordinatorRank(group, self_);
  const bool precedes_rivals = std::none_of(
      owner.rivals.begin(), owner.rivals.end(), [&](std::uint64_t rival) {
        return CoordinatorRank(group, rival) > own_rank;
      });
  return precedes_rivals
             ? std::optional(QuotaPart{
                   1.0 / static_cast<double>(owners->second), owner.since})
             : std::nullopt;
}

std::size_t QuotaPartHolder::held(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      owners_.begin(), owners_.end(),
      [&](const auto& entry) { return entry.second.until > now; }));
}

}  // namespace verbenastile
