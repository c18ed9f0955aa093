#include "core/quota_peers.h"

#include <algorithm>
#include <utility>

namespace verbenastile {
namespace {

// FNV-1a.
std::uint64_t HashOf(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash;
}

// The finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  constexpr std::uint64_t kFirst = 0xbf58476d1ce4e5b9;
  constexpr std::uint64_t kSecond = 0x94d049bb133111eb;
  value = (value ^ (value >> 30U)) * kFirst;
  value = (value ^ (value >> 27U)) * kSecond;
  return value ^ (value >> 31U);
}

}  // namespace

void QuotaPeers::SetGroups(std::vector<std::string> groups, Time now) {
  std::map<std::string, Assignment, std::less<>> assigned;
  for (std::string& group : groups) {
    const auto known = groups_.find(group);
    Assignment assignment = known == groups_.end()
                                ? Assignment{Choose(group), now}
                                : std::move(known->second);
    assigned.emplace(std::move(group), std::move(assignment));
  }
  groups_ = std::move(assigned);
}

bool QuotaPeers::SetMembers(std::vector<std::string> candidates,
                            std::size_t linked,
                            std::size_t known,
                            Time now) {
  reach_ = known == 0 ? 0
                      : std::min(1.0, static_cast<double>(linked) /
                                          static_cast<double>(known));
  if (candidates == candidates_) {
    return false;
  }
  candidates_ = std::move(candidates);
  candidate_hashes_.clear();
  for (const std::string& candidate : candidates_) {
    candidate_hashes_.push_back(HashOf(candidate));
  }
  for (auto& [group, assignment] : groups_) {
    std::string coordinator = Choose(group);
    if (coordinator != assignment.coordinator) {
      assignment = {std::move(coordinator), now};
    }
  }
  return true;
}

std::string QuotaPeers::Choose(std::string_view group) const {
  const std::uint64_t group_hash = HashOf(group);
  std::uint64_t highest = 0;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const std::uint64_t score = Mix(group_hash ^ candidate_hashes_[i]);
    if (i == 0 || score > highest) {
      highest = score;
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

Time QuotaPeers::CoordinatedSince(std::string_view group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? Time() : found->second.since;
}

}  // namespace verbenastile
