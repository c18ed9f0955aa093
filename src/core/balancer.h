// Chooses the upstream instance for a call from this node's own observations
// and from what members announce of themselves.
//
// The better of two random choices, in the nearest tier that is not loaded:
// own failure domain, own region, other regions. Health follows
// charts/upstream_health.yaml; at most a share of a service is set aside, so
// that a lying signal cannot empty it.
#ifndef CORE_BALANCER_H_
#define CORE_BALANCER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/call_outcome.h"
#include "core/member_directory.h"
#include "core/state_chart.h"

namespace verbenastile {

// Names one upstream instance for as long as it is known; a handle of one that
// was forgotten is never valid again.
struct UpstreamHandle {
  static constexpr std::uint32_t kInvalidIndex = 0xffff'ffff;

  std::uint32_t index = kInvalidIndex;
  std::uint32_t generation = 0;

  bool valid() const { return index != kInvalidIndex; }
  bool operator==(const UpstreamHandle&) const = default;
};

struct BalancerLimits {
  // A new or returned instance's share rises over this time.
  Duration warm_up = std::chrono::seconds(10);
  // The share at the start of the warm-up.
  std::uint32_t cold_share_permille = 100;
  // Set aside after this many failures in a row, or at this rate of failures.
  std::uint32_t failures_in_a_row = 5;
  std::uint32_t failure_rate_permille = 500;
  std::uint32_t min_samples = 10;
  // The longest time aside is reached by doubling the first.
  Duration first_ejection = std::chrono::seconds(2);
  Duration max_ejection = std::chrono::seconds(30);
  // The most of a service that may be aside; one of two or more always may.
  std::uint32_t max_ejected_permille = 350;
  // Calls go to the next tier when the better choice has more work than this
  // for its slots, what waits included.
  std::uint32_t spill_permille = 1200;
};

// What the receiving node says of its slots, carried by its answers.
struct UpstreamLoad {
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
  // How long a large answer waits for the machine's link.
  Duration link_wait{0};
};

// The health of one upstream instance as this node sees it.
enum class UpstreamHealth : std::uint8_t {
  kCold,
  kHealthy,
  kEjected,
  kProbing,
  kLeaving,
};

// One question to the balancer.
struct ChooseQuery {
  std::string_view service;
  std::span<const UpstreamHandle> excluded;  // Tried by this call already.
  // Whether the call may try an instance that was set aside.
  bool may_probe = true;
  // Set: the instance with the least risk of a late answer over all tiers is
  // chosen, and this much is added outside the own failure domain, twice as
  // much outside the region. Unset: the nearest tier that is not loaded.
  std::optional<Duration> away_cost = std::nullopt;
  // The mean time at an instance; with `away_cost`.
  Duration service_time{0};
  // How long a large answer takes on this machine's link; it waits for that of
  // the instance's machine too. With `away_cost`; 0 for small answers.
  Duration link_time{0};
  // The time after which an answer is late; with `away_cost`.
  Duration objective{0};
};

struct BalancerStats {
  std::uint64_t choices = 0;
  std::uint64_t spilled = 0;  // Choices outside the nearest tier.
  std::uint64_t probes = 0;
  std::uint64_t ejections = 0;
  std::uint64_t capped = 0;  // Ejections that the cap prevented.
};

class Balancer {
 public:
  struct Init {
    const StateChart* chart = nullptr;  // "upstream_health"; outlives this.
    std::string failure_domain;
    std::string region;
    BalancerLimits limits;
    // The member on this machine, if any: its answers need no link.
    std::string self = {};
  };

  explicit Balancer(Init init);

  // Takes over the members; cheap when the directory has not changed.
  void Sync(const MemberDirectory& directory, Time now);

  // An upstream instance of the service; invalid when none takes new work.
  UpstreamHandle Choose(const ChooseQuery& query,
                        Time now,
                        std::mt19937_64& random);

  // An attempt was sent. Each start is followed by one end.
  void OnStarted(UpstreamHandle handle, Time now);
  // `latency` runs from the start to the end of the attempt.
  void OnEnded(UpstreamHandle handle,
               AttemptOutcome outcome,
               Duration latency,
               Time now);
  void OnLoad(UpstreamHandle handle, UpstreamLoad load, Time now);
  // An answer of the instance took `taken`, the way there and back included,
  // where the like of it takes `mean`.
  void OnServiceTime(UpstreamHandle handle,
                     Duration taken,
                     Duration mean,
                     Time now);

  // Null when the handle is not valid any more. Valid until the next `Sync`.
  const Member* Find(UpstreamHandle handle) const;
  UpstreamHandle HandleOf(std::string_view name) const;
  std::optional<UpstreamHealth> HealthOf(UpstreamHandle handle) const;
  // Attempts that have started and not ended.
  std::uint32_t InFlight(UpstreamHandle handle) const;

  const BalancerStats& stats() const { return stats_; }

 private:
  static constexpr std::size_t kTiers = 3;

  struct Upstream {
    explicit Upstream(const StateChart* chart) : machine(chart) {}

    bool used = true;
    std::uint32_t generation = 0;
    Member member;
    ChartMachine machine;
    UpstreamHealth health = UpstreamHealth::kCold;
    Time health_since;
    Time ejected_until;
    std::uint32_t ejections = 0;  // In a row.
    std::size_t tier = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t probes_in_flight = 0;
    std::int64_t latency_us = 0;
    std::int64_t refusals_permille = 0;
    std::int64_t failures_permille = 0;
    std::uint32_t samples = 0;
    std::uint32_t failures_in_a_row = 0;
    Time sampled;
    std::int64_t load_permille = 0;
    Time load_reported;
    std::int64_t wanted = 0;  // Busy and queued, as last told.
    std::int64_t sent_since_report = 0;
    Duration link_wait{0};                  // As last told.
    std::int64_t slowness_permille = 1000;  // Of the mean service time.
    Time slowness_sampled;
  };

  // The instances of one service that take calls, by tier, and the others.
  struct Pool {
    std::array<std::vector<std::uint32_t>, kTiers> tiers;
    std::optional<std::uint32_t> own;  // On this machine, not aside.
    std::vector<std::uint32_t> aside;  // Ejected or probing.
    std::size_t members = 0;
  };

  const Upstream* Get(UpstreamHandle handle) const;
  Upstream* Get(UpstreamHandle handle);
  UpstreamHandle HandleAt(std::uint32_t index) const;
  std::uint32_t Add(const Member& member, Time now);
  // Returns whether anything changed.
  bool Update(Upstream& upstream, const Member& member, Time now);
  bool ForgetMissing(const MemberDirectory& directory);
  std::size_t TierOf(const Member& member) const;
  void RebuildPools();
  void Fire(Upstream& upstream, std::string_view event, Time now);
  void StartWarmUp(Upstream& upstream, Time now);
  void Eject(Upstream& upstream, Time now);
  void Advance(Upstream& upstream, Time now);
  void OnProbeEnded(Upstream& upstream, AttemptOutcome outcome, Time now);
  void Judge(Upstream& upstream, AttemptOutcome outcome, Time now);
  bool MayEject(const Upstream& upstream) const;
  std::uint32_t ChooseProbe(const Pool& pool,
                            const ChooseQuery& query,
                            Time now);
  std::uint32_t BetterOfTwo(const std::vector<std::uint32_t>& tier,
                            const ChooseQuery& query,
                            Time now,
                            std::mt19937_64& random);
  std::uint32_t Sample(const std::vector<std::uint32_t>& tier,
                       const ChooseQuery& query,
                       std::uint32_t not_this,
                       Time now,
                       std::mt19937_64& random);
  bool IsExcluded(std::uint32_t index, const ChooseQuery& query) const;
  bool AcceptsCold(const Upstream& upstream,
                   Time now,
                   std::mt19937_64& random) const;
  std::uint32_t LeastRisk(const Pool& pool,
                          const ChooseQuery& query,
                          Time now,
                          std::mt19937_64& random);
  std::int64_t ExpectedTime(const Upstream& upstream,
                            const ChooseQuery& query,
                            Time now) const;
  std::int64_t LinkTime(const Upstream& upstream,
                        const ChooseQuery& query,
                        Time now) const;
  std::uint32_t LastResort(const Pool& pool, const ChooseQuery& query) const;
  std::int64_t Score(const Upstream& upstream, Time now) const;
  std::int64_t PressurePermille(const Upstream& upstream, Time now) const;

  Init init_;
  std::vector<Upstream> upstreams_;
  std::vector<std::uint32_t> free_;
  std::map<std::string, std::uint32_t, std::less<>> by_name_;
  std::map<std::string, Pool, std::less<>> pools_;
  std::optional<std::uint64_t> revision_;
  BalancerStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_BALANCER_H_
