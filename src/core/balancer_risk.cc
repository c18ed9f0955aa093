// The choice of the instance with the least risk of a late answer.
#include <algorithm>
#include <cstdlib>

#include "core/balancer.h"
#include "core/decayed_value.h"

namespace verbenastile {
namespace {

constexpr std::uint32_t kNoIndex = UpstreamHandle::kInvalidIndex;
constexpr std::int64_t kPermille = 1000;
// `ChooseLeastRisk` compares all instances of services up to this size, and
// random samples of each tier of larger ones.
constexpr std::size_t kMaxFullyCompared = 6;
constexpr std::size_t kSamplesPerTier = 3;
// Further samples of the nearest tier where the paces of instances count in
// full.
constexpr std::size_t kPaceSamples = 5;
// Calls sent since the last load report are added to the reported load while
// the report is younger than this. Later, the instance is assumed to have ended
// as many calls as it was sent.
constexpr Duration kLoadReportFreshness = std::chrono::milliseconds(500);
// One part in this many of an instance's load counts even if it has free slots,
// because other nodes select by the same load report.
constexpr std::int64_t kFreeSlotLoadDivisor = 4;
// Expected latencies vary at random by up to this share in both directions, so
// that nodes with the same load reports do not all select the same instance.
constexpr std::int64_t kLatencyJitterPermille = 100;
constexpr std::int64_t kMaxExpectedLatencyUs = 60'000'000;
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(50);

}  // namespace

// Returns the instance with the lowest sum of the risk of a late answer and the
// cost of its tier. The risk grows with the square of the expected latency, so
// that differences well within the objective hardly matter.
std::uint32_t Balancer::ChooseLeastRisk(const Pool& pool,
                                        const ChooseQuery& query,
                                        Time now,
                                        std::mt19937_64& random) {
  std::uint32_t best = kNoIndex;
  std::int64_t best_risk = 0;
  const bool compare_all = pool.member_count <= kMaxFullyCompared;
  const std::size_t near_samples =
      kSamplesPerTier +
      kPaceSamples * static_cast<std::size_t>(query.pace_weight_permille) /
          kPermille;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const auto& members = pool.tiers[tier];
    const std::size_t count =
        compare_all ? members.size()
                    : std::min(members.size(),
                               tier == 0 ? near_samples : kSamplesPerTier);
    for (std::size_t i = 0; i < count; ++i) {
      std::uint32_t index = members[i];
      if (!compare_all) {
        // The samples always include the instance on this machine.
        const bool use_local = tier == 0 && i == 0 && pool.local;
        index = use_local ? *pool.local : members[random() % members.size()];
      }
      if (IsExcluded(index, query)) {
        continue;
      }
      AdvanceHealth(upstreams_[index], now);
      const std::int64_t risk = RiskUs(upstreams_[index], query, now, random);
      if (best == kNoIndex || risk < best_risk) {
        best = index;
        best_risk = risk;
      }
    }
  }
  return best;
}

std::int64_t Balancer::RiskUs(const Upstream& upstream,
                              const ChooseQuery& query,
                              Time now,
                              std::mt19937_64& random) const {
  const auto jitter =
      static_cast<std::int64_t>(random() % (2 * kLatencyJitterPermille));
  const std::int64_t expected = ExpectedLatencyUs(upstream, query, now) *
                                (kPermille - kLatencyJitterPermille + jitter) /
                                kPermille;
  const std::int64_t objective =
      std::max(query.objective, kDefaultServiceTime).count();
  return expected * std::min(expected, kMaxExpectedLatencyUs) / objective +
         TierCostUs(upstream, query);
}

// The calls at the instance, as far as this node knows.
std::int64_t Balancer::KnownCalls(const Upstream& upstream, Time now) {
  const bool fresh = now - upstream.load_reported_at < kLoadReportFreshness;
  const std::int64_t reported =
      Decayed(upstream.reported_calls, upstream.load_reported_at, now) +
      (fresh ? upstream.sent_since_report : 0);
  return std::max<std::int64_t>(reported, upstream.in_flight);
}

// How much longer than usual the instance takes. What this node measured last
// decays to what the instance's node tells, as far as the query counts that.
std::int64_t Balancer::SlownessPermille(const Upstream& upstream,
                                        const ChooseQuery& query,
                                        Time now) {
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const std::int64_t told = CountedSlownessPermille(
      upstream.told_slowness_permille, query.pace_weight_permille,
      KnownCalls(upstream, now) * kPermille / slots);
  const std::int64_t difference = upstream.slowness_permille - told;
  const std::int64_t decayed =
      Decayed(std::abs(difference), upstream.slowness_updated_at, now);
  return told + (difference >= 0 ? decayed : -decayed);
}

// The expected latency in microseconds: the wait for a slot, the service time,
// and the transfer over the links, scaled by a penalty for refusals, failures
// and warm-up.
std::int64_t Balancer::ExpectedLatencyUs(const Upstream& upstream,
                                         const ChooseQuery& query,
                                         Time now) const {
  const std::int64_t mean =
      (query.service_time > Duration::zero() ? query.service_time
                                             : kDefaultServiceTime)
          .count();
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const std::int64_t load = KnownCalls(upstream, now) + 1;
  const std::int64_t waiting = std::max<std::int64_t>(load - slots, 0);
  std::int64_t penalty =
      kPermille +
      4 * Decayed(upstream.refusals_permille, upstream.last_outcome_at, now) +
      4 * Decayed(upstream.failures_permille, upstream.last_outcome_at, now);
  if (upstream.health == UpstreamHealth::kCold) {
    penalty += kPermille;
  }
  const std::int64_t in_slot =
      mean * SlownessPermille(upstream, query, now) / kPermille;
  const std::int64_t load_factor =
      kPermille + waiting * kPermille / slots +
      load * kPermille / slots / kFreeSlotLoadDivisor;
  return (in_slot * load_factor / kPermille +
          LinkTimeUs(upstream, query, now)) *
             penalty / kPermille +
         RateLimitDelay(upstream, now).count();
}

// The delay that the instance's node reported, or until this node's turn if
// that is later: with an equal part of the limit for each node, nodes that act
// on the same report do not all send their next call at once. The limit itself
// is kept by the instance's node.
Duration Balancer::RateLimitDelay(const Upstream& upstream, Time now) const {
  if (!upstream.rate_limit) {
    return Duration::zero();
  }
  const Duration reported =
      upstream.rate_limit_delay - (now - upstream.load_reported_at);
  return std::max(
      {reported, upstream.next_within_rate_limit - now, Duration::zero()});
}

// The transfer time and the reported queueing delay of the link. The link has
// drained its queue since the report, so the age of the report is subtracted.
std::int64_t Balancer::LinkTimeUs(const Upstream& upstream,
                                  const ChooseQuery& query,
                                  Time now) const {
  const bool no_transfer =
      query.link_time == Duration::zero() || upstream.member.name == init_.self;
  if (no_transfer) {
    return 0;
  }
  const Duration wait = upstream.link_wait - (now - upstream.load_reported_at);
  return (query.link_time + std::max(wait, Duration::zero())).count();
}

}  // namespace verbenastile
