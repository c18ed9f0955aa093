// The quotas of groups at one node: as a borrower for the requests that it
// receives, and as the coordinator of some of the groups.
// docs/design/quotas.md describes the protocol.
#ifndef CORE_GROUP_QUOTAS_H_
#define CORE_GROUP_QUOTAS_H_

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
#include "config/rules.h"
#include "core/member_registry.h"
#include "core/quota_borrower.h"
#include "core/quota_coordinator.h"
#include "core/quota_messages.h"
#include "core/quota_part_giver.h"
#include "core/quota_part_holder.h"
#include "core/quota_peers.h"

namespace verbenastile {

// The members of the fleet as this node sees them.
struct QuotaMembers {
  // Members that may coordinate: linked and not leaving. With this node, unless
  // it leaves itself.
  std::vector<std::string> candidates;
  // That have links in both directions, with this node.
  std::size_t linked = 0;
  std::size_t known = 0;  // With this node.
  // Whether most members are linked, and none of these ran before this node.
  bool all_new = false;
  // That this node has a link to.
  std::set<std::string, std::less<>> reachable = {};
  // The other members that own parts of quotas or join those that do: see
  // core/quota_owners.h.
  std::set<std::string, std::less<>> owners = {};
  // Those that count this node as one that joins the owners.
  std::set<std::string, std::less<>> confirmed_by = {};
  // Those without a link in both directions that have not left, if they are
  // half of the members or more.
  std::set<std::string, std::less<>> unlinked_majority = {};
};

// `incoming`: the members that have an open link to this node.
QuotaMembers QuotaMembersOf(const MemberRegistry& registry,
                            std::string_view self,
                            const std::set<std::string, std::less<>>& incoming);

class GroupQuotas {
 public:
  // By coordinator.
  using Needs = std::map<std::string, std::vector<QuotaNeed>, std::less<>>;

  // `started`: when this process started.
  GroupQuotas(std::string self,
              const QuotaLimits& limits,
              Time started = Time());

  static bool HasQuota(const Group& group) {
    return group.requests.per_second > 0;
  }

  void SetLimits(const QuotaLimits& limits) { coordinator_.SetLimits(limits); }
  // The groups of the configuration in force, which is of `generation`.
  void SetGroups(std::span<const Group> groups,
                 std::uint64_t generation,
                 Time now);
  // Takes over limits of newer configurations than the one in force, which the
  // nodes that sent the needs have. Returns the groups concerned.
  std::vector<std::string_view> LearnLimits(std::span<const QuotaNeed> needs,
                                            Time now);
  void SetMembers(QuotaMembers members, Time now);
  // What this node knows of its own place in the fleet. Counts from the next
  // call of `SetMembers` on.
  void SetStanding(const QuotaStanding& standing) { standing_ = standing; }
  // Whether this node joins the owners of parts of quotas, and whether it is
  // one.
  bool joins_owners() const { return part_giver_.owners().joins(); }
  bool may_own_parts() const { return part_giver_.owners().may_own(); }
  // The members that this node asks through the store to count it as an owner.
  const QuotaOwners::Names& asked_members() const {
    return part_giver_.owners().asked();
  }
  // The link to the member broke. `silent`: it does not answer, and may still
  // be running.
  void OnMemberLost(std::string_view member, bool silent, Time now);

  // Decides on a new request of a group that has a quota.
  QuotaVerdict Request(const Group& group, Time now);
  // Decides again on a request that waits until `until` at most.
  QuotaVerdict Settle(std::string_view group, Time until, Time now) {
    return borrower_.Settle(group, until, now);
  }
  void StopWaiting(std::string_view group) { borrower_.StopWaiting(group); }
  // A request that was admitted `age` ago did not run and never will.
  void GiveBack(std::string_view group, Duration age) {
    borrower_.GiveBack(group, age);
  }

  // Needs could not be sent to the member: there is no link.
  void OnNotSent(std::string_view member, Time now) {
    borrower_.OnMemberLost(member, false, now);
  }

  // What has to be sent now. Needs of groups that this node coordinates are
  // answered here.
  Needs TakeNeeds(Time now);
  std::vector<QuotaLoan> OnNeeds(std::string_view member,
                                 std::span<const QuotaNeed> needs,
                                 Time now);
  void OnLoans(std::string_view member,
               std::span<const QuotaLoan> loans,
               Time now);

  // The requests for owners' parts that have to be sent now. See
  // core/quota_part_giver.h.
  QuotaPartHolder::Requests TakePartRequests(Time now) {
    return part_holder_.TakeRequests(now);
  }
  // There is no link to the member.
  void OnPartRequestNotSent(std::string_view member) {
    part_holder_.OnLinkLost(member);
  }
  QuotaPartGrant OnPartRequest(std::string_view member,
                               const QuotaPartRequest& request,
                               Time now) {
    return part_giver_.OnRequest(member, request, now);
  }
  void OnPartGrant(std::string_view member,
                   const QuotaPartGrant& grant,
                   Time now) {
    part_holder_.OnGrant(member, grant, now);
  }
  // The members that should hear that they may ask again for this node's part.
  std::vector<std::string> TakePartsChanged(Time now) {
    return part_giver_.TakeChanged(now);
  }
  void OnPartChanged(std::string_view member) {
    part_holder_.OnChanged(member);
  }

  // To be called about every 100 ms. Returns the coordinators that did not
  // answer in time.
  std::set<std::string> Tick(Time now) {
    part_giver_.owners().Update(now);
    return borrower_.Tick(now);
  }

  // The fraction of the group's quota that this node may lend.
  double ReachOf(std::string_view group, Time now) const;

  const QuotaBorrower& borrower() const { return borrower_; }
  const QuotaCoordinator& coordinator() const { return coordinator_; }
  const QuotaPartHolder& part_holder() const { return part_holder_; }
  // Whether any group has a quota.
  bool active() const { return !limits_.empty(); }

 private:
  // Whether the limit is to be kept beside those of the configuration in force.
  bool IsNewer(std::string_view group, const QuotaLimit& limit) const;
  void OnLimitsChanged(Time now);
  void OnCoordinatorsChanged(Time now);
  void UpdateOwners();
  // Adds the limit of the group.
  void Complete(QuotaNeed& need) const;
  QuotaLoan Answer(std::string_view member, const QuotaNeed& need, Time now);
  std::vector<QuotaPart> PartsOf(std::string_view group, Time now) const;

  QuotaPeers peers_;
  QuotaStanding standing_;
  QuotaPartGiver part_giver_;
  QuotaPartHolder part_holder_;
  QuotaCoordinator coordinator_;
  QuotaBorrower borrower_;
  // By group. Those of later generations than `generation_` were learned from
  // nodes that have that configuration.
  std::map<std::string, QuotaLimit, std::less<>> limits_;
  std::uint64_t generation_ = 0;  // Of the configuration in force.
  std::set<std::string, std::less<>> reachable_;
  std::optional<Time> started_;
  bool members_are_new_ = false;
  bool configured_ = false;  // Whether a configuration is in force.
  // Spare tokens that nodes used, as they said before that.
  std::map<std::string, std::uint32_t, std::less<>> spare_used_before_;
};

}  // namespace verbenastile

#endif  // CORE_GROUP_QUOTAS_H_
