// Connects the quotas of groups with the links and with the requests that wait
// for a decision, and reports what was decided.
#ifndef MESH_QUOTA_SERVICE_H_
#define MESH_QUOTA_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "core/group_quotas.h"
#include "core/member_registry.h"
#include "mesh/link_frames.h"

namespace verbenastile {

class QuotaService {
 public:
  struct Init {
    std::string node_name;
    QuotaLimits limits;
    const MemberRegistry* member_registry = nullptr;
    // Returns false if there is no open link to the member.
    std::function<bool(std::string_view member, const LinkFrame&)> send;
    // The members that have an open link to this node.
    std::function<std::set<std::string, std::less<>>()> incoming_members;
    Metrics* metrics = nullptr;
    // The member did not answer in time: its link may be silent.
    std::function<void(std::string_view member)> on_unanswered =
        [](std::string_view) {};
    // What this node knows of its own place in the fleet.
    std::function<QuotaStanding()> standing;
    // The members that know the record of this node.
    std::function<std::set<std::string, std::less<>>()> confirmed_by;
    // The members that asked this node through the store to count them.
    std::function<std::set<std::string, std::less<>>()> join_requests;
    // This node joins the owners, is one, or has left them, or asks other
    // members to count it.
    std::function<void()> on_ownership = [] {};
  };
  // Receives the decision on a request that had to wait; never `kWait`.
  using Callback = std::function<void(const QuotaVerdict&)>;

  explicit QuotaService(Init init);
  QuotaService(const QuotaService&) = delete;
  QuotaService& operator=(const QuotaService&) = delete;

  void SetLimits(const QuotaLimits& limits) { quotas_.SetLimits(limits); }
  // The configuration of `generation` is in force.
  void SetGroups(const std::vector<Group>& groups, std::uint64_t generation);

  // Decides on a request of a group that has a quota. After `kWait`, `callback`
  // gets the decision unless `StopWaiting` was called. A request waits for half
  // of its `remaining` time at most.
  QuotaVerdict Request(const Group& group,
                       CallId call,
                       Duration remaining,
                       Callback callback);
  void StopWaiting(CallId call);
  // A request that was admitted `age` ago did not run and never will.
  void GiveBack(std::string_view group, Duration age);
  // Logs why a request was refused.
  void LogRefusal(const Group& group,
                  std::string_view request,
                  const QuotaVerdict& verdict);

  std::vector<QuotaLoan> OnNeeds(std::string_view member,
                                 const std::vector<QuotaNeed>& needs);
  void OnLoans(std::string_view member, const std::vector<QuotaLoan>& loans);
  QuotaPartGrant OnPartRequest(std::string_view member,
                               const QuotaPartRequest& request);
  void OnPartGrant(std::string_view member, const QuotaPartGrant& grant);
  void OnPartChanged(std::string_view member);
  // `silent`: the member does not answer, and may still be running.
  void OnMemberLost(std::string_view member, bool silent);
  // To be called every 100 ms.
  void Tick(Time now);
  // Whether any group has a quota.
  bool active() const { return quotas_.active(); }
  // Whether this node joins the owners of parts of quotas, and whether it is
  // one: see core/quota_owners.h.
  bool joins_owners() const { return quotas_.joins_owners(); }
  bool may_own_parts() const { return quotas_.may_own_parts(); }
  const QuotaOwners::Names& asked_members() const {
    return quotas_.asked_members();
  }

 private:
  struct Waiter {
    std::string group;
    Time until;
    Callback callback;
  };

  void LearnLimits(std::string_view member,
                   const std::vector<QuotaNeed>& needs,
                   Time now);
  void UpdateMembers(Time now);
  void SendNeeds(Time now);
  void SendPartMessages(Time now);
  void SettleWaiters(Time now);
  void Count(const QuotaVerdict& verdict);

  Init init_;
  GroupQuotas quotas_;
  std::map<CallId, Waiter> waiters_;  // In the order of arrival.
  std::map<std::string, Time, std::less<>> last_logged_;  // By group.
  std::uint64_t members_revision_ = 0;
  QuotaStanding standing_;
  bool joined_owners_ = false;
  bool owned_parts_ = false;
  QuotaOwners::Names asked_members_;
  std::set<std::string, std::less<>> incoming_members_;
  CounterHandle admitted_;
  CounterHandle admitted_spare_;
  CounterHandle refused_;
  CounterHandle unknown_;
  CounterHandle waited_;
  CounterHandle given_back_;
  CounterHandle needs_sent_;
  CounterHandle needs_answered_;
  CounterHandle tokens_lent_;
  CounterHandle limits_learned_;
  GaugeHandle tokens_held_;
  GaugeHandle coordinated_;
  CounterHandle part_requests_sent_;
  GaugeHandle parts_held_;
  GaugeHandle may_own_parts_;
};

}  // namespace verbenastile

#endif  // MESH_QUOTA_SERVICE_H_
