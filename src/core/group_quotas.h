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
#include "core/quota_peers.h"

namespace verbenastile {

// The members of the fleet as this node sees them.
struct QuotaMembers {
  // Members that may coordinate: linked and not leaving. With this node, unless
  // it leaves itself.
  std::vector<std::string> candidates;
  // That have links in both directions, with this node. A member that has none
  // to this node has another coordinator.
  std::size_t linked = 0;
  std::size_t known = 0;  // With this node.
  // Whether most members are linked, and none of these ran before this node.
  bool all_new = false;
};

// `incoming`: the members that have an open link to this node.
QuotaMembers QuotaMembersOf(const MemberRegistry& registry,
                            std::string_view self,
                            const std::set<std::string, std::less<>>& incoming);

class GroupQuotas {
 public:
  // By coordinator.
  using Needs = std::map<std::string, std::vector<QuotaNeed>, std::less<>>;

  GroupQuotas(std::string self, const QuotaLimits& limits);

  static bool HasQuota(const Group& group) {
    return group.requests.per_second > 0;
  }

  void SetLimits(const QuotaLimits& limits) { coordinator_.SetLimits(limits); }
  // The groups of the configuration in force.
  void SetGroups(std::span<const Group> groups, Time now);
  void SetMembers(QuotaMembers members, Time now);
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
  // To be called about every 100 ms. Returns the coordinators that did not
  // answer in time.
  std::set<std::string> Tick(Time now) { return borrower_.Tick(now); }

  const QuotaBorrower& borrower() const { return borrower_; }
  const QuotaCoordinator& coordinator() const { return coordinator_; }
  // Whether any group has a quota.
  bool active() const { return !quotas_.empty(); }

 private:
  void OnCoordinatorsChanged(Time now);
  QuotaLoan Answer(std::string_view member, const QuotaNeed& need, Time now);

  QuotaPeers peers_;
  QuotaCoordinator coordinator_;
  QuotaBorrower borrower_;
  std::map<std::string, RequestQuota, std::less<>> quotas_;
  std::optional<Time> started_;
  bool members_are_new_ = false;
  bool configured_ = false;  // Whether a configuration is in force.
  // Spare tokens that nodes used, as they said before that.
  std::map<std::string, std::uint32_t, std::less<>> spare_used_before_;
};

}  // namespace verbenastile

#endif  // CORE_GROUP_QUOTAS_H_
