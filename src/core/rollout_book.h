// What a node knows of the roll-outs of all services: orders, states, evidence,
// and what it has to do for them. See docs/design/rollouts.md.
#ifndef CORE_ROLLOUT_BOOK_H_
#define CORE_ROLLOUT_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/member_directory.h"
#include "core/rollout_evidence.h"
#include "core/rollout_exposure.h"
#include "core/rollout_judge.h"
#include "core/rollout_messages.h"
#include "core/version_holds.h"

namespace verbenastile {

// The status of an order as the store has it.
struct RolloutStatus {
  RolloutState state = RolloutState::kRunning;
  Duration remaining{0};  // Until the deadline; 0: not known.
};

// A roll-out that this node knows of.
struct Rollout {
  Rollout(RolloutOrder its_order, std::uint32_t share_permille)
      : order(std::move(its_order)),
        budget(share_permille),
        targets(order.id) {}

  RolloutOrder order;
  Time learned;
  Time deadline;
  RolloutState state = RolloutState::kRunning;
  Time state_since;
  // The store has a status of this order; `recorded_state` is that status.
  bool recorded = false;
  RolloutState recorded_state = RolloutState::kRunning;

  ExposureBudget budget;
  ExposureTargets targets;
  OwnOutcomes outcomes;
  std::uint32_t old_in_flight = 0;  // Calls of this node at old instances.

  // What this node knows as a judge.
  EvidencePool evidence;
  RolloutJudge judge;
  RolloutFinding finding;
  struct Mover {
    std::uint32_t old_in_flight = 0;
    bool moved = false;
    Time reported;
  };
  std::map<std::string, Mover, std::less<>> movers;
  std::vector<std::string> judges;  // In the order in which they write.
  std::size_t rank = 0;             // Of this node in that order.
  std::size_t live_members = 0;     // Those that may be judges.
  std::optional<Time> judge_since;  // Unset: this node is no judge.

  bool removed() const { return order.target_version.empty(); }
  // The store has the final word.
  bool settled() const {
    return recorded && recorded_state != RolloutState::kRunning;
  }
  Duration age(Time now) const { return now - (deadline - order.duration); }
};

class RolloutBook {
 public:
  struct Init {
    std::string self;
    std::uint64_t incarnation = 0;
    // The part of the answered calls of this node that may be exposed.
    std::uint32_t exposed_permille = 0;
    Time started;
  };

  // The number of judges of an order.
  static constexpr std::size_t kJudges = 3;

  explicit RolloutBook(Init init);

  // A change that the operators and the peers should know.
  struct Change {
    std::string service;
    bool from_store = false;  // Other nodes may have heard the same there.
  };

  // The store has this order, with this status if there is one.
  std::optional<Change> OnStored(const RolloutOrder& order,
                                 const std::optional<RolloutStatus>& status,
                                 Time now);
  // The store has no other orders than those for `services`, at this revision.
  std::vector<Change> OnStoredAll(const std::set<std::string>& services,
                                  StoreEra era,
                                  std::int64_t revision,
                                  Time now);
  std::optional<Change> OnRemoved(std::string_view service,
                                  StoreEra era,
                                  std::int64_t revision,
                                  Time now);
  // A peer knows all orders, and they are known to this node.
  void OnInformed() { informed_ = true; }
  // At that time the store had no other orders than those known to this node.
  void OnConfirmed(Time at);
  bool informed() const { return informed_; }

  struct Heard {
    bool changed = false;           // This node has learned of it.
    bool sender_is_behind = false;  // It should be told what this node knows.
  };
  Heard OnReport(const RolloutReport& report, Time now);

  // Updates which instances are held and which may be exposed. Returns whether
  // the held ones have changed.
  bool Update(const MemberDirectory& directory, Time now);
  bool IsUpToDate(const MemberDirectory& directory) const {
    return !outdated_ && directory_revision_ == directory.revision();
  }
  const std::set<std::string, std::less<>>& held() const {
    return holds_.held();
  }
  // Whether a new version is held until `OnConfirmed`, and since when.
  std::optional<Time> unconfirmed_since() const {
    return holds_.unconfirmed_since();
  }

  // Judges the evidence, if this node is a judge. Returns the services whose
  // state has changed thereby.
  std::vector<std::string> Judge(Time now);

  // The status that this node should write now, if any.
  std::optional<RolloutState> StatusToWrite(const Rollout& rollout,
                                            Time now) const;

  // Null if no order for the service is known.
  Rollout* Find(std::string_view service);
  const Rollout* Find(std::string_view service) const;
  std::map<std::string, Rollout, std::less<>>& rollouts() { return rollouts_; }
  // Whether calls to the service are to be counted.
  bool any() const { return !rollouts_.empty(); }

  // The state of the roll-out, without what this node has seen.
  RolloutReport Summary(const Rollout& rollout, Time now) const;
  RolloutReport TakeReport(Rollout& rollout, bool all, Time now) const;
  // What a new link is told.
  std::vector<RolloutReport> Shared(Time now) const;

 private:
  // The roll-out of this order, which is new to this node if there was none or
  // it replaces another one. Null: the order is outdated.
  Rollout* Learn(const RolloutOrder& order, Time deadline, Time now);
  bool SetState(Rollout& rollout, RolloutState state, Time now);
  bool Record(Rollout& rollout, RolloutState state, Time now);
  bool HasMoved(const Rollout& rollout, Time now) const;
  bool HearsMost(const Rollout& rollout, Time now) const;
  void ChooseJudges(Rollout& rollout, const MemberDirectory& directory) const;

  Init init_;
  VersionHolds holds_;
  std::map<std::string, Rollout, std::less<>> rollouts_;
  // Orders that were removed, by service: a store that lost one to a restore
  // may get it back, with the deadline and the evidence of before.
  std::map<std::string, Rollout, std::less<>> lost_;
  bool informed_ = false;
  std::optional<Time> confirmed_;
  bool outdated_ = true;
  std::optional<std::uint64_t> directory_revision_;
};

}  // namespace verbenastile

#endif  // CORE_ROLLOUT_BOOK_H_
