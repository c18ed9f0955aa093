// Bounds the calls that this node sends to a version that is not proved yet,
// and chooses the instances that get them.
//
// The node sends a fixed part of its own answered calls, so that the sum over
// all nodes is bounded without messages. Nodes save their part and spend it in
// the same windows at the same instances, which therefore run full.
#ifndef CORE_ROLLOUT_EXPOSURE_H_
#define CORE_ROLLOUT_EXPOSURE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace verbenastile {

// Exposed calls are sent together in the first `kExposureOpen` of each
// `kExposurePeriod` of the order's age. Only what was allowed at the start of
// such a window and could not be sent in it is sent until the next one.
constexpr Duration kExposurePeriod = std::chrono::seconds(3);
constexpr Duration kExposureOpen = std::chrono::seconds(1);

// Whether calls may be exposed at this age of the order.
bool IsExposureOpen(Duration age);

class ExposureBudget {
 public:
  // `share_permille`: of the answered calls of this node.
  explicit ExposureBudget(std::uint32_t share_permille)
      : share_permille_(share_permille) {}

  // An instance of any version has answered a call of this node.
  void OnAnswered(std::string_view rule);
  // Whether a call of the rule may be sent to the unproven version. `age`: of
  // the order.
  bool MaySend(std::string_view rule, Duration age);
  void OnSent(std::string_view rule);
  // The call did not reach the instance.
  void OnNotReached(std::string_view rule);

  std::uint64_t sent() const { return sent_; }
  std::uint64_t answered() const { return answered_; }

 private:
  std::uint64_t Allowed() const;
  // Whether other rules have had so many more exposed calls that this one goes
  // first, or the budget suffices for all.
  bool IsTurnOf(std::string_view rule, std::uint64_t left) const;
  void ForfeitOld(Duration age);

  struct Window {
    std::int64_t number = -1;
    std::uint64_t allowed = 0;  // At its start.
  };

  std::uint32_t share_permille_;
  std::uint64_t answered_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t forfeited_ = 0;
  Window current_;
  Window previous_;
  std::map<std::string, std::uint64_t, std::less<>> sent_by_rule_;
};

// The instances of the unproven version, in the order in which all nodes use
// them.
class ExposureTargets {
 public:
  // `salt` is the same on all nodes.
  explicit ExposureTargets(std::uint64_t salt) : salt_(salt) {}

  // Sets the instances that accept calls; those that are new are left to warm
  // up for `warm_up`.
  void Sync(const std::vector<std::string>& names, Duration warm_up, Time now);
  // The first usable instance; empty if there is none. The first two instances
  // of the window take turns, so that none is judged by itself.
  std::string_view Pick(Duration age,
                        Time now,
                        const std::function<bool(std::string_view)>& usable);
  // The instance had no free slot.
  void OnRefused(std::string_view name, Time now);
  bool IsWarm(std::string_view name, Time now) const;
  bool HasWarm(Time now) const;
  std::size_t size() const { return targets_.size(); }

 private:
  struct Target {
    std::string name;
    std::uint64_t rank = 0;
    Time warm_at;
    Time full_until;
  };

  std::uint64_t salt_;
  std::vector<Target> targets_;  // By rank.
  std::size_t turn_ = 0;         // 0 or 1.
};

}  // namespace verbenastile

#endif  // CORE_ROLLOUT_EXPOSURE_H_
