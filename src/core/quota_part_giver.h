// Gives this node's part of the quotas to their coordinators.
//
// A few members own equal parts of each quota. An owner gives its part to the
// first coordinator among its candidates, for a limited time, and to another
// only once that time has passed, or the first has given it back or knows of
// the other. So no part is lent by two coordinators, whatever links are
// missing: the leases of Gray and Cheriton (1989), one for each owner.
#ifndef CORE_QUOTA_PART_GIVER_H_
#define CORE_QUOTA_PART_GIVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/quota_messages.h"
#include "core/quota_owners.h"

namespace verbenastile {

// How often a coordinator asks an owner again for its part.
constexpr Duration kQuotaPartInterval = std::chrono::milliseconds(500);
// For how long a coordinator counts the part that it was given. Shorter than
// requests wait for tokens, so that the successor of a coordinator that has
// ended can serve them.
constexpr Duration kQuotaPartLifetime = std::chrono::milliseconds(900);

// The fraction by which the clocks of two nodes may differ in speed.
constexpr int kQuotaClockDriftDivisor = 14;
// How long after its owner gave a part nobody counts it any more.
constexpr Duration kQuotaPartFreeAfter =
    kQuotaPartLifetime + kQuotaPartLifetime / kQuotaClockDriftDivisor;

class QuotaPartGiver {
 public:
  // `started`: when this process started. Coordinators may still count the part
  // that an earlier process gave.
  QuotaPartGiver(std::string_view self, Time started);

  // The members, and whether this node owns parts by them.
  QuotaOwners& owners() { return owners_; }
  const QuotaOwners& owners() const { return owners_; }

  // `candidates`: the digests of the members to which this node would give its
  // part, itself included unless it leaves. `all_new`: no coordinator has a
  // part that an earlier process gave.
  void SetMembers(std::span<const std::uint64_t> candidates,
                  bool all_new,
                  Time now);

  QuotaPartGrant OnRequest(std::string_view member,
                           const QuotaPartRequest& request,
                           Time now);
  // Returns the members that should ask again, because the candidates changed
  // or because they can be given what they were refused.
  std::vector<std::string> TakeChanged(Time now);

  // This node's own part of the quota of a group that it coordinates; empty: it
  // is not free.
  std::optional<QuotaPart> OwnPart(std::uint64_t group, Time now) const;

 private:
  struct Candidate {
    std::uint64_t since_version = 0;
    bool leaves = false;  // Removed once it holds no part.
    // Since when all that may count a part know of it; empty: not yet.
    std::optional<Time> known_since;
    // When the last part that it was given is free again.
    Time last_until;
  };
  struct Holder {
    std::string name;
    Time until;  // The part may be counted there until then.
    // The earliest version of the candidates by which it may count.
    std::uint64_t version = 0;
    std::uint64_t told_version = 0;
    bool was_refused = false;
  };
  struct Change {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    bool added = false;
  };

  Time MayGiveFrom() const;
  bool IsKnownToHolders(std::uint64_t member,
                        const Candidate& candidate,
                        Time now) const;
  bool MayGive(std::uint64_t member, Time now) const;
  void UpdateKnownSince(Time now);
  Time FreeSince(const Candidate& candidate) const;
  bool HoldsPart(std::uint64_t member, Time now) const;
  void RemoveLeaving(Time now);
  void AddChange(std::uint64_t digest, bool added);
  void DescribeCandidates(std::uint64_t base, QuotaPartGrant& grant) const;

  std::uint64_t self_;
  QuotaOwners owners_;
  Time started_;
  bool fleet_was_new_ = false;
  std::map<std::uint64_t, Candidate> candidates_;
  bool any_leaves_ = false;
  bool all_known_ = false;  // To all holders.
  std::uint64_t version_ = 0;
  std::deque<Change> changes_;  // The latest ones.
  // When all parts of candidates that were removed were free.
  Time removed_until_;
  std::map<std::uint64_t, Holder> holders_;  // By the digest of the name.
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_PART_GIVER_H_
