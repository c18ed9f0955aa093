// Chooses the coordinator of each group's quota among the members that this
// node has a link to, and the owners of its parts among all members, by
// rendezvous hashing (Thaler and Ravishankar 1998): when a member comes or
// goes, only the groups that it coordinates change their coordinator.
#ifndef CORE_QUOTA_PEERS_H_
#define CORE_QUOTA_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/quota_owners.h"

namespace verbenastile {

// Identifies a group or member by its name.
std::uint64_t QuotaDigest(std::string_view name);
// Of several members, the one with the highest rank coordinates the group.
// Those with the highest ranks of all own its parts.
std::uint64_t CoordinatorRank(std::uint64_t group, std::uint64_t member);
class QuotaPeers {
 public:
  explicit QuotaPeers(std::string self) : self_(std::move(self)) {}

  using Names = std::set<std::string, std::less<>>;

  // The groups that have a quota.
  void SetGroups(std::vector<std::string> groups, Time now);
  // The members that may own parts of quotas, those included that cannot be
  // reached.
  void SetMembers(Names members);
  // `candidates`: the members that may coordinate, this node included unless it
  // leaves. Returns whether a group may have another coordinator than before.
  bool SetCandidates(std::vector<std::string> candidates, Time now);

  // Returns the coordinator; empty for a group without a quota, or if there are
  // no candidates.
  std::string_view CoordinatorOf(std::string_view group) const;
  // Whether this node coordinates the group.
  bool Coordinates(std::string_view group) const {
    return CoordinatorOf(group) == self_;
  }
  // When the coordinator of the group last changed.
  Time CoordinatedSince(std::string_view group) const;
  // The owners of the parts of the group's quota, by the members that this node
  // knows. They may know others, and own no parts.
  const std::vector<std::string>& OwnersOf(std::string_view group) const;
  // The owners of the groups that this node coordinates, without this node,
  // with the digests of these groups.
  std::map<std::string, std::vector<std::uint64_t>, std::less<>>
  OwnersOfCoordinated() const;
  std::string_view self() const { return self_; }
  const std::vector<std::string>& candidates() const { return candidates_; }
  // The digests of the candidates' names, in the same order.
  const std::vector<std::uint64_t>& candidate_digests() const {
    return candidate_digests_;
  }

 private:
  struct Assignment {
    std::string coordinator;
    Time since;
    std::vector<std::string> owners;
  };

  std::string Choose(std::string_view group) const;
  std::vector<std::string> ChooseOwners(std::string_view group) const;

  std::string self_;
  std::vector<std::string> candidates_;
  std::vector<std::uint64_t> candidate_digests_;
  Names members_;
  std::map<std::string, Assignment, std::less<>> groups_;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_PEERS_H_
