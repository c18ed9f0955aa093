#include "core/balancer.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/decayed_value.h"
#include "core/invariant.h"
#include "core/rate_limiter.h"

namespace verbenastile {
namespace {

constexpr std::uint32_t kNoIndex = UpstreamHandle::kInvalidIndex;
constexpr std::int64_t kPermille = 1000;
// The weight of a new sample in an exponential moving average is one divided by
// this number.
constexpr std::int64_t kAverageDivisor = 8;
constexpr std::int64_t kLatencyAverageDivisor = 16;
constexpr std::int64_t kSuspectPenaltyPermille = 500;
constexpr std::int64_t kInitialLatencyUs = 1000;
constexpr int kMaxSampleAttempts = 4;
constexpr std::uint32_t kMaxEjectionDoublings = 8;
constexpr std::int64_t kMaxSlownessPermille = 20'000;
// Bounds of what an instance's node tells of its slowness.
constexpr std::int64_t kMinToldSlownessPermille = 250;
constexpr std::int64_t kMaxToldSlownessPermille = 4'000;
// Lower rate limits of instances count as this many calls per second.
constexpr double kMinRateLimit = RateLimiter::kMinCallsPerSecond;

void UpdateAverage(std::int64_t& average,
                   std::int64_t sample,
                   std::int64_t divisor = kAverageDivisor) {
  average += (sample - average) / divisor;
}

bool IsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kFailed ||
         outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kUnknown;
}

bool AcceptsNewCalls(const Member& member) {
  return member.state <= MemberState::kSuspect;
}

UpstreamHealth ParseHealth(std::string_view state) {
  constexpr std::pair<std::string_view, UpstreamHealth> kNames[] = {
      {"cold", UpstreamHealth::kCold},
      {"healthy", UpstreamHealth::kHealthy},
      {"ejected", UpstreamHealth::kEjected},
      {"probing", UpstreamHealth::kProbing},
  };
  for (const auto& [name, health] : kNames) {
    if (name == state) {
      return health;
    }
  }
  return UpstreamHealth::kLeaving;
}

}  // namespace

Balancer::Balancer(Init init) : init_(std::move(init)) {}

void Balancer::Sync(const MemberDirectory& directory, Time now) {
  if (directory_revision_ == directory.revision()) {
    return;
  }
  directory_revision_ = directory.revision();
  bool changed = RemoveMissing(directory);
  auto known = index_by_name_.begin();
  for (const auto& [name, member] : directory.members()) {
    // Both maps are sorted by name, and `RemoveMissing` has removed the
    // upstreams that are not in the directory.
    if (known == index_by_name_.end() || known->first != name) {
      known = index_by_name_.emplace_hint(known, name, Add(member, now));
      changed = true;
    } else {
      changed = Update(upstreams_[known->second], member, now) || changed;
    }
    ++known;
  }
  if (changed) {
    RebuildPools();
  }
}

bool Balancer::RemoveMissing(const MemberDirectory& directory) {
  auto member = directory.members().begin();
  const auto end = directory.members().end();
  const std::size_t removed =
      std::erase_if(index_by_name_, [&](const auto& entry) {
        while (member != end && member->first < entry.first) {
          ++member;
        }
        if (member != end && member->first == entry.first) {
          return false;
        }
        Upstream& upstream = upstreams_[entry.second];
        upstream.in_use = false;
        ++upstream.generation;
        free_indexes_.push_back(entry.second);
        return true;
      });
  return removed > 0;
}

std::uint32_t Balancer::Add(const Member& member, Time now) {
  std::uint32_t index = 0;
  if (free_indexes_.empty()) {
    index = static_cast<std::uint32_t>(upstreams_.size());
    upstreams_.emplace_back(init_.chart);
  } else {
    index = free_indexes_.back();
    free_indexes_.pop_back();
    const std::uint32_t generation = upstreams_[index].generation;
    upstreams_[index] = Upstream(init_.chart);
    upstreams_[index].generation = generation;
  }
  Upstream& upstream = upstreams_[index];
  upstream.member = member;
  upstream.tier = TierOf(member);
  StartWarmUp(upstream, now);
  if (!AcceptsNewCalls(member)) {
    Fire(upstream, "leaving", now);
  }
  return index;
}

bool Balancer::Update(Upstream& upstream, const Member& member, Time now) {
  if (upstream.member == member) {
    return false;
  }
  const bool accepted_before = AcceptsNewCalls(upstream.member);
  const bool accepts_now = AcceptsNewCalls(member);
  upstream.member = member;
  upstream.tier = TierOf(member);
  if (accepted_before && !accepts_now) {
    Fire(upstream, "leaving", now);
  } else if (!accepted_before && accepts_now) {
    Fire(upstream, "back", now);
  }
  return true;
}

void Balancer::SetHeld(const std::set<std::string, std::less<>>& names) {
  bool changed = false;
  for (const auto& [name, index] : index_by_name_) {
    const bool held = !names.empty() && names.contains(name);
    changed = std::exchange(upstreams_[index].held, held) != held || changed;
  }
  if (changed) {
    RebuildPools();
  }
}

bool Balancer::IsHeld(UpstreamHandle handle) const {
  const Upstream* upstream = Resolve(handle);
  return upstream != nullptr && upstream->held;
}

std::size_t Balancer::TierOf(const Member& member) const {
  if (member.region != init_.region) {
    return 2;
  }
  return member.failure_domain == init_.failure_domain ? 0 : 1;
}

void Balancer::RebuildPools() {
  pools_.clear();
  for (const auto& [name, index] : index_by_name_) {
    const Upstream& upstream = upstreams_[index];
    if (upstream.health == UpstreamHealth::kLeaving || upstream.held) {
      continue;
    }
    Pool& pool = pools_[upstream.member.service];
    ++pool.member_count;
    const bool out_of_rotation = upstream.health == UpstreamHealth::kEjected ||
                                 upstream.health == UpstreamHealth::kProbing;
    if (name == init_.self && !out_of_rotation) {
      pool.local = index;
    }
    (out_of_rotation ? pool.out_of_rotation : pool.tiers[upstream.tier])
        .push_back(index);
  }
}

void Balancer::Fire(Upstream& upstream, std::string_view event, Time now) {
  const FireResult result = upstream.machine.Fire(event);
  CheckInvariant(result.known, "upstream_health_event", event);
  if (!result.transitioned) {
    return;
  }
  upstream.health = ParseHealth(upstream.machine.state());
  upstream.health_since = now;
  for (const std::string& action : result.actions) {
    if (action == "start_warm_up") {
      StartWarmUp(upstream, now);
    } else if (action == "eject") {
      Eject(upstream, now);
    } else if (action == "admit_probe") {
      upstream.probes_in_flight = 0;
    }
  }
}

void Balancer::StartWarmUp(Upstream& upstream, Time now) {
  upstream.health_since = now;
  upstream.last_outcome_at = now;
  upstream.load_reported_at = now;
  upstream.latency_us = kInitialLatencyUs;
  upstream.refusals_permille = 0;
  upstream.failures_permille = 0;
  upstream.samples = 0;
  upstream.consecutive_failures = 0;
  upstream.load_permille = 0;
  upstream.reported_calls = 0;
  upstream.sent_since_report = 0;
  upstream.rate_limit_delay = Duration::zero();
  upstream.rate_limit.reset();
  upstream.slowness_permille = kPermille;
  upstream.slowness_updated_at = now;
  upstream.told_slowness_permille = 0;
}

void Balancer::Eject(Upstream& upstream, Time now) {
  const auto doublings =
      std::min(upstream.consecutive_ejections, kMaxEjectionDoublings);
  const Duration ejection_time =
      init_.limits.base_ejection_time * (1U << doublings);
  upstream.ejected_until =
      now + std::min(ejection_time, init_.limits.max_ejection_time);
  ++upstream.consecutive_ejections;
  ++stats_.ejections;
}

void Balancer::AdvanceHealth(Upstream& upstream, Time now) {
  if (upstream.health == UpstreamHealth::kCold &&
      now - upstream.health_since >= init_.limits.warm_up) {
    upstream.consecutive_ejections = 0;
    Fire(upstream, "warmed", now);
  } else if (upstream.health == UpstreamHealth::kEjected &&
             now >= upstream.ejected_until) {
    Fire(upstream, "ejection_over", now);
  }
}

UpstreamHandle Balancer::Choose(const ChooseQuery& query,
                                Time now,
                                std::mt19937_64& random) {
  const auto found = pools_.find(query.service);
  if (found == pools_.end()) {
    return {};
  }
  Pool& pool = found->second;
  ++stats_.choices;
  const std::uint32_t probe = ChooseProbe(pool, query, now);
  if (probe != kNoIndex) {
    ++stats_.probes;
    return HandleAt(probe);
  }
  if (query.remote_cost) {
    const std::uint32_t least_risk = ChooseLeastRisk(pool, query, now, random);
    return HandleAt(least_risk == kNoIndex ? ChooseLastResort(pool, query)
                                           : least_risk);
  }
  std::uint32_t best = kNoIndex;
  std::int64_t best_pressure = 0;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const auto index = BetterOfTwo(pool.tiers[tier], query, now, random);
    if (index == kNoIndex) {
      continue;
    }
    const auto pressure = PressurePermille(upstreams_[index], now);
    if (best == kNoIndex || pressure < best_pressure) {
      stats_.spilled += best == kNoIndex ? 0 : 1;
      best = index;
      best_pressure = pressure;
    }
    if (best_pressure < init_.limits.spill_permille) {
      break;
    }
  }
  return HandleAt(best == kNoIndex ? ChooseLastResort(pool, query) : best);
}

std::uint32_t Balancer::ChooseProbe(const Pool& pool,
                                    const ChooseQuery& query,
                                    Time now) {
  for (const std::uint32_t index : pool.out_of_rotation) {
    Upstream& upstream = upstreams_[index];
    AdvanceHealth(upstream, now);
    // If no call has probed the instance for a while, one without `may_probe`
    // does, so that the instance can return to rotation.
    const bool should_probe =
        query.may_probe ||
        now - upstream.health_since >= init_.limits.base_ejection_time;
    if (should_probe && upstream.health == UpstreamHealth::kProbing &&
        upstream.probes_in_flight == 0 && !IsExcluded(index, query)) {
      return index;
    }
  }
  return kNoIndex;
}

std::uint32_t Balancer::BetterOfTwo(const std::vector<std::uint32_t>& tier,
                                    const ChooseQuery& query,
                                    Time now,
                                    std::mt19937_64& random) {
  const std::uint32_t first = SampleTier(tier, query, kNoIndex, now, random);
  if (first == kNoIndex || tier.size() == 1) {
    return first;
  }
  const std::uint32_t second = SampleTier(tier, query, first, now, random);
  if (second == kNoIndex) {
    return first;
  }
  return Score(upstreams_[second], now) < Score(upstreams_[first], now) ? second
                                                                        : first;
}

std::uint32_t Balancer::SampleTier(const std::vector<std::uint32_t>& tier,
                                   const ChooseQuery& query,
                                   std::uint32_t skipped,
                                   Time now,
                                   std::mt19937_64& random) {
  if (tier.empty()) {
    return kNoIndex;
  }
  const std::size_t start = random() % tier.size();
  std::uint32_t fallback = kNoIndex;
  for (int i = 0; i < kMaxSampleAttempts; ++i) {
    const std::uint32_t index = tier[random() % tier.size()];
    if (index == skipped || IsExcluded(index, query)) {
      continue;
    }
    AdvanceHealth(upstreams_[index], now);
    if (PassesWarmUp(upstreams_[index], now, random)) {
      return index;
    }
    fallback = index;
  }
  for (std::size_t i = 0; i < tier.size() && fallback == kNoIndex; ++i) {
    const std::uint32_t index = tier[(start + i) % tier.size()];
    if (index != skipped && !IsExcluded(index, query)) {
      fallback = index;
    }
  }
  return fallback;
}

bool Balancer::IsExcluded(std::uint32_t index, const ChooseQuery& query) const {
  const UpstreamHandle handle = HandleAt(index);
  return std::find(query.excluded.begin(), query.excluded.end(), handle) !=
         query.excluded.end();
}

bool Balancer::PassesWarmUp(const Upstream& upstream,
                            Time now,
                            std::mt19937_64& random) const {
  if (upstream.health != UpstreamHealth::kCold) {
    return true;
  }
  const std::int64_t elapsed = (now - upstream.health_since).count();
  const std::int64_t warm_up =
      std::max<std::int64_t>(init_.limits.warm_up.count(), 1);
  const std::int64_t share = std::max<std::int64_t>(
      elapsed * kPermille / warm_up, init_.limits.min_warm_up_share_permille);
  return static_cast<std::int64_t>(random() % kPermille) < share;
}

// If all instances in rotation are excluded, one that is ejected or probing is
// better than none.
std::uint32_t Balancer::ChooseLastResort(const Pool& pool,
                                         const ChooseQuery& query) const {
  for (const std::uint32_t index : pool.out_of_rotation) {
    if (!IsExcluded(index, query)) {
      return index;
    }
  }
  return kNoIndex;
}

std::int64_t Balancer::Score(const Upstream& upstream, Time now) const {
  // An old latency decays to the one that is assumed for a new instance.
  const std::int64_t latency = std::max(
      Decayed(upstream.latency_us, upstream.last_outcome_at, now),
      std::clamp<std::int64_t>(upstream.latency_us, 1, kInitialLatencyUs));
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const std::int64_t waiting =
      (upstream.in_flight + 1) * kPermille / slots +
      Decayed(upstream.load_permille, upstream.load_reported_at, now);
  std::int64_t penalty =
      kPermille +
      4 * Decayed(upstream.refusals_permille, upstream.last_outcome_at, now) +
      4 * Decayed(upstream.failures_permille, upstream.last_outcome_at, now);
  if (upstream.member.state == MemberState::kSuspect) {
    penalty += kSuspectPenaltyPermille;
  }
  return latency * (kPermille + waiting) / kPermille * penalty / kPermille;
}

std::int64_t Balancer::PressurePermille(const Upstream& upstream,
                                        Time now) const {
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const std::int64_t in_flight = upstream.in_flight * kPermille / slots;
  const std::int64_t reported =
      Decayed(upstream.load_permille, upstream.load_reported_at, now);
  const std::int64_t refused =
      2 * Decayed(upstream.refusals_permille, upstream.last_outcome_at, now);
  return std::max({in_flight, reported, refused});
}

void Balancer::OnStarted(UpstreamHandle handle, Time now) {
  Upstream* upstream = Resolve(handle);
  if (upstream == nullptr) {
    return;
  }
  CheckInvariant(upstream->health != UpstreamHealth::kLeaving,
                 "no_new_work_to_leaving", upstream->member.name);
  AdvanceHealth(*upstream, now);
  ++upstream->in_flight;
  ++upstream->sent_since_report;
  if (upstream->rate_limit) {
    const auto nodes = static_cast<double>(index_by_name_.size());
    const double interval_s =
        nodes / std::max(*upstream->rate_limit, kMinRateLimit);
    upstream->next_within_rate_limit =
        now + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(interval_s));
  }
  if (upstream->health == UpstreamHealth::kProbing) {
    ++upstream->probes_in_flight;
  }
}

void Balancer::OnEnded(UpstreamHandle handle,
                       AttemptOutcome outcome,
                       Duration latency,
                       Time now) {
  Upstream* upstream = Resolve(handle);
  if (upstream == nullptr) {
    return;
  }
  CheckInvariant(upstream->in_flight > 0, "ends_once", upstream->member.name);
  upstream->in_flight -= upstream->in_flight > 0 ? 1 : 0;
  if (outcome == AttemptOutcome::kCancelled) {
    const bool probed = upstream->probes_in_flight > 0 &&
                        now - latency >= upstream->health_since;
    upstream->probes_in_flight -= probed ? 1 : 0;
    return;
  }
  upstream->refusals_permille =
      Decayed(upstream->refusals_permille, upstream->last_outcome_at, now);
  upstream->failures_permille =
      Decayed(upstream->failures_permille, upstream->last_outcome_at, now);
  upstream->last_outcome_at = now;
  const bool refused = outcome == AttemptOutcome::kRefused;
  UpdateAverage(upstream->refusals_permille, refused ? kPermille : 0);
  // Failures do not lower the latency: an instance that fails quickly must not
  // look fast.
  const bool slower = latency.count() > upstream->latency_us;
  if (outcome == AttemptOutcome::kAnswered ||
      (outcome == AttemptOutcome::kUnknown && slower)) {
    UpdateAverage(upstream->latency_us, latency.count(),
                  kLatencyAverageDivisor);
  }
  if (upstream->health == UpstreamHealth::kProbing) {
    if (now - latency >= upstream->health_since) {
      OnProbeEnded(*upstream, outcome, now);
    }
    return;
  }
  RecordOutcome(*upstream, outcome, now);
}

void Balancer::OnProbeEnded(Upstream& upstream,
                            AttemptOutcome outcome,
                            Time now) {
  upstream.probes_in_flight -= upstream.probes_in_flight > 0 ? 1 : 0;
  Fire(upstream, IsFailure(outcome) ? "probe_failed" : "probe_passed", now);
  RebuildPools();
}

void Balancer::RecordOutcome(Upstream& upstream,
                             AttemptOutcome outcome,
                             Time now) {
  const bool failed = IsFailure(outcome);
  UpdateAverage(upstream.failures_permille, failed ? kPermille : 0);
  upstream.consecutive_failures =
      failed ? upstream.consecutive_failures + 1 : 0;
  ++upstream.samples;
  const BalancerLimits& limits = init_.limits;
  const bool failure_rate_high =
      upstream.samples >= limits.min_samples &&
      upstream.failures_permille >= limits.failure_rate_permille;
  const bool too_many_failures =
      failure_rate_high ||
      upstream.consecutive_failures >= limits.max_consecutive_failures;
  const bool in_rotation = upstream.health == UpstreamHealth::kCold ||
                           upstream.health == UpstreamHealth::kHealthy;
  if (!failed || !too_many_failures || !in_rotation) {
    return;
  }
  if (!MayEject(upstream)) {
    ++stats_.ejections_capped;
    return;
  }
  Fire(upstream, "failures_high", now);
  RebuildPools();
}

bool Balancer::MayEject(const Upstream& upstream) const {
  const auto found = pools_.find(upstream.member.service);
  if (found == pools_.end() || found->second.member_count < 2) {
    return false;
  }
  const Pool& pool = found->second;
  const std::size_t cap = std::max<std::size_t>(
      1, pool.member_count * init_.limits.max_ejected_permille / kPermille);
  return pool.out_of_rotation.size() < cap;
}

void Balancer::OnLoadReport(UpstreamHandle handle,
                            UpstreamLoad load,
                            Time now) {
  Upstream* upstream = Resolve(handle);
  if (upstream == nullptr) {
    return;
  }
  const std::int64_t slots = std::max<std::int64_t>(upstream->member.slots, 1);
  const std::int64_t reported_calls =
      static_cast<std::int64_t>(load.busy) + load.queued;
  upstream->load_permille = reported_calls * kPermille / slots;
  upstream->load_reported_at = now;
  upstream->reported_calls = reported_calls;
  upstream->link_wait = load.link_wait;
  upstream->rate_limit_delay = load.rate_limit_delay;
  upstream->rate_limit = load.rate_limit;
  upstream->told_slowness_permille =
      load.slowness_permille == 0
          ? 0
          : std::clamp<std::int64_t>(load.slowness_permille,
                                     kMinToldSlownessPermille,
                                     kMaxToldSlownessPermille);
  if (!load.rate_limit) {
    upstream->next_within_rate_limit = now;
  }
  upstream->sent_since_report = 0;
}

void Balancer::OnServiceTime(UpstreamHandle handle,
                             Duration taken,
                             Duration mean,
                             Time now) {
  Upstream* upstream = Resolve(handle);
  if (upstream == nullptr || mean <= Duration::zero()) {
    return;
  }
  const std::int64_t sample = std::min<std::int64_t>(
      taken.count() * kPermille / mean.count(), kMaxSlownessPermille);
  UpdateAverage(upstream->slowness_permille, sample);
  upstream->slowness_updated_at = now;
}

const Balancer::Upstream* Balancer::Resolve(UpstreamHandle handle) const {
  if (handle.index >= upstreams_.size()) {
    return nullptr;
  }
  const Upstream& upstream = upstreams_[handle.index];
  const bool same = upstream.in_use && upstream.generation == handle.generation;
  return same ? &upstream : nullptr;
}

Balancer::Upstream* Balancer::Resolve(UpstreamHandle handle) {
  return const_cast<Upstream*>(std::as_const(*this).Resolve(handle));
}

UpstreamHandle Balancer::HandleAt(std::uint32_t index) const {
  if (index == kNoIndex) {
    return {};
  }
  return {index, upstreams_[index].generation};
}

const Member* Balancer::Find(UpstreamHandle handle) const {
  const Upstream* upstream = Resolve(handle);
  return upstream == nullptr ? nullptr : &upstream->member;
}

UpstreamHandle Balancer::HandleOf(std::string_view name) const {
  const auto found = index_by_name_.find(name);
  return found == index_by_name_.end() ? UpstreamHandle{}
                                       : HandleAt(found->second);
}

std::optional<UpstreamHealth> Balancer::HealthOf(UpstreamHandle handle) const {
  const Upstream* upstream = Resolve(handle);
  if (upstream == nullptr) {
    return std::nullopt;
  }
  return upstream->health;
}

std::uint32_t Balancer::InFlight(UpstreamHandle handle) const {
  const Upstream* upstream = Resolve(handle);
  return upstream == nullptr ? 0 : upstream->in_flight;
}

}  // namespace verbenastile
