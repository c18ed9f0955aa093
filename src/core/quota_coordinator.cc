#include "core/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace verbenastile {
namespace {

// How the margin that the platform's bounds leave is used: the bucket is larger
// by the first fraction, so that random bursts of a small group below its limit
// find tokens; tokens in the bucket and with borrowers may exceed the burst by
// the second. The rest covers changes of the coordinator.
constexpr double kBucketMargin = 0.25;
constexpr double kUnusedMargin = 0.6;
// A new coordinator starts with a debt of this time's tokens, because nodes
// that still follow the earlier one may use theirs, less a fraction of the
// platform's slack.
constexpr double kStartDebtSeconds = 0.5;
constexpr double kStartSlack = 0.3;
// When no member holds tokens of an earlier coordinator, a new one starts with
// this part of the margin instead: a window that spans the restart of all
// admits that much beyond what the processes before could.
constexpr double kNewFleetMargin = 0.3;
constexpr Duration kProvisionalPeriod = std::chrono::milliseconds(1'500);
// After a restart of all, callers that found no node come at once.
constexpr Duration kNewFleetProvisionalPeriod =
    std::chrono::milliseconds(2'500);
// Tokens are lent ahead for a time within these limits. Borrowers with less
// demand than `kMinDemandAhead` ask when a request arrives.
constexpr double kMinAheadSeconds = 0.25;
constexpr double kMaxAheadSeconds = 2;
constexpr double kMinDemandAhead = 1;
// The part of the tokens that may be unused which is lent ahead.
constexpr double kAheadPart = 0.5;
// What a borrower may use while the coordinator is silent. A silent link is
// noticed within this time.
constexpr double kSpareSeconds = 2.5;
// Borrowers that did not ask for this long hold no tokens any more.
constexpr Duration kBorrowerLapse =
    kQuotaTokenLifetime + std::chrono::seconds(1);
constexpr Duration kDemandAge = std::chrono::seconds(3);
constexpr Duration kSumInterval = std::chrono::milliseconds(50);
// Under shortage a group's coordinator is asked about this often per second.
constexpr double kAsksPerSecond = 100;
// From this multiple of the rate on, a request that comes back soon is more
// likely to be refused again than to be admitted.
constexpr double kOverload = 2;
// Tokens are shared when the bucket is nearly empty: estimates of the demand
// count callers that move twice for a while.
constexpr double kScarceDivisor = 8;
constexpr double kMinWaitSeconds = 0.02;
constexpr double kMaxWaitSeconds = 2;
constexpr double kMilli = 1'000;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// The highest share that can be given to all whose demand reaches it, so that
// the shares add up to `rate`. `demands` exceed `rate` in sum.
double MaxMinShare(std::vector<double> demands, double rate) {
  std::sort(demands.begin(), demands.end());
  double left = rate;
  std::size_t sharers = demands.size();
  for (const double demand : demands) {
    const double share = left / static_cast<double>(sharers);
    if (demand >= share) {
      return share;
    }
    left -= demand;
    --sharers;
  }
  return left;
}

}  // namespace

double QuotaCoordinator::MarginOf(const RequestQuota& quota) const {
  return limits_.slack +
         limits_.over *
             (quota.per_second * ToSeconds(limits_.window) + quota.burst);
}

void QuotaCoordinator::SetQuota(Bucket& bucket,
                                const RequestQuota& quota,
                                double reach) const {
  const double margin = MarginOf(quota);
  bucket.quota = quota;
  bucket.rate = quota.per_second * reach;
  bucket.size = std::max(1.0, (quota.burst + kBucketMargin * margin) * reach);
  bucket.max_unused =
      std::max(bucket.size, (quota.burst + kUnusedMargin * margin) * reach);
  bucket.level = std::min(bucket.level, bucket.size);
}

void QuotaCoordinator::AddTokens(Bucket& bucket, Time now) {
  const double added = bucket.rate * ToSeconds(now - bucket.refilled);
  const double room = bucket.max_unused - bucket.outstanding;
  bucket.refilled = now;
  bucket.level = std::max(bucket.level,
                          std::min({bucket.level + added, bucket.size, room}));
}

double QuotaCoordinator::StartDebt(const RequestQuota& quota) const {
  return std::max(
      0.0, kStartDebtSeconds * quota.per_second - kStartSlack * limits_.slack);
}

QuotaCoordinator::Bucket& QuotaCoordinator::Refill(std::string_view group,
                                                   const RequestQuota& quota,
                                                   const Place& place,
                                                   Time now) {
  auto found = buckets_.find(group);
  if (found == buckets_.end()) {
    found = buckets_.emplace(std::string(group), Bucket{}).first;
    Bucket& created = found->second;
    created.start_debt = StartDebt(quota) * place.reach;
    created.level = -created.start_debt;
    created.refilled = place.since;
    SetQuota(created, quota, place.reach);
  }
  Bucket& bucket = found->second;
  if (place.fleet_is_new && !std::exchange(bucket.fleet_is_new, true)) {
    bucket.start_credit = kNewFleetMargin * MarginOf(quota) * place.reach;
    bucket.level += std::exchange(bucket.start_debt, 0) + bucket.start_credit;
  }
  AddTokens(bucket, now);
  SetQuota(bucket, quota, place.reach);
  if (now - bucket.summed_at >= kSumInterval) {
    SumBorrowers(bucket, now);
  }
  return bucket;
}

void QuotaCoordinator::SumBorrowers(Bucket& bucket, Time now) {
  bucket.summed_at = now;
  bucket.outstanding = 0;
  bucket.spare = 0;
  bucket.demand = 0;
  std::vector<double> demands;
  std::erase_if(bucket.borrowers, [&](const auto& entry) {
    return now - entry.second.asked_at > kBorrowerLapse;
  });
  for (const auto& [name, borrower] : bucket.borrowers) {
    bucket.outstanding += borrower.outstanding;
    bucket.spare += borrower.spare;
    if (now - borrower.asked_at <= kDemandAge && borrower.demand > 0) {
      bucket.demand += borrower.demand;
      demands.push_back(borrower.demand);
    }
  }
  bucket.fair_rate = bucket.demand > bucket.rate
                         ? MaxMinShare(std::move(demands), bucket.rate)
                         : bucket.rate;
}

// Whether the borrowers want more than the rate, and what was saved up is used.
bool QuotaCoordinator::IsScarce(const Bucket& bucket) {
  return bucket.demand > bucket.rate &&
         bucket.level < bucket.size / kScarceDivisor;
}

// The tokens that a borrower needs now, and ahead of the requests that it
// expects until it asks again.
double QuotaCoordinator::WantedBy(const Bucket& bucket,
                                  const Borrower& borrower,
                                  const QuotaNeed& need) {
  if (borrower.demand < kMinDemandAhead) {
    return need.waiting;
  }
  const double free_ahead = kAheadPart * bucket.max_unused -
                            static_cast<double>(bucket.borrowers.size());
  double ahead_seconds = std::clamp(free_ahead / bucket.demand,
                                    kMinAheadSeconds, kMaxAheadSeconds);
  if (IsScarce(bucket)) {
    ahead_seconds = std::max(ahead_seconds, ToSeconds(NextTokenIn(bucket)));
  }
  return need.waiting +
         std::max(0.0, std::ceil(borrower.demand * ahead_seconds) -
                           static_cast<double>(need.held));
}

std::uint32_t QuotaCoordinator::TokensFor(const Bucket& bucket,
                                          const Borrower& borrower,
                                          double wanted,
                                          Time now) {
  double tokens = std::min(wanted, bucket.level);
  if (IsScarce(bucket)) {
    const double since_grant =
        std::min(ToSeconds(now - borrower.granted_at), kMaxAheadSeconds);
    tokens = std::min(
        tokens, std::max({1.0, bucket.fair_rate * since_grant,
                          bucket.level * bucket.fair_rate / bucket.rate}));
  }
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(tokens)));
}

Duration QuotaCoordinator::NextTokenIn(const Bucket& bucket) {
  if (bucket.rate <= 0) {
    return FromSeconds(kMaxWaitSeconds);
  }
  double wait = std::max(0.0, 1 - bucket.level) / bucket.rate;
  if (IsScarce(bucket)) {
    // What is lent for that time must not keep the bucket from filling.
    const double spacing =
        std::min(static_cast<double>(bucket.borrowers.size()) / kAsksPerSecond,
                 kAheadPart * bucket.max_unused / bucket.rate);
    wait = std::max({wait, 1 / bucket.fair_rate, spacing});
  }
  return FromSeconds(std::clamp(wait, kMinWaitSeconds, kMaxWaitSeconds));
}

std::uint32_t QuotaCoordinator::SpareFor(const Bucket& bucket,
                                         const Borrower& borrower) {
  const double share = std::min(borrower.demand, bucket.fair_rate);
  double total = kSpareSeconds * bucket.rate;
  if (bucket.demand > bucket.rate) {
    // The group uses all that it may: a window has no room for more than what
    // is saved up and what the next coordinator starts in debt.
    total = std::min(
        total, std::max(0.0, bucket.level) + kStartDebtSeconds * bucket.rate);
  }
  const double left = total - bucket.spare;
  return static_cast<std::uint32_t>(
      std::max(0.0, std::min(std::ceil(share * kSpareSeconds), left)));
}

QuotaLoan QuotaCoordinator::Lend(std::string_view member,
                                 const QuotaNeed& need,
                                 const RequestQuota& quota,
                                 const Place& place,
                                 Time now) {
  Bucket& bucket = Refill(need.group, quota, place, now);
  auto found = bucket.borrowers.find(member);
  if (found == bucket.borrowers.end()) {
    found = bucket.borrowers.emplace(std::string(member), Borrower{}).first;
  }
  Borrower& borrower = found->second;
  const double demand = need.demand_milli / kMilli;
  bucket.outstanding -= borrower.outstanding;
  bucket.spare -= borrower.spare;
  bucket.demand += demand - borrower.demand;
  const double room = bucket.max_unused - bucket.outstanding - need.held;
  bucket.level =
      std::max(bucket.level,
               std::min({bucket.level + need.returned, bucket.size, room})) -
      static_cast<double>(need.spare_used);
  borrower.demand = demand;
  borrower.asked_at = now;

  QuotaLoan loan;
  loan.group = need.group;
  const double wanted = WantedBy(bucket, borrower, need);
  loan.tokens = TokensFor(bucket, borrower, wanted, now);
  bucket.level -= loan.tokens;
  // Waiting requests use theirs at once.
  borrower.outstanding =
      need.held + loan.tokens - std::min(loan.tokens, need.waiting);
  bucket.outstanding += borrower.outstanding;
  if (loan.tokens > 0) {
    borrower.granted_at = now;
  }
  const bool has_none = loan.tokens == 0 && need.held == 0 && wanted > 0;
  const bool shared = IsScarce(bucket) && loan.tokens < std::floor(wanted);
  if (loan.tokens < need.waiting || has_none || shared) {
    loan.next_token_in = NextTokenIn(bucket);
    // What is asked of a new coordinator includes what was refused before.
    loan.overloaded = bucket.demand > kOverload * bucket.rate &&
                      now - place.since >= limits_.window;
    loan.provisional =
        now - place.since <
        (bucket.fleet_is_new ? kNewFleetProvisionalPeriod : kProvisionalPeriod);
  }
  // While this coordinator is new, borrowers have those of the one before.
  borrower.spare = loan.spare =
      loan.provisional ? 0 : SpareFor(bucket, borrower);
  bucket.spare += borrower.spare;
  return loan;
}

std::vector<QuotaCoordinator::Remainder> QuotaCoordinator::KeepOnly(
    const QuotaPeers& peers,
    Time now) {
  std::vector<Remainder> remainders;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    auto& [group, bucket] = *it;
    if (peers.Coordinates(group)) {
      ++it;
      continue;
    }
    AddTokens(bucket, now);
    // The next coordinator begins with a credit of its own.
    const double left = bucket.level - bucket.start_credit;
    const double debt = -bucket.start_debt - left;
    if (left >= 1 || debt >= 1) {
      remainders.push_back({group, bucket.quota,
                            static_cast<std::uint32_t>(std::max(0.0, left)),
                            static_cast<std::uint32_t>(std::max(0.0, debt))});
    }
    it = buckets_.erase(it);
  }
  return remainders;
}

void QuotaCoordinator::OnMemberGone(std::string_view member) {
  for (auto& [group, bucket] : buckets_) {
    const auto found = bucket.borrowers.find(member);
    if (found != bucket.borrowers.end()) {
      bucket.borrowers.erase(found);
      bucket.summed_at = Time();
    }
  }
}

void QuotaCoordinator::OnMemberSilent(std::string_view member) {
  for (auto& [group, bucket] : buckets_) {
    const auto found = bucket.borrowers.find(member);
    if (found != bucket.borrowers.end()) {
      bucket.level -= found->second.spare;
      bucket.spare -= found->second.spare;
      found->second.spare = 0;
    }
  }
}

}  // namespace verbenastile
