#include "core/fleet_retry_budget.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::uint64_t kPermille = 1'000;
// A rule that fails alone gets half of the budget at once and the rest over the
// window, because another rule may begin to fail a moment later.
constexpr std::size_t kMinSharingRules = 2;
// The expected total demand of a rule, as a multiple of its demand so far: a
// fault that lasts some seconds may have just begun.
constexpr std::uint64_t kExpectedDemandFactor = 4;

}  // namespace

FleetRetryBudget::FleetRetryBudget(const FleetRetryBudgetLimits& limits,
                                   Time start)
    : limits_(limits), start_(start) {}

FleetRetryBudget::ServiceBudget& FleetRetryBudget::BudgetFor(
    std::string_view service) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, ServiceBudget{}).first;
  }
  return found->second;
}

std::int64_t FleetRetryBudget::BucketIndexAt(Time now) const {
  return now.time_since_epoch() / (limits_.window / kBucketsPerWindow);
}

FleetRetryBudget::Bucket& FleetRetryBudget::BucketAt(Buckets& buckets,
                                                     std::int64_t index) {
  Bucket& bucket =
      buckets[static_cast<std::size_t>(index) % (kBucketsPerWindow + 1)];
  if (bucket.index != index) {
    bucket = Bucket{};
    bucket.index = index;
  }
  return bucket;
}

FleetRetryBudget::WindowTotals FleetRetryBudget::SumWindow(
    const Buckets& buckets,
    std::int64_t index) {
  WindowTotals totals;
  for (const Bucket& bucket : buckets) {
    const std::int64_t age = index - bucket.index;
    if (age < 0 || age > static_cast<std::int64_t>(kBucketsPerWindow)) {
      continue;
    }
    // The oldest bucket lies partly before the window. Its retries count and
    // its requests do not, so that the sum errs on the strict side.
    totals.retries += bucket.retries;
    totals.surplus += bucket.surplus;
    totals.demand += bucket.demand;
    totals.requests += age < static_cast<std::int64_t>(kBucketsPerWindow)
                           ? bucket.requests
                           : 0;
  }
  return totals;
}

void FleetRetryBudget::OnRequest(std::string_view service, Time now) {
  ++BucketAt(BudgetFor(service).all, BucketIndexAt(now)).requests;
}

std::uint64_t FleetRetryBudget::Allowed(const WindowTotals& all,
                                        std::size_t nodes,
                                        Time now) const {
  const bool ran_full_window = now - start_ >= limits_.window;
  const std::uint64_t fixed = ran_full_window
                                  ? limits_.fixed_allowance * kPermille /
                                        std::max<std::size_t>(nodes, 1)
                                  : 0;
  return (all.requests * limits_.ratio_permille + fixed) *
         limits_.usable_permille / kPermille / kPermille;
}

std::uint64_t FleetRetryBudget::ReservedFor(const Buckets& rule,
                                            std::uint64_t fair_share,
                                            std::int64_t index) {
  const WindowTotals totals = SumWindow(rule, index);
  const std::uint64_t expected =
      std::min(kExpectedDemandFactor * totals.demand, fair_share);
  return expected - std::min(expected, totals.retries);
}

FleetRetryBudget::Grant FleetRetryBudget::GrantFor(ServiceBudget& budget,
                                                   std::string_view rule,
                                                   std::uint64_t allowed,
                                                   std::int64_t index) {
  const std::uint64_t used = SumWindow(budget.all, index).retries;
  if (used + 1 > allowed) {
    return Grant::kDenied;
  }
  const std::uint64_t fair_share =
      allowed / std::max(budget.rules.size(), kMinSharingRules);
  std::uint64_t used_of_fair_share = 0;
  // Retries that the other rules may still take from their fair shares.
  std::uint64_t reserved_for_others = 0;
  for (const auto& [name, buckets] : budget.rules) {
    const WindowTotals totals = SumWindow(buckets, index);
    if (name == rule) {
      used_of_fair_share = totals.retries - totals.surplus;
    } else {
      reserved_for_others += ReservedFor(buckets, fair_share, index);
    }
  }
  if (used_of_fair_share + 1 <= fair_share) {
    return Grant::kFairShare;
  }
  const std::uint64_t recent_surplus = BucketAt(budget.all, index).surplus +
                                       BucketAt(budget.all, index - 1).surplus;
  const std::uint64_t surplus_of_two_buckets = std::max<std::uint64_t>(
      (allowed - fair_share) * 2 / kBucketsPerWindow, 1);
  const bool available = used + 1 + reserved_for_others <= allowed &&
                         recent_surplus < surplus_of_two_buckets;
  return available ? Grant::kSurplus : Grant::kDenied;
}

bool FleetRetryBudget::TryTake(std::string_view service,
                               std::string_view rule,
                               std::size_t nodes,
                               Time now) {
  ServiceBudget& budget = BudgetFor(service);
  const std::int64_t index = BucketIndexAt(now);
  std::erase_if(budget.rules, [&](const auto& entry) {
    return SumWindow(entry.second, index).demand == 0;
  });
  auto found = budget.rules.find(rule);
  if (found == budget.rules.end()) {
    found = budget.rules.emplace(rule, Buckets{}).first;
  }
  Bucket& bucket = BucketAt(found->second, index);
  ++bucket.demand;
  const std::uint64_t allowed =
      Allowed(SumWindow(budget.all, index), nodes, now);
  const Grant grant = GrantFor(budget, rule, allowed, index);
  if (grant == Grant::kDenied) {
    return false;
  }
  for (Bucket* updated : {&bucket, &BucketAt(budget.all, index)}) {
    ++updated->retries;
    updated->surplus += grant == Grant::kSurplus ? 1 : 0;
  }
  return true;
}

bool FleetRetryBudget::TryTakeSpare(std::string_view service,
                                    std::uint32_t reserve_permille,
                                    std::size_t nodes,
                                    Time now) {
  ServiceBudget& budget = BudgetFor(service);
  const std::int64_t index = BucketIndexAt(now);
  const WindowTotals totals = SumWindow(budget.all, index);
  const std::uint64_t allowed = Allowed(totals, nodes, now);
  const std::uint64_t fair_share =
      allowed / std::max(budget.rules.size(), kMinSharingRules);
  std::uint64_t kept = allowed * reserve_permille / kPermille;
  for (const auto& [name, buckets] : budget.rules) {
    kept += ReservedFor(buckets, fair_share, index);
  }
  if (totals.retries + kept + 1 > allowed) {
    return false;
  }
  ++BucketAt(budget.all, index).retries;
  return true;
}

void FleetRetryBudget::GiveBackSpare(std::string_view service, Time now) {
  Bucket& bucket = BucketAt(BudgetFor(service).all, BucketIndexAt(now));
  bucket.retries -= bucket.retries > 0 ? 1 : 0;
}

}  // namespace verbenastile
