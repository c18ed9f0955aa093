#include "core/balancer.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/invariant.h"

namespace verbenastile {
namespace {

constexpr std::uint32_t kNone = UpstreamHandle::kInvalidIndex;
constexpr std::int64_t kPermille = 1000;
// A new sample's part of a moving average is one in this many.
constexpr std::int64_t kAverageOver = 8;
constexpr std::int64_t kLatencyOver = 16;
// What was observed or reported counts half after this time.
constexpr Duration kObservationHalfLife = std::chrono::seconds(2);
constexpr std::int64_t kMaxHalvings = 20;
constexpr std::int64_t kSuspectPenaltyPermille = 500;
constexpr std::int64_t kFirstLatencyUs = 1000;
constexpr int kSampleTries = 4;
constexpr std::uint32_t kMaxEjectionDoublings = 8;
// Pools up to this size are compared whole, larger ones by samples.
constexpr std::size_t kMaxCompared = 6;
constexpr std::size_t kSamplesOfTier = 3;
// Calls that came since an instance told its load, beyond these, are those
// that it has ended.
constexpr Duration kLoadFresh = std::chrono::milliseconds(500);
// The part of an instance's load that counts though it has free slots: others
// choose by the same news.
constexpr std::int64_t kFreeSlotPart = 4;
// Expected times differ at random by up to this part, so that nodes with the
// same news do not all choose the same instance.
constexpr std::int64_t kTimeJitterPermille = 100;
constexpr std::int64_t kMaxSlownessPermille = 20'000;
constexpr std::int64_t kMostExpected = 60'000'000;  // Microseconds.
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(50);

std::int64_t Faded(std::int64_t value, Time since, Time now) {
  const std::int64_t halvings = (now - since) / kObservationHalfLife;
  return value >> std::clamp<std::int64_t>(halvings, 0, kMaxHalvings);
}

void MoveAverage(std::int64_t& average,
                 std::int64_t sample,
                 std::int64_t over = kAverageOver) {
  average += (sample - average) / over;
}

bool IsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kFailed ||
         outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kUnknown;
}

bool TakesNewWork(const Member& member) {
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
  if (revision_ == directory.revision()) {
    return;
  }
  revision_ = directory.revision();
  bool changed = ForgetMissing(directory);
  auto known = by_name_.begin();
  for (const auto& [name, member] : directory.members()) {
    // Both are in the order of names, and nothing known is missing there.
    if (known == by_name_.end() || known->first != name) {
      known = by_name_.emplace_hint(known, name, Add(member, now));
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

bool Balancer::ForgetMissing(const MemberDirectory& directory) {
  auto member = directory.members().begin();
  const auto end = directory.members().end();
  const std::size_t forgotten = std::erase_if(by_name_, [&](const auto& entry) {
    while (member != end && member->first < entry.first) {
      ++member;
    }
    if (member != end && member->first == entry.first) {
      return false;
    }
    Upstream& upstream = upstreams_[entry.second];
    upstream.used = false;
    ++upstream.generation;
    free_.push_back(entry.second);
    return true;
  });
  return forgotten > 0;
}

std::uint32_t Balancer::Add(const Member& member, Time now) {
  std::uint32_t index = 0;
  if (free_.empty()) {
    index = static_cast<std::uint32_t>(upstreams_.size());
    upstreams_.emplace_back(init_.chart);
  } else {
    index = free_.back();
    free_.pop_back();
    const std::uint32_t generation = upstreams_[index].generation;
    upstreams_[index] = Upstream(init_.chart);
    upstreams_[index].generation = generation;
  }
  Upstream& upstream = upstreams_[index];
  upstream.member = member;
  upstream.tier = TierOf(member);
  StartWarmUp(upstream, now);
  if (!TakesNewWork(member)) {
    Fire(upstream, "leaving", now);
  }
  return index;
}

bool Balancer::Update(Upstream& upstream, const Member& member, Time now) {
  if (upstream.member == member) {
    return false;
  }
  const bool served = TakesNewWork(upstream.member);
  const bool serves = TakesNewWork(member);
  upstream.member = member;
  upstream.tier = TierOf(member);
  if (served && !serves) {
    Fire(upstream, "leaving", now);
  } else if (!served && serves) {
    Fire(upstream, "back", now);
  }
  return true;
}

std::size_t Balancer::TierOf(const Member& member) const {
  if (member.region != init_.region) {
    return 2;
  }
  return member.failure_domain == init_.failure_domain ? 0 : 1;
}

void Balancer::RebuildPools() {
  pools_.clear();
  for (const auto& [name, index] : by_name_) {
    const Upstream& upstream = upstreams_[index];
    if (upstream.health == UpstreamHealth::kLeaving) {
      continue;
    }
    Pool& pool = pools_[upstream.member.service];
    ++pool.members;
    const bool aside = upstream.health == UpstreamHealth::kEjected ||
                       upstream.health == UpstreamHealth::kProbing;
    if (name == init_.self && !aside) {
      pool.own = index;
    }
    (aside ? pool.aside : pool.tiers[upstream.tier]).push_back(index);
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
  upstream.sampled = now;
  upstream.load_reported = now;
  upstream.latency_us = kFirstLatencyUs;
  upstream.refusals_permille = 0;
  upstream.failures_permille = 0;
  upstream.samples = 0;
  upstream.failures_in_a_row = 0;
  upstream.load_permille = 0;
  upstream.wanted = 0;
  upstream.sent_since_report = 0;
  upstream.slowness_permille = kPermille;
  upstream.slowness_sampled = now;
}

void Balancer::Eject(Upstream& upstream, Time now) {
  const auto doublings = std::min(upstream.ejections, kMaxEjectionDoublings);
  const Duration time = init_.limits.first_ejection * (1U << doublings);
  upstream.ejected_until = now + std::min(time, init_.limits.max_ejection);
  ++upstream.ejections;
  ++stats_.ejections;
}

void Balancer::Advance(Upstream& upstream, Time now) {
  if (upstream.health == UpstreamHealth::kCold &&
      now - upstream.health_since >= init_.limits.warm_up) {
    upstream.ejections = 0;
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
  if (probe != kNone) {
    ++stats_.probes;
    return HandleAt(probe);
  }
  if (query.away_cost) {
    const std::uint32_t safest = LeastRisk(pool, query, now, random);
    return HandleAt(safest == kNone ? LastResort(pool, query) : safest);
  }
  std::uint32_t best = kNone;
  std::int64_t best_pressure = 0;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const auto index = BetterOfTwo(pool.tiers[tier], query, now, random);
    if (index == kNone) {
      continue;
    }
    const auto pressure = PressurePermille(upstreams_[index], now);
    if (best == kNone || pressure < best_pressure) {
      stats_.spilled += best == kNone ? 0 : 1;
      best = index;
      best_pressure = pressure;
    }
    if (best_pressure < init_.limits.spill_permille) {
      break;
    }
  }
  return HandleAt(best == kNone ? LastResort(pool, query) : best);
}

std::uint32_t Balancer::ChooseProbe(const Pool& pool,
                                    const ChooseQuery& query,
                                    Time now) {
  for (const std::uint32_t index : pool.aside) {
    Upstream& upstream = upstreams_[index];
    Advance(upstream, now);
    // A call that may not probe does so when no other has for a while.
    const bool due = query.may_probe ||
                     now - upstream.health_since >= init_.limits.first_ejection;
    if (due && upstream.health == UpstreamHealth::kProbing &&
        upstream.probes_in_flight == 0 && !IsExcluded(index, query)) {
      return index;
    }
  }
  return kNone;
}

std::uint32_t Balancer::BetterOfTwo(const std::vector<std::uint32_t>& tier,
                                    const ChooseQuery& query,
                                    Time now,
                                    std::mt19937_64& random) {
  const std::uint32_t first = Sample(tier, query, kNone, now, random);
  if (first == kNone || tier.size() == 1) {
    return first;
  }
  const std::uint32_t second = Sample(tier, query, first, now, random);
  if (second == kNone) {
    return first;
  }
  return Score(upstreams_[second], now) < Score(upstreams_[first], now) ? second
                                                                        : first;
}

std::uint32_t Balancer::Sample(const std::vector<std::uint32_t>& tier,
                               const ChooseQuery& query,
                               std::uint32_t not_this,
                               Time now,
                               std::mt19937_64& random) {
  if (tier.empty()) {
    return kNone;
  }
  const std::size_t start = random() % tier.size();
  std::uint32_t fallback = kNone;
  for (int i = 0; i < kSampleTries; ++i) {
    const std::uint32_t index = tier[random() % tier.size()];
    if (index == not_this || IsExcluded(index, query)) {
      continue;
    }
    Advance(upstreams_[index], now);
    if (AcceptsCold(upstreams_[index], now, random)) {
      return index;
    }
    fallback = index;
  }
  for (std::size_t i = 0; i < tier.size() && fallback == kNone; ++i) {
    const std::uint32_t index = tier[(start + i) % tier.size()];
    if (index != not_this && !IsExcluded(index, query)) {
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

bool Balancer::AcceptsCold(const Upstream& upstream,
                           Time now,
                           std::mt19937_64& random) const {
  if (upstream.health != UpstreamHealth::kCold) {
    return true;
  }
  const std::int64_t passed = (now - upstream.health_since).count();
  const std::int64_t whole =
      std::max<std::int64_t>(init_.limits.warm_up.count(), 1);
  const std::int64_t share = std::max<std::int64_t>(
      passed * kPermille / whole, init_.limits.cold_share_permille);
  return static_cast<std::int64_t>(random() % kPermille) < share;
}

// The instance whose answer is least likely to be late, with what it costs to
// go there. The risk grows with the square of the expected time: well within
// the objective it hardly matters which instance is faster.
std::uint32_t Balancer::LeastRisk(const Pool& pool,
                                  const ChooseQuery& query,
                                  Time now,
                                  std::mt19937_64& random) {
  std::uint32_t best = kNone;
  std::int64_t best_risk = 0;
  const bool all = pool.members <= kMaxCompared;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const auto& members = pool.tiers[tier];
    const std::size_t count =
        all ? members.size() : std::min(members.size(), kSamplesOfTier);
    for (std::size_t i = 0; i < count; ++i) {
      std::uint32_t index = members[i];
      if (!all) {
        // The instance on this machine is always one of the samples.
        const bool own = tier == 0 && i == 0 && pool.own;
        index = own ? *pool.own : members[random() % members.size()];
      }
      if (IsExcluded(index, query)) {
        continue;
      }
      Advance(upstreams_[index], now);
      const auto jitter =
          static_cast<std::int64_t>(random() % (2 * kTimeJitterPermille));
      const std::int64_t expected =
          ExpectedTime(upstreams_[index], query, now) *
          (kPermille - kTimeJitterPermille + jitter) / kPermille;
      const std::int64_t objective =
          std::max(query.objective, kDefaultServiceTime).count();
      const std::int64_t risk =
          expected * std::min(expected, kMostExpected) / objective +
          query.away_cost->count() * static_cast<std::int64_t>(tier);
      if (best == kNone || risk < best_risk) {
        best = index;
        best_risk = risk;
      }
    }
  }
  return best;
}

// Microseconds until an answer: the wait for a slot and the time in it.
std::int64_t Balancer::ExpectedTime(const Upstream& upstream,
                                    const ChooseQuery& query,
                                    Time now) const {
  const std::int64_t mean =
      (query.service_time > Duration::zero() ? query.service_time
                                             : kDefaultServiceTime)
          .count();
  const std::int64_t slowness =
      kPermille + (upstream.slowness_permille >= kPermille ? 1 : -1) *
                      Faded(std::abs(upstream.slowness_permille - kPermille),
                            upstream.slowness_sampled, now);
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const bool fresh = now - upstream.load_reported < kLoadFresh;
  const std::int64_t told =
      Faded(upstream.wanted, upstream.load_reported, now) +
      (fresh ? upstream.sent_since_report : 0);
  const std::int64_t load =
      std::max<std::int64_t>(told, upstream.in_flight) + 1;
  const std::int64_t waiting = std::max<std::int64_t>(load - slots, 0);
  std::int64_t penalty =
      kPermille + 4 * Faded(upstream.refusals_permille, upstream.sampled, now) +
      4 * Faded(upstream.failures_permille, upstream.sampled, now);
  if (upstream.health == UpstreamHealth::kCold) {
    penalty += kPermille;
  }
  const std::int64_t in_slot = mean * slowness / kPermille;
  const std::int64_t parts = kPermille + waiting * kPermille / slots +
                             load * kPermille / slots / kFreeSlotPart;
  return (in_slot * parts / kPermille + LinkTime(upstream, query, now)) *
         penalty / kPermille;
}

// Links have sent on since their wait was told.
std::int64_t Balancer::LinkTime(const Upstream& upstream,
                                const ChooseQuery& query,
                                Time now) const {
  const bool none =
      query.link_time == Duration::zero() || upstream.member.name == init_.self;
  if (none) {
    return 0;
  }
  const Duration wait = upstream.link_wait - (now - upstream.load_reported);
  return (query.link_time + std::max(wait, Duration::zero())).count();
}

// With all others tried, one that is aside is better than none.
std::uint32_t Balancer::LastResort(const Pool& pool,
                                   const ChooseQuery& query) const {
  for (const std::uint32_t index : pool.aside) {
    if (!IsExcluded(index, query)) {
      return index;
    }
  }
  return kNone;
}

std::int64_t Balancer::Score(const Upstream& upstream, Time now) const {
  // An old observation fades to what is assumed of a new instance.
  const std::int64_t latency = std::max(
      Faded(upstream.latency_us, upstream.sampled, now),
      std::clamp<std::int64_t>(upstream.latency_us, 1, kFirstLatencyUs));
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const std::int64_t waiting =
      (upstream.in_flight + 1) * kPermille / slots +
      Faded(upstream.load_permille, upstream.load_reported, now);
  std::int64_t penalty =
      kPermille + 4 * Faded(upstream.refusals_permille, upstream.sampled, now) +
      4 * Faded(upstream.failures_permille, upstream.sampled, now);
  if (upstream.member.state == MemberState::kSuspect) {
    penalty += kSuspectPenaltyPermille;
  }
  return latency * (kPermille + waiting) / kPermille * penalty / kPermille;
}

std::int64_t Balancer::PressurePermille(const Upstream& upstream,
                                        Time now) const {
  const std::int64_t slots = std::max<std::int64_t>(upstream.member.slots, 1);
  const std::int64_t own = upstream.in_flight * kPermille / slots;
  const std::int64_t told =
      Faded(upstream.load_permille, upstream.load_reported, now);
  const std::int64_t refused =
      2 * Faded(upstream.refusals_permille, upstream.sampled, now);
  return std::max({own, told, refused});
}

void Balancer::OnStarted(UpstreamHandle handle, Time now) {
  Upstream* upstream = Get(handle);
  if (upstream == nullptr) {
    return;
  }
  CheckInvariant(upstream->health != UpstreamHealth::kLeaving,
                 "no_new_work_to_leaving", upstream->member.name);
  Advance(*upstream, now);
  ++upstream->in_flight;
  ++upstream->sent_since_report;
  if (upstream->health == UpstreamHealth::kProbing) {
    ++upstream->probes_in_flight;
  }
}

void Balancer::OnEnded(UpstreamHandle handle,
                       AttemptOutcome outcome,
                       Duration latency,
                       Time now) {
  Upstream* upstream = Get(handle);
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
      Faded(upstream->refusals_permille, upstream->sampled, now);
  upstream->failures_permille =
      Faded(upstream->failures_permille, upstream->sampled, now);
  upstream->sampled = now;
  const bool refused = outcome == AttemptOutcome::kRefused;
  MoveAverage(upstream->refusals_permille, refused ? kPermille : 0);
  // Quick failures must not make an instance look fast.
  const bool slower = latency.count() > upstream->latency_us;
  if (outcome == AttemptOutcome::kAnswered ||
      (outcome == AttemptOutcome::kUnknown && slower)) {
    MoveAverage(upstream->latency_us, latency.count(), kLatencyOver);
  }
  if (upstream->health == UpstreamHealth::kProbing) {
    if (now - latency >= upstream->health_since) {
      OnProbeEnded(*upstream, outcome, now);
    }
    return;
  }
  Judge(*upstream, outcome, now);
}

void Balancer::OnProbeEnded(Upstream& upstream,
                            AttemptOutcome outcome,
                            Time now) {
  upstream.probes_in_flight -= upstream.probes_in_flight > 0 ? 1 : 0;
  Fire(upstream, IsFailure(outcome) ? "probe_failed" : "probe_passed", now);
  RebuildPools();
}

void Balancer::Judge(Upstream& upstream, AttemptOutcome outcome, Time now) {
  const bool failed = IsFailure(outcome);
  MoveAverage(upstream.failures_permille, failed ? kPermille : 0);
  upstream.failures_in_a_row = failed ? upstream.failures_in_a_row + 1 : 0;
  ++upstream.samples;
  const BalancerLimits& limits = init_.limits;
  const bool rate_high =
      upstream.samples >= limits.min_samples &&
      upstream.failures_permille >= limits.failure_rate_permille;
  const bool high =
      rate_high || upstream.failures_in_a_row >= limits.failures_in_a_row;
  const bool serving = upstream.health == UpstreamHealth::kCold ||
                       upstream.health == UpstreamHealth::kHealthy;
  if (!failed || !high || !serving) {
    return;
  }
  if (!MayEject(upstream)) {
    ++stats_.capped;
    return;
  }
  Fire(upstream, "failures_high", now);
  RebuildPools();
}

bool Balancer::MayEject(const Upstream& upstream) const {
  const auto found = pools_.find(upstream.member.service);
  if (found == pools_.end() || found->second.members < 2) {
    return false;
  }
  const Pool& pool = found->second;
  const std::size_t cap = std::max<std::size_t>(
      1, pool.members * init_.limits.max_ejected_permille / kPermille);
  return pool.aside.size() < cap;
}

void Balancer::OnLoad(UpstreamHandle handle, UpstreamLoad load, Time now) {
  Upstream* upstream = Get(handle);
  if (upstream == nullptr) {
    return;
  }
  const std::int64_t slots = std::max<std::int64_t>(upstream->member.slots, 1);
  const std::int64_t wanted =
      static_cast<std::int64_t>(load.busy) + load.queued;
  upstream->load_permille = wanted * kPermille / slots;
  upstream->load_reported = now;
  upstream->wanted = wanted;
  upstream->link_wait = load.link_wait;
  upstream->sent_since_report = 0;
}

void Balancer::OnServiceTime(UpstreamHandle handle,
                             Duration taken,
                             Duration mean,
                             Time now) {
  Upstream* upstream = Get(handle);
  if (upstream == nullptr || mean <= Duration::zero()) {
    return;
  }
  const std::int64_t sample = std::min<std::int64_t>(
      taken.count() * kPermille / mean.count(), kMaxSlownessPermille);
  MoveAverage(upstream->slowness_permille, sample);
  upstream->slowness_sampled = now;
}

const Balancer::Upstream* Balancer::Get(UpstreamHandle handle) const {
  if (handle.index >= upstreams_.size()) {
    return nullptr;
  }
  const Upstream& upstream = upstreams_[handle.index];
  const bool same = upstream.used && upstream.generation == handle.generation;
  return same ? &upstream : nullptr;
}

Balancer::Upstream* Balancer::Get(UpstreamHandle handle) {
  return const_cast<Upstream*>(std::as_const(*this).Get(handle));
}

UpstreamHandle Balancer::HandleAt(std::uint32_t index) const {
  if (index == kNone) {
    return {};
  }
  return {index, upstreams_[index].generation};
}

const Member* Balancer::Find(UpstreamHandle handle) const {
  const Upstream* upstream = Get(handle);
  return upstream == nullptr ? nullptr : &upstream->member;
}

UpstreamHandle Balancer::HandleOf(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? UpstreamHandle{} : HandleAt(found->second);
}

std::optional<UpstreamHealth> Balancer::HealthOf(UpstreamHandle handle) const {
  const Upstream* upstream = Get(handle);
  if (upstream == nullptr) {
    return std::nullopt;
  }
  return upstream->health;
}

std::uint32_t Balancer::InFlight(UpstreamHandle handle) const {
  const Upstream* upstream = Get(handle);
  return upstream == nullptr ? 0 : upstream->in_flight;
}

}  // namespace verbenastile
