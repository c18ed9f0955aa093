// Chooses the coordinator of each group's quota among the members that this
// node has a link to, by rendezvous hashing (Thaler and Ravishankar 1998): when
// a member comes or goes, only the groups that it coordinates change theirs.
#ifndef CORE_QUOTA_PEERS_H_
#define CORE_QUOTA_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace verbenastile {

class QuotaPeers {
 public:
  explicit QuotaPeers(std::string self) : self_(std::move(self)) {}

  // The groups that have a quota.
  void SetGroups(std::vector<std::string> groups, Time now);
  // `candidates`: the members that may coordinate, this node included unless it
  // leaves. `linked` of the `known` members can be reached, this node included.
  // Returns whether a group may have another coordinator than before.
  bool SetMembers(std::vector<std::string> candidates,
                  std::size_t linked,
                  std::size_t known,
                  Time now);

  // Returns the coordinator; empty for a group without a quota, or if there are
  // no candidates.
  std::string_view CoordinatorOf(std::string_view group) const;
  // Whether this node coordinates the group.
  bool Coordinates(std::string_view group) const {
    return CoordinatorOf(group) == self_;
  }
  // When the coordinator of the group last changed.
  Time CoordinatedSince(std::string_view group) const;
  // The part of the members that can be reached. The others are assumed to use
  // the rest of each quota.
  double reach() const { return reach_; }
  std::string_view self() const { return self_; }

 private:
  struct Assignment {
    std::string coordinator;
    Time since;
  };

  std::string Choose(std::string_view group) const;

  std::string self_;
  std::vector<std::string> candidates_;
  std::vector<std::uint64_t> candidate_hashes_;
  double reach_ = 0;
  std::map<std::string, Assignment, std::less<>> groups_;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_PEERS_H_
