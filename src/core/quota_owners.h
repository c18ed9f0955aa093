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
//
// A node that is linked with no more than half of the members does not join
// before the others count it: the members that are linked with each other must
// not have to wait for it. It asks those without a link to it by its record in
// the store, and they confirm in their own records that they count it. An owner
// without a link to a node that joins is asked the same way.
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
  // A list of the store has shown a record of this process: nodes that start
  // together see each other.
  bool is_stored = true;
  // Changes with the members that count this node as one that joins, and with
  // those that asked this node to count them.
  std::uint64_t confirmations = 0;

  bool operator==(const QuotaStanding&) const = default;
};

// The other members that a node which joins the owners has to heed.
struct QuotaOwnersView {
  using Names = std::set<std::string, std::less<>>;

  // Own parts, join the owners, or asked this node to count them.
  Names owners;
  // Can be reached over a link.
  Names linked;
  // Count this node as one that joins.
  Names confirmed_by;
  // Without a link, if these are half of the members or more; empty otherwise.
  Names unlinked_majority = {};
};

class QuotaOwners {
 public:
  using Names = QuotaOwnersView::Names;

  explicit QuotaOwners(std::string_view self) : self_(self) {}

  void SetMembers(QuotaOwnersView view,
                  const QuotaStanding& standing,
                  Time now);
  // To be called about every 100 ms.
  void Update(Time now);

  // Whether this node joins the owners, and whether it is one.
  bool joins() const { return joins_; }
  bool may_own() const { return may_own_; }
  // The members that this node asks through the store to count it as an owner.
  const Names& asked() const { return asked_; }
  // The number of owners of the group's quota, if this node may be one and is;
  // 0 otherwise.
  std::size_t OwnersWithSelf(std::uint64_t group) const;
  // When the parts that this node owns last may have changed.
  Time changed_at() const { return changed_at_; }

 private:
  // Whether the member could not be reached for so long that it is taken for
  // dead.
  bool IsDead(std::string_view member, Time now) const;
  // Whether all `required` members that are not taken for dead are in `names`.
  bool HasAll(const Names& required, const Names& names, Time now) const;
  // The members without which this node does not join.
  Names Required() const;
  void UpdateUnlinked(Time now);
  void UpdateJoining(Time now);
  void UpdateAsked(Time now);
  void UpdateDigests(Time now);

  std::string self_;
  QuotaOwnersView view_;
  QuotaStanding standing_;
  // Since when each required member that has no link could not be reached.
  std::map<std::string, Time, std::less<>> unlinked_since_;
  Names asked_;
  // Members that are owners no more, and until when what they gave may be
  // counted.
  std::map<std::string, Time, std::less<>> left_until_;
  bool joins_ = false;
  Time joins_changed_at_;
  std::optional<Time> stored_since_;
  // Since when all owners know that this node joins.
  std::optional<Time> confirmed_since_;
  bool may_own_ = false;
  // Of the other owners and of those that have left.
  std::set<std::uint64_t> digests_;
  Time changed_at_;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_OWNERS_H_
