// Lends the tokens of the groups whose quotas this node coordinates.
//
// A token bucket for each group. Tokens that nodes hold unused count as part of
// the bucket's size until they are returned, reported as used, or lapse, so
// that no window admits more than the bucket allows however late tokens are
// used. When the nodes of a group want more than its rate, each gets a max-min
// fair share.
#ifndef CORE_QUOTA_COORDINATOR_H_
#define CORE_QUOTA_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "config/rules.h"
#include "core/quota_messages.h"
#include "core/quota_part_holder.h"
#include "core/quota_peers.h"

namespace verbenastile {

// By how much the requests of a group may exceed its quota in any window: by
// `over` of what the quota allows, plus `slack`. Bounds of the platform.
struct QuotaLimits {
  Duration window = std::chrono::seconds(5);
  double over = 0;
  double slack = 0;
};

// How long a borrower uses tokens after its last loan. Tokens lapse later.
constexpr Duration kQuotaTokenLifetime = std::chrono::seconds(4);

class QuotaCoordinator {
 public:
  explicit QuotaCoordinator(const QuotaLimits& limits) : limits_(limits) {}

  // What a coordinator knows of the fleet and of its place in it.
  struct Place {
    Time since;  // When it became the coordinator.
    // What it may lend.
    std::vector<QuotaPart> parts;
    // All members started a moment ago, so that none holds tokens of an earlier
    // coordinator.
    bool fleet_is_new = false;
  };

  // Answers the need of `member`.
  QuotaLoan Lend(std::string_view member,
                 const QuotaNeed& need,
                 const RequestQuota& quota,
                 const Place& place,
                 Time now);
  // The member's process has ended or has another coordinator: it uses no more
  // spare tokens.
  void OnMemberGone(std::string_view member);
  // The member does not answer. It may use its spare tokens.
  void OnMemberSilent(std::string_view member);
  // What is left of a group that this node does not coordinate any more.
  struct Remainder {
    std::string group;
    RequestQuota quota;
    std::uint32_t tokens = 0;
    // Tokens that were used and are not yet covered.
    std::uint32_t debt = 0;
  };
  // Forgets the groups that this node does not coordinate. Returns what is left
  // of them.
  std::vector<Remainder> KeepOnly(const QuotaPeers& peers, Time now);

  void SetLimits(const QuotaLimits& limits) { limits_ = limits; }
  std::size_t groups() const { return buckets_.size(); }

 private:
  struct Borrower {
    double demand = 0;  // Requests per second.
    std::uint32_t outstanding = 0;
    std::uint32_t spare = 0;
    Time asked_at;
    Time granted_at;
  };

  struct Bucket {
    RequestQuota quota;
    double rate = 0;  // Of the parts that may be lent, per second.
    double size = 0;
    double max_unused = 0;  // Tokens in the bucket and held by borrowers.
    double level = 0;
    // Until when tokens were added; in the future if the bucket is new.
    Time refilled;
    double start_credit = 0;  // What the bucket began with.
    // Tokens of the coordinator before that this one has no room for until it
    // has the parts.
    double handed_over = 0;
    bool fleet_is_new = false;
    std::map<std::string, Borrower, std::less<>> borrowers;
    // Sums over the borrowers.
    double outstanding = 0;
    double spare = 0;
    double demand = 0;
    double fair_rate = 0;  // Tokens per second that each may have at most.
    Time summed_at;
  };

  // By how much a window may exceed the quota.
  double MarginOf(const RequestQuota& quota) const;
  Duration StartDelay(const RequestQuota& quota) const;
  Bucket& Refill(std::string_view group,
                 const RequestQuota& quota,
                 const Place& place,
                 Time now);
  Bucket& Create(std::string_view group,
                 const RequestQuota& quota,
                 const Place& place);
  static void AddTokens(Bucket& bucket,
                        std::span<const QuotaPart> parts,
                        Time now);
  void SetQuota(Bucket& bucket, const RequestQuota& quota, double reach) const;
  static void AddHandedOver(Bucket& bucket, const Place& place, Time now);
  void OnNewFleet(Bucket& bucket, Time since, Time now) const;
  void AddStartCredit(Bucket& bucket, double reach) const;
  static void SumBorrowers(Bucket& bucket, Time now);
  static bool IsScarce(const Bucket& bucket);
  static double WantedBy(const Bucket& bucket,
                         const Borrower& borrower,
                         const QuotaNeed& need);
  static std::uint32_t TokensFor(const Bucket& bucket,
                                 const Borrower& borrower,
                                 double wanted,
                                 Time now);
  static Duration NextTokenIn(const Bucket& bucket);
  std::uint32_t SpareFor(const Bucket& bucket,
                         const Borrower& borrower,
                         Duration age) const;

  QuotaLimits limits_;
  std::map<std::string, Bucket, std::less<>> buckets_;
  // When this node stopped to lend the tokens of groups.
  std::map<std::string, Time, std::less<>> ended_;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_COORDINATOR_H_
