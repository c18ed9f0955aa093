#include "core/group_quotas.h"

#include <utility>

namespace verbenastile {
namespace {

// Groups whose used spare tokens are counted before there is a configuration.
constexpr std::size_t kMaxGroupsBefore = 4'096;
// A node learns no limits of further groups from this number of groups on.
constexpr std::size_t kMaxLearnedGroups = 4'096;
// When a node should ask again that asked one without a configuration.
constexpr Duration kUnconfiguredPeriod = std::chrono::milliseconds(100);
// A fleet that was restarted whole has its links after this long.
constexpr Duration kFleetStart = std::chrono::seconds(2);
// Members that start within this time of each other start at once.
constexpr std::uint64_t kSameStartMilliseconds = 1'000;

}  // namespace

QuotaMembers QuotaMembersOf(
    const MemberRegistry& registry,
    std::string_view self,
    const std::set<std::string, std::less<>>& incoming) {
  QuotaMembers members;
  const MemberRegistry::Entry* own = registry.Find(self);
  bool older = own == nullptr;
  for (const auto& [name, entry] : registry.entries()) {
    const bool reachable = entry.linked || name == self;
    const MemberState state = entry.record.member.state;
    // A member that left as planned admits nothing. Its record stays until the
    // store is listed; after a restart of all nodes, for longer.
    const bool left = state >= MemberState::kLeaving ||
                      entry.record.instance_leaving ||
                      entry.record.instance_gone;
    const bool linked = name == self || (reachable && incoming.contains(name));
    if (reachable || !left) {
      ++members.known;
      if (!linked) {
        members.unlinked_majority.insert(name);
      }
    }
    const bool counts = entry.owned_quota_parts || entry.record.joins_owners;
    if (name != self && counts && !entry.record.instance_leaving &&
        !entry.record.instance_gone) {
      members.owners.insert(name);
    }
    members.linked += linked ? 1 : 0;
    if (reachable) {
      members.reachable.insert(name);
    }
    older = older || (reachable &&
                      entry.record.member.incarnation + kSameStartMilliseconds <
                          own->record.member.incarnation);
    if (reachable && state <= MemberState::kSuspect) {
      members.candidates.push_back(name);
    }
  }
  if (2 * members.linked > members.known) {
    members.unlinked_majority.clear();
  }
  members.all_new =
      !older && members.linked > 1 && 2 * members.linked > members.known;
  return members;
}

GroupQuotas::GroupQuotas(std::string self,
                         const QuotaLimits& limits,
                         Time started)
    : peers_(std::move(self)),
      part_giver_(peers_.self(), started),
      part_holder_(peers_.self()),
      coordinator_(limits),
      borrower_(&peers_) {}

void GroupQuotas::SetGroups(std::span<const Group> groups,
                            std::uint64_t generation,
                            Time now) {
  configured_ = true;
  generation_ = generation;
  std::erase_if(limits_, [&](const auto& known) {
    return known.second.generation <= generation;
  });
  for (const Group& group : groups) {
    if (HasQuota(group)) {
      limits_.try_emplace(group.name, QuotaLimit{group.requests, generation});
    }
  }
  std::erase_if(spare_used_before_, [this](const auto& used) {
    return !limits_.contains(used.first);
  });
  OnLimitsChanged(now);
}

bool GroupQuotas::IsNewer(std::string_view group,
                          const QuotaLimit& limit) const {
  if (!configured_ || limit.quota.per_second <= 0) {
    return false;
  }
  const auto known = limits_.find(group);
  return known == limits_.end() ? limit.generation >= generation_
                                : limit.generation > known->second.generation;
}

std::vector<std::string_view> GroupQuotas::LearnLimits(
    std::span<const QuotaNeed> needs,
    Time now) {
  std::vector<std::string_view> learned;
  for (const QuotaNeed& need : needs) {
    const bool has_room =
        limits_.size() < kMaxLearnedGroups || limits_.contains(need.group);
    if (has_room && IsNewer(need.group, need.limit)) {
      limits_.insert_or_assign(need.group, need.limit);
      learned.push_back(need.group);
    }
  }
  if (!learned.empty()) {
    OnLimitsChanged(now);
  }
  return learned;
}

void GroupQuotas::OnLimitsChanged(Time now) {
  std::vector<std::string> names;
  for (const auto& [group, limit] : limits_) {
    names.push_back(group);
  }
  peers_.SetGroups(std::move(names), now);
  OnCoordinatorsChanged(now);
  UpdateOwners();
}

void GroupQuotas::Complete(QuotaNeed& need) const {
  const auto known = limits_.find(need.group);
  need.limit =
      known == limits_.end() ? QuotaLimit{{}, generation_} : known->second;
}

void GroupQuotas::UpdateOwners() {
  part_holder_.SetOwners(peers_.OwnersOfCoordinated());
}

void GroupQuotas::OnCoordinatorsChanged(Time now) {
  borrower_.OnCoordinatorsChanged(now);
  for (const auto& left : coordinator_.KeepOnly(peers_, now)) {
    if (!peers_.CoordinatorOf(left.group).empty()) {
      borrower_.HandOver(left.group, left.quota, left.tokens, left.debt, now);
    }
  }
}

void GroupQuotas::SetMembers(QuotaMembers members, Time now) {
  started_ = started_.value_or(now);
  // Those that this node has heard of may be a few of many.
  members.all_new = members.all_new && standing_.knows_owners;
  members_are_new_ = members.all_new;
  part_giver_.owners().SetMembers(
      {members.owners, members.reachable, std::move(members.confirmed_by),
       std::move(members.unlinked_majority)},
      standing_, now);
  if (may_own_parts()) {
    members.owners.insert(std::string(peers_.self()));
  }
  peers_.SetMembers(std::move(members.owners));
  const bool changed = peers_.SetCandidates(std::move(members.candidates), now);
  part_giver_.SetMembers(peers_.candidate_digests(), members.all_new, now);
  part_holder_.SetCandidates(peers_.candidate_digests());
  if (changed) {
    OnCoordinatorsChanged(now);
  }
  UpdateOwners();
  for (const std::string& name : members.reachable) {
    if (!reachable_.contains(name)) {
      part_holder_.OnChanged(name);
    }
  }
  reachable_ = std::move(members.reachable);
}

double GroupQuotas::ReachOf(std::string_view group, Time now) const {
  double reach = 0;
  if (peers_.Coordinates(group)) {
    for (const QuotaPart& part : PartsOf(group, now)) {
      reach += part.share;
    }
  }
  return reach;
}

// What this node may lend of the quota of a group that it coordinates.
std::vector<QuotaPart> GroupQuotas::PartsOf(std::string_view group,
                                            Time now) const {
  const std::uint64_t digest = QuotaDigest(group);
  std::vector<QuotaPart> parts;
  for (const std::string& owner : peers_.OwnersOf(group)) {
    const auto part = owner == peers_.self()
                          ? part_giver_.OwnPart(digest, now)
                          : part_holder_.Part(owner, digest, now);
    if (part) {
      parts.push_back(*part);
    }
  }
  return parts;
}

void GroupQuotas::OnMemberLost(std::string_view member, bool silent, Time now) {
  if (silent) {
    coordinator_.OnMemberSilent(member);
  } else {
    coordinator_.OnMemberGone(member);
    part_holder_.OnLinkLost(member);
  }
  borrower_.OnMemberLost(member, silent, now);
}

QuotaVerdict GroupQuotas::Request(const Group& group, Time now) {
  const QuotaVerdict verdict = borrower_.Request(group, now);
  if (verdict.decision != QuotaDecision::kWait ||
      !peers_.Coordinates(group.name)) {
    return verdict;
  }
  if (auto need = borrower_.TakeNeed(group.name, now)) {
    Complete(*need);
    borrower_.OnLoan(peers_.self(), Answer(peers_.self(), *need, now), now);
  }
  return borrower_.Settle(group.name, Time::max(), now);
}

GroupQuotas::Needs GroupQuotas::TakeNeeds(Time now) {
  Needs needs;
  for (QuotaNeed& need : borrower_.TakeNeeds(now)) {
    Complete(need);
    const std::string_view coordinator = peers_.CoordinatorOf(need.group);
    if (coordinator == peers_.self()) {
      borrower_.OnLoan(coordinator, Answer(coordinator, need, now), now);
    } else if (!coordinator.empty()) {
      needs[std::string(coordinator)].push_back(std::move(need));
    }
  }
  return needs;
}

std::vector<QuotaLoan> GroupQuotas::OnNeeds(std::string_view member,
                                            std::span<const QuotaNeed> needs,
                                            Time now) {
  std::vector<QuotaLoan> loans;
  for (const QuotaNeed& need : needs) {
    loans.push_back(Answer(member, need, now));
  }
  return loans;
}

QuotaLoan GroupQuotas::Answer(std::string_view member,
                              const QuotaNeed& need,
                              Time now) {
  const auto limit = limits_.find(need.group);
  if (limit == limits_.end()) {
    QuotaLoan loan;
    loan.group = need.group;
    const bool has_limit_there =
        need.limit.quota.per_second > 0 && need.limit.generation >= generation_;
    if (configured_ && !has_limit_there) {
      // The configuration in force here is the newer one, and has no limit for
      // the group.
      loan.tokens = need.waiting;
    } else {
      if (spare_used_before_.size() < kMaxGroupsBefore) {
        spare_used_before_[need.group] += need.spare_used;
      }
      loan.provisional = true;
      loan.next_token_in = kUnconfiguredPeriod;
    }
    return loan;
  }
  if (!peers_.Coordinates(need.group)) {
    return borrower_.Relay(need, limit->second.quota, now);
  }
  QuotaNeed counted = need;
  if (const auto before = spare_used_before_.extract(need.group)) {
    counted.spare_used += before.mapped();
  }
  const Time since = peers_.CoordinatedSince(need.group);
  const bool fleet_is_new =
      members_are_new_ && started_ && since - *started_ <= kFleetStart;
  return coordinator_.Lend(member, counted, limit->second.quota,
                           {since, PartsOf(need.group, now), fleet_is_new},
                           now);
}

void GroupQuotas::OnLoans(std::string_view member,
                          std::span<const QuotaLoan> loans,
                          Time now) {
  for (const QuotaLoan& loan : loans) {
    borrower_.OnLoan(member, loan, now);
  }
}

}  // namespace verbenastile
