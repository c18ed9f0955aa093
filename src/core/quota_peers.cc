#include "core/quota_peers.h"

#include <algorithm>
#include <utility>

namespace verbenastile {
namespace {

// The finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  constexpr std::uint64_t kFirst = 0xbf58476d1ce4e5b9;
  constexpr std::uint64_t kSecond = 0x94d049bb133111eb;
  value = (value ^ (value >> 30U)) * kFirst;
  value = (value ^ (value >> 27U)) * kSecond;
  return value ^ (value >> 31U);
}

}  // namespace

// FNV-1a.
std::uint64_t QuotaDigest(std::string_view name) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : name) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash;
}

std::uint64_t CoordinatorRank(std::uint64_t group, std::uint64_t member) {
  return Mix(group ^ member);
}

void QuotaPeers::SetGroups(std::vector<std::string> groups, Time now) {
  std::map<std::string, Assignment, std::less<>> assigned;
  for (std::string& group : groups) {
    const auto known = groups_.find(group);
    Assignment assignment =
        known == groups_.end()
            ? Assignment{Choose(group), now, ChooseOwners(group)}
            : std::move(known->second);
    assigned.emplace(std::move(group), std::move(assignment));
  }
  groups_ = std::move(assigned);
}

bool QuotaPeers::SetCandidates(std::vector<std::string> candidates, Time now) {
  if (candidates == candidates_) {
    return false;
  }
  candidates_ = std::move(candidates);
  candidate_digests_.clear();
  for (const std::string& candidate : candidates_) {
    candidate_digests_.push_back(QuotaDigest(candidate));
  }
  for (auto& [group, assignment] : groups_) {
    std::string coordinator = Choose(group);
    if (coordinator != assignment.coordinator) {
      assignment.coordinator = std::move(coordinator);
      assignment.since = now;
    }
  }
  return true;
}

std::string QuotaPeers::Choose(std::string_view group) const {
  const std::uint64_t group_digest = QuotaDigest(group);
  std::uint64_t highest = 0;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const std::uint64_t rank =
        CoordinatorRank(group_digest, candidate_digests_[i]);
    if (i == 0 || rank > highest) {
      highest = rank;
      chosen = i;
    }
  }
  return candidates_.empty() ? std::string() : candidates_[chosen];
}

std::string_view QuotaPeers::CoordinatorOf(std::string_view group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? std::string_view()
                                : std::string_view(found->second.coordinator);
}

void QuotaPeers::SetMembers(Names members) {
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  for (auto& [group, assignment] : groups_) {
    assignment.owners = ChooseOwners(group);
  }
}

std::vector<std::string> QuotaPeers::ChooseOwners(
    std::string_view group) const {
  const std::uint64_t digest = QuotaDigest(group);
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const std::string& member : members_) {
    ranked.emplace_back(CoordinatorRank(digest, QuotaDigest(member)), &member);
  }
  const std::size_t count = std::min(ranked.size(), kMaxQuotaOwners);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < count; ++i) {
    owners.push_back(*ranked[i].second);
  }
  return owners;
}

const std::vector<std::string>& QuotaPeers::OwnersOf(
    std::string_view group) const {
  static const std::vector<std::string> none;
  const auto found = groups_.find(group);
  return found == groups_.end() ? none : found->second.owners;
}

std::map<std::string, std::vector<std::uint64_t>, std::less<>>
QuotaPeers::OwnersOfCoordinated() const {
  std::map<std::string, std::vector<std::uint64_t>, std::less<>> owners;
  for (const auto& [group, assignment] : groups_) {
    if (assignment.coordinator != self_) {
      continue;
    }
    for (const std::string& owner : assignment.owners) {
      if (owner != self_) {
        owners[owner].push_back(QuotaDigest(group));
      }
    }
  }
  return owners;
}

Time QuotaPeers::CoordinatedSince(std::string_view group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? Time() : found->second.since;
}

}  // namespace verbenastile
