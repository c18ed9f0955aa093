// Selects the upstream instance for an attempt of a call, from the outcomes and
// latencies that this node has observed and the load that instances report.
//
// Instances are grouped into locality tiers: the failure domain of this node,
// its region, and other regions. In each tier the better of two random
// instances is considered, and the search stops at the first tier where that
// instance is not overloaded. A query with `remote_cost` compares the instances
// of all tiers by their risk of a late answer instead.
//
// Failing instances are ejected and probed as charts/upstream_health.yaml
// defines. The ejected share of a service is capped, so that a false failure
// signal, such as a broken network of this node, cannot eject all instances.
#ifndef CORE_BALANCER_H_
#define CORE_BALANCER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/attempt_outcome.h"
#include "core/domain_spill.h"
#include "core/member_directory.h"
#include "core/pace_weight.h"
#include "core/state_chart.h"

namespace verbenastile {

// Identifies an upstream instance while it is a member. A handle of a removed
// instance stays invalid, also when its index is reused.
struct UpstreamHandle {
  static constexpr std::uint32_t kInvalidIndex = 0xffff'ffff;

  std::uint32_t index = kInvalidIndex;
  std::uint32_t generation = 0;

  bool valid() const { return index != kInvalidIndex; }
  bool operator==(const UpstreamHandle&) const = default;
};

struct BalancerLimits {
  // Slow start: the share of calls that a new or returned instance gets grows
  // linearly over this time.
  Duration warm_up = std::chrono::seconds(10);
  // The lower bound of that share, which applies at the start of the warm-up.
  std::uint32_t min_warm_up_share_permille = 100;
  // An instance is ejected after this many consecutive failures, or at this
  // failure rate once it has `min_samples` outcomes.
  std::uint32_t max_consecutive_failures = 5;
  std::uint32_t failure_rate_permille = 500;
  std::uint32_t min_samples = 10;
  // The ejection time doubles with each consecutive ejection, up to the
  // maximum.
  Duration base_ejection_time = std::chrono::seconds(2);
  Duration max_ejection_time = std::chrono::seconds(30);
  // The share of a service's instances that may be ejected at a time. One
  // instance may always be ejected if the service has at least two.
  std::uint32_t max_ejected_permille = 350;
  // The next tier is considered when the load of the selected instance,
  // queued calls included, reaches this share of its slots.
  std::uint32_t spill_permille = 1200;
};

// The load of an instance, as its node reports it with each answer.
struct UpstreamLoad {
  std::uint32_t busy = 0;    // Occupied slots.
  std::uint32_t queued = 0;  // Calls that wait for a slot.
  // The queueing delay of a large answer at the network link of the instance's
  // machine.
  Duration link_wait{0};
  // How long the rate limit of the instance delays a call that arrives now.
  Duration rate_limit_delay{0};
  // The calls per second that the instance takes from all nodes together;
  // empty: no limit.
  std::optional<double> rate_limit = std::nullopt;
  // The time that the instance takes for calls, relative to what they take
  // usually; 0: unknown.
  std::uint32_t slowness_permille = 0;
};

// The health of an upstream instance from the point of view of this node: the
// states of charts/upstream_health.yaml.
enum class UpstreamHealth : std::uint8_t {
  kCold,  // Warming up.
  kHealthy,
  kEjected,
  kProbing,  // The ejection is over; a single call tests the instance.
  kLeaving,  // Accepts no new calls.
};

// The parameters of one selection.
struct ChooseQuery {
  std::string_view service;
  // Instances that must not be selected, such as those that earlier attempts of
  // the call were sent to.
  std::span<const UpstreamHandle> excluded;
  // Whether the call may probe an instance whose ejection is over. If not, it
  // does so only if the instance has waited for a probe for
  // `base_ejection_time`.
  bool may_probe = true;
  // If set, the instance of all tiers with the least risk of a late answer is
  // selected; this cost is added to the risk outside the failure domain of this
  // node, and twice outside its region. If unset, the nearest tier that is not
  // overloaded is used.
  std::optional<Duration> remote_cost = std::nullopt;
  // The fields below are used only with `remote_cost`.
  //
  // If set, instances in any failure domain but this one and that of this node
  // cost `closed_cost` more; empty: in any other one.
  std::optional<std::string_view> open_domain = std::nullopt;
  Duration closed_cost{0};
  // The mean service time of such a call.
  Duration service_time{0};
  // The transfer time of a large answer over the link of this machine. Such an
  // answer also queues at the link of the instance's machine. 0 for small
  // answers.
  Duration link_time{0};
  // The latency objective: an answer after this time is late.
  Duration objective{0};
  // The part of the slowness that instances report which counts: see
  // core/pace_weight.h.
  std::int64_t pace_weight_permille = 0;
};

struct BalancerStats {
  std::uint64_t choices = 0;
  std::uint64_t spilled = 0;  // Selections that moved on to a farther tier.
  std::uint64_t probes = 0;
  std::uint64_t ejections = 0;
  // Ejections prevented by `max_ejected_permille`.
  std::uint64_t ejections_capped = 0;
};

class Balancer {
 public:
  struct Init {
    // The chart "upstream_health". Must outlive the balancer.
    const StateChart* chart = nullptr;
    std::string failure_domain;
    std::string region;
    BalancerLimits limits;
    // The name of the member on this machine, if any. Its answers do not cross
    // the network link.
    std::string self = {};
  };

  explicit Balancer(Init init);

  // Updates the instances from `directory`. Returns at once if its revision has
  // not changed.
  void Sync(const MemberDirectory& directory, Time now);

  // These members get no calls, whatever else is known of them; all others do
  // again.
  void SetHeld(const std::set<std::string, std::less<>>& names);
  bool IsHeld(UpstreamHandle handle) const;

  // Selects an instance of the service. Returns an invalid handle if no
  // instance accepts new calls or all of them are excluded.
  UpstreamHandle Choose(const ChooseQuery& query,
                        Time now,
                        std::mt19937_64& random);

  // Records that an attempt was sent. `OnEnded` must follow exactly once.
  void OnStarted(UpstreamHandle handle, Time now);
  // Records the end of an attempt; `latency` is the time since its start.
  void OnEnded(UpstreamHandle handle,
               AttemptOutcome outcome,
               Duration latency,
               Time now);
  // Records a load report of the instance.
  void OnLoadReport(UpstreamHandle handle, UpstreamLoad load, Time now);
  // Records that an answer took `taken`, including the network round trip,
  // where calls of its kind take `mean` on average.
  void OnServiceTime(UpstreamHandle handle,
                     Duration taken,
                     Duration mean,
                     Time now);

  // The room of the service in each failure domain with an instance in
  // rotation.
  std::vector<DomainRoom> RoomByDomain(std::string_view service,
                                       Time now) const;
  // The paces that the instances of the service in rotation report.
  PaceRange PacesOf(std::string_view service) const;
  // Whether the instance is in the failure domain of this node.
  bool IsNear(UpstreamHandle handle) const;

  // Returns null if the handle is no longer valid. The pointer is valid until
  // the next `Sync`.
  const Member* Find(UpstreamHandle handle) const;
  UpstreamHandle HandleOf(std::string_view name) const;
  std::optional<UpstreamHealth> HealthOf(UpstreamHandle handle) const;
  // The number of attempts that have started but not ended.
  std::uint32_t InFlight(UpstreamHandle handle) const;

  const BalancerStats& stats() const { return stats_; }

 private:
  static constexpr std::size_t kTiers = 3;

  struct Upstream {
    explicit Upstream(const StateChart* chart) : machine(chart) {}

    bool in_use = true;  // False: the index is on the free list.
    bool held = false;
    std::uint32_t generation = 0;
    Member member;
    ChartMachine machine;
    UpstreamHealth health = UpstreamHealth::kCold;
    Time health_since;
    Time ejected_until;
    std::uint32_t consecutive_ejections = 0;
    std::size_t tier = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t probes_in_flight = 0;
    std::int64_t latency_us = 0;
    std::int64_t refusals_permille = 0;
    std::int64_t failures_permille = 0;
    std::uint32_t samples = 0;
    std::uint32_t consecutive_failures = 0;
    Time last_outcome_at;
    std::int64_t load_permille = 0;
    Time load_reported_at;
    std::int64_t reported_calls = 0;  // Busy and queued in the last report.
    std::int64_t sent_since_report = 0;
    Duration link_wait{0};         // In the last report.
    Duration rate_limit_delay{0};  // In the last report.
    std::optional<double> rate_limit;
    // When the next call uses no more than this node's part of the rate limit.
    Time next_within_rate_limit;
    // The measured time of answers, relative to the mean of their kind.
    std::int64_t slowness_permille = 1000;
    Time slowness_updated_at;
    // As the instance's node tells; 0: unknown.
    std::int64_t told_slowness_permille = 0;
  };

  // The instances of one service that are not leaving, as indexes into
  // `upstreams_`.
  struct Pool {
    // The instances in rotation, by locality tier.
    std::array<std::vector<std::uint32_t>, kTiers> tiers;
    // The instance on this machine, if it is in rotation.
    std::optional<std::uint32_t> local;
    std::vector<std::uint32_t> out_of_rotation;  // Ejected or probing.
    std::size_t member_count = 0;
  };

  // Returns null if the handle is not valid.
  const Upstream* Resolve(UpstreamHandle handle) const;
  Upstream* Resolve(UpstreamHandle handle);
  UpstreamHandle HandleAt(std::uint32_t index) const;
  std::uint32_t Add(const Member& member, Time now);
  // Returns whether the member differed from the known one.
  bool Update(Upstream& upstream, const Member& member, Time now);
  bool RemoveMissing(const MemberDirectory& directory);
  std::size_t TierOf(const Member& member) const;
  void RebuildPools();
  void Fire(Upstream& upstream, std::string_view event, Time now);
  void StartWarmUp(Upstream& upstream, Time now);
  void Eject(Upstream& upstream, Time now);
  // Applies the transitions that are due by time: the end of the warm-up and of
  // an ejection.
  void AdvanceHealth(Upstream& upstream, Time now);
  void OnProbeEnded(Upstream& upstream, AttemptOutcome outcome, Time now);
  // Updates the failure statistics, and ejects the instance if they are too
  // high and the cap allows it.
  void RecordOutcome(Upstream& upstream, AttemptOutcome outcome, Time now);
  bool MayEject(const Upstream& upstream) const;
  std::uint32_t ChooseProbe(const Pool& pool,
                            const ChooseQuery& query,
                            Time now);
  std::uint32_t BetterOfTwo(const std::vector<std::uint32_t>& tier,
                            const ChooseQuery& query,
                            Time now,
                            std::mt19937_64& random);
  // Returns a random instance of `tier` that is neither excluded nor `skipped`.
  std::uint32_t SampleTier(const std::vector<std::uint32_t>& tier,
                           const ChooseQuery& query,
                           std::uint32_t skipped,
                           Time now,
                           std::mt19937_64& random);
  bool IsExcluded(std::uint32_t index, const ChooseQuery& query) const;
  // Whether an instance takes this call: during the warm-up, with a probability
  // that grows over time; otherwise always.
  bool PassesWarmUp(const Upstream& upstream,
                    Time now,
                    std::mt19937_64& random) const;
  std::uint32_t ChooseLeastRisk(const Pool& pool,
                                const ChooseQuery& query,
                                Time now,
                                std::mt19937_64& random);
  // The cost of sending a call to the instance's tier and failure domain, in
  // microseconds of risk.
  static std::int64_t TierCostUs(const Upstream& upstream,
                                 const ChooseQuery& query);
  std::int64_t RiskUs(const Upstream& upstream,
                      const ChooseQuery& query,
                      Time now,
                      std::mt19937_64& random) const;
  static std::int64_t KnownCalls(const Upstream& upstream, Time now);
  static std::int64_t SlownessPermille(const Upstream& upstream,
                                       const ChooseQuery& query,
                                       Time now);
  std::int64_t ExpectedLatencyUs(const Upstream& upstream,
                                 const ChooseQuery& query,
                                 Time now) const;
  std::int64_t LinkTimeUs(const Upstream& upstream,
                          const ChooseQuery& query,
                          Time now) const;
  // How long the instance's rate limit is expected to delay a call.
  Duration RateLimitDelay(const Upstream& upstream, Time now) const;
  std::uint32_t ChooseLastResort(const Pool& pool,
                                 const ChooseQuery& query) const;
  // The latency of the instance, scaled by its load and by a penalty for
  // refusals and failures. Lower is better.
  std::int64_t Score(const Upstream& upstream, Time now) const;
  // How loaded the instance is: the highest of the attempts in flight from this
  // node and the reported load, relative to the slots, and of twice the refusal
  // rate.
  std::int64_t PressurePermille(const Upstream& upstream, Time now) const;

  Init init_;
  std::vector<Upstream> upstreams_;
  std::vector<std::uint32_t> free_indexes_;
  std::map<std::string, std::uint32_t, std::less<>> index_by_name_;
  std::map<std::string, Pool, std::less<>> pools_;
  std::optional<std::uint64_t> directory_revision_;
  BalancerStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_BALANCER_H_
