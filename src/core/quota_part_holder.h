// The parts of the quotas that other members gave to this node as a
// coordinator; see core/quota_part_giver.h.
#ifndef CORE_QUOTA_PART_HOLDER_H_
#define CORE_QUOTA_PART_HOLDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "core/quota_messages.h"

namespace verbenastile {

class QuotaPartHolder {
 public:
  using Requests = std::vector<std::pair<std::string, QuotaPartRequest>>;

  explicit QuotaPartHolder(std::string_view self);

  // `candidates`: the digests of the names of the members that this node takes
  // for coordinators.
  void SetCandidates(std::span<const std::uint64_t> candidates);
  // The members that may own parts of the quotas which this node coordinates,
  // with and without a link, and the digests of these groups.
  using Owners = std::map<std::string, std::vector<std::uint64_t>, std::less<>>;
  void SetOwners(const Owners& owners);
  // Returns what to send now to keep the parts of the owners, and to give back
  // the others.
  Requests TakeRequests(Time now);

  void OnGrant(std::string_view member, const QuotaPartGrant& grant, Time now);
  // The member has news: it is asked again at once.
  void OnChanged(std::string_view member);
  // No answer of the member to earlier requests will come.
  void OnLinkLost(std::string_view member);

  // The part that the owner has of the quota of a group that this node
  // coordinates; empty: it is not here.
  std::optional<QuotaPart> Part(std::string_view owner,
                                std::uint64_t group,
                                Time now) const;
  // The number of owners whose parts this node holds.
  std::size_t held(Time now) const;

 private:
  struct Owner {
    bool wanted = false;
    std::vector<std::uint64_t> groups;
    std::vector<std::uint64_t> asked_groups;
    // How many members own parts of the group, as the owner says.
    std::map<std::uint64_t, std::uint8_t> owners_of;
    std::uint64_t asked_id = 0;  // Of the request without an answer; 0: none.
    Time asked_at;
    Time ask_again_at;
    std::uint64_t version = 0;  // Of `candidates`; 0: all have to be sent.
    std::set<std::uint64_t> candidates;
    // Those of them that this node cannot take for coordinators.
    std::vector<std::uint64_t> rivals;
    Time until;  // Its parts may be counted until then.
    Time since;
  };

  void UpdateRivals(Owner& owner) const;

  std::uint64_t self_;
  std::set<std::uint64_t> own_candidates_;
  std::map<std::string, Owner, std::less<>> owners_;
  std::uint64_t last_id_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_PART_HOLDER_H_
