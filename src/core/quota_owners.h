// Which members own the parts of each quota, as far as this node knows, and
// whether this node may own any.
//
// Nodes know different members for a while, or for as long as a cut lasts. Each
// owner goes by the owners that it knows itself. So that the parts of all add
// up to at most the quota, any two owners have to know each other. A node joins
// them in two steps: once all owners that it knows can be reached, its record
// says that it joins, so that they count it; and once they and the store have
// that record, and what was given before is free, it owns parts. One whose
// instance leaves owns nothing. A node that starts again knows neither the
// owners nor whether it was one. It learns both from the store, or from an
// owner.
#ifndef CORE_QUOTA_OWNERS_H_
#define CORE_QUOTA_OWNERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

// The number of owners, in fleets that have so many members. A coordinator asks
// each of them for its part all the time, so that it does not grow with the
// fleet. One of the owners may be away without harm to groups that send as much
// of their quota as is usual.
constexpr std::size_t kMaxQuotaOwners = 5;

// What this node knows of its own place in the fleet.
struct QuotaStanding {
  // The owners are those of a list of the store, or those that an owner knows.
  bool knows_owners = false;
  // A list of the store has shown the record by which this node joins them.
  bool is_listed = false;
  // An earlier process of this node was an owner.
  bool was_owner = false;
  // The instance beside this node leaves or has left: the node owns nothing,
  // and is a new one for the others if another instance comes.
  bool is_leaving = false;
  // Changes with the members that know the record by which this node joins.
  std::uint64_t confirmations = 0;

  bool operator==(const QuotaStanding&) const = default;
};

class QuotaOwners {
 public:
  using Names = std::set<std::string, std::less<>>;

  explicit QuotaOwners(std::string_view self) : self_(self) {}

  // `owners`: the other members that own parts or join the owners. `linked`:
  // the members that can be reached. `confirmed_by`: those that know the record
  // by which this node joins.
  void SetMembers(const Names& owners,
                  const Names& linked,
                  const Names& confirmed_by,
                  const QuotaStanding& standing,
                  Time now);
  // To be called about every 100 ms.
  void Update(Time now);

  // Whether this node joins the owners, and whether it is one.
  bool joins() const { return joins_; }
  bool may_own() const { return may_own_; }
  // The number of owners of the group's quota, if this node may be one and is;
  // 0 otherwise.
  std::size_t OwnersWithSelf(std::uint64_t group) const;
  // When the parts that this node owns last may have changed.
  Time changed_at() const { return changed_at_; }

 private:
  // Whether all other owners that are not taken for dead are in `names`.
  bool HasAll(const Names& names, Time now) const;
  void UpdateJoining(Time now);
  void UpdateDigests(Time now);

  std::string self_;
  Names owners_;  // The others.
  QuotaStanding standing_;
  Names linked_;
  Names confirmed_by_;
  // When each owner was first seen.
  std::map<std::string, Time, std::less<>> seen_since_;
  // Members that are owners no more, and until when what they gave may be
  // counted.
  std::map<std::string, Time, std::less<>> left_until_;
  bool joins_ = false;
  Time joins_changed_at_;
  // Since when all owners know that this node joins.
  std::optional<Time> confirmed_since_;
  bool may_own_ = false;
  // Of the other owners and of those that have left.
  std::set<std::uint64_t> digests_;
  Time changed_at_;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_OWNERS_H_
