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
// A new coordinator lends no tokens for this long, because nodes may use spare
// tokens of the one before, less the time in which a fraction of the platform's
// slack comes in. It begins with what is left of that fraction.
constexpr double kStartDelaySeconds = 0.5;
constexpr double kStartSlack = 0.3;
// When no member holds tokens of an earlier coordinator, a new one starts with
// this part of the margin instead: a window that spans the restart of all
// admits that much beyond what the processes before could.
constexpr double kNewFleetMargin = 0.4;
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

// Each part brings tokens for the time in which nobody else could lend it.
void QuotaCoordinator::AddTokens(Bucket& bucket,
                                 std::span<const QuotaPart> parts,
                                 Time now) {
  double added = 0;
  for (const QuotaPart& part : parts) {
    const Duration here = now - std::max(bucket.refilled, part.since);
    added += bucket.quota.per_second * part.share *
             ToSeconds(std::max(here, Duration::zero()));
  }
  const double room = bucket.max_unused - bucket.outstanding;
  bucket.refilled = std::max(bucket.refilled, now);
  bucket.level = std::max(bucket.level,
                          std::min({bucket.level + added, bucket.size, room}));
}

// Lends what the coordinator before returned as far as there is room, which
// grows with the parts that come in.
void QuotaCoordinator::AddHandedOver(Bucket& bucket,
                                     const Place& place,
                                     Time now) {
  if (bucket.handed_over <= 0) {
    return;
  }
  const double room =
      std::min(bucket.size, bucket.max_unused - bucket.outstanding) -
      bucket.level;
  const double added = std::clamp(room, 0.0, bucket.handed_over);
  bucket.level += added;
  const bool awaits_parts = now - place.since < kProvisionalPeriod;
  bucket.handed_over = awaits_parts ? bucket.handed_over - added : 0;
}

Duration QuotaCoordinator::StartDelay(const RequestQuota& quota) const {
  return FromSeconds(std::max(
      0.0,
      kStartDelaySeconds - kStartSlack * limits_.slack / quota.per_second));
}

// There are no spare tokens of an earlier coordinator.
void QuotaCoordinator::OnNewFleet(Bucket& bucket, Time since, Time now) const {
  if (std::exchange(bucket.fleet_is_new, true)) {
    return;
  }
  if (bucket.refilled > now) {
    bucket.refilled = since;
  } else {
    bucket.level += bucket.rate * ToSeconds(StartDelay(bucket.quota));
  }
}

// The credit grows with the parts that come in.
void QuotaCoordinator::AddStartCredit(Bucket& bucket, double reach) const {
  const double whole =
      bucket.fleet_is_new
          ? kNewFleetMargin * MarginOf(bucket.quota)
          : std::max(0.0, kStartSlack * limits_.slack -
                              kStartDelaySeconds * bucket.quota.per_second);
  const double credit = std::max(bucket.start_credit, whole * reach);
  bucket.level += credit - std::exchange(bucket.start_credit, credit);
}

// Parts that nobody lent while the coordinator changed bring their tokens.
QuotaCoordinator::Bucket& QuotaCoordinator::Create(std::string_view group,
                                                   const RequestQuota& quota,
                                                   const Place& place) {
  Time begin = place.since;
  for (const QuotaPart& part : place.parts) {
    begin = std::min(begin, part.since);
  }
  const auto ended = ended_.find(group);
  if (ended != ended_.end()) {
    begin = std::max(begin, ended->second);
  }
  Bucket& bucket = buckets_[std::string(group)];
  bucket.refilled = begin + StartDelay(quota);
  return bucket;
}

QuotaCoordinator::Bucket& QuotaCoordinator::Refill(std::string_view group,
                                                   const RequestQuota& quota,
                                                   const Place& place,
                                                   Time now) {
  double reach = 0;
  for (const QuotaPart& part : place.parts) {
    reach += part.share;
  }
  const auto found = buckets_.find(group);
  const bool is_new = found == buckets_.end();
  Bucket& bucket = is_new ? Create(group, quota, place) : found->second;
  if (is_new) {
    SetQuota(bucket, quota, reach);
  }
  if (place.fleet_is_new) {
    OnNewFleet(bucket, place.since, now);
  }
  AddStartCredit(bucket, reach);
  AddTokens(bucket, place.parts, now);
  SetQuota(bucket, quota, reach);
  AddHandedOver(bucket, place, now);
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

// `age`: of the coordinator.
std::uint32_t QuotaCoordinator::SpareFor(const Bucket& bucket,
                                         const Borrower& borrower,
                                         Duration age) const {
  const double share = std::min(borrower.demand, bucket.fair_rate);
  double total = kSpareSeconds * bucket.rate;
  if (bucket.demand > bucket.rate ||
      (bucket.fleet_is_new && age < limits_.window)) {
    // The group uses all that it may, or may have used it before the restart: a
    // window has no room for more than what is saved up and what the next
    // coordinator does not lend at first.
    total = std::min(
        total, std::max(0.0, bucket.level) + kStartDelaySeconds * bucket.rate);
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
  const double before = bucket.level;
  bucket.level =
      std::max(bucket.level,
               std::min({bucket.level + need.returned, bucket.size, room}));
  if (now - place.since < kProvisionalPeriod) {
    bucket.handed_over += need.returned - (bucket.level - before);
  }
  bucket.level -= static_cast<double>(need.spare_used);
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
  const Duration age = now - place.since;
  const Duration provisional_period =
      bucket.fleet_is_new ? kNewFleetProvisionalPeriod : kProvisionalPeriod;
  const bool is_provisional = age < provisional_period || place.parts.empty();
  if (loan.tokens < need.waiting || has_none || shared) {
    loan.next_token_in = NextTokenIn(bucket);
    // What is asked of a new coordinator includes what was refused before.
    loan.overloaded =
        bucket.demand > kOverload * bucket.rate && age >= limits_.window;
    loan.provisional = is_provisional;
  }
  // While this coordinator is new, borrowers have those of the one before. In a
  // new fleet they have none, and a window has no room for any.
  const bool lends_spare =
      !(bucket.fleet_is_new ? is_provisional : loan.provisional);
  borrower.spare = loan.spare =
      lends_spare ? SpareFor(bucket, borrower, age) : 0;
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
    // The next coordinator begins with a credit of its own.
    const double left = bucket.level - bucket.start_credit;
    if (std::abs(left) >= 1) {
      remainders.push_back({group, bucket.quota,
                            static_cast<std::uint32_t>(std::max(0.0, left)),
                            static_cast<std::uint32_t>(std::max(0.0, -left))});
    }
    ended_.insert_or_assign(group, now);
    it = buckets_.erase(it);
  }
  std::erase_if(ended_, [&](const auto& entry) {
    return peers.CoordinatorOf(entry.first).empty();
  });
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
      // The parts that are not here pay for the rest.
      bucket.level -= found->second.spare * bucket.rate /
                      std::max(bucket.quota.per_second, bucket.rate);
      bucket.spare -= found->second.spare;
      found->second.spare = 0;
    }
  }
}

}  // namespace verbenastile
