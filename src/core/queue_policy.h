// Which of the calls that wait for a slot of one instance goes first, for how
// long a call may wait, and when a slot is kept free for more urgent calls.
//
// A call's rank is made of the priority of its group, whether the group holds
// more than its share, the priority of the call's rule, and its patience: its
// objective, compared with those of the other kinds of its priority. Calls of
// one rank go by the latest start that leaves them in time, so that a caller
// that returns after a refusal goes first.
#ifndef CORE_QUEUE_POLICY_H_
#define CORE_QUEUE_POLICY_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "config/rules.h"

namespace verbenastile {

struct QueuePolicyLimits {
  // A kind with this many times the objective of the least patient kind of its
  // priority goes after that one. A slot is kept only for kinds with as much
  // less.
  std::int64_t patient_ratio = 3;
  // Slacks and loads that are older than this no longer count.
  Duration memory = std::chrono::seconds(1);
  // A slot is kept free for calls of higher ranks where they take at least this
  // part of the time of one slot, and there are this many slots.
  std::int64_t reserve_load_permille = 500;
  std::uint32_t reserve_min_slots = 6;
};

struct KindTimes {
  Duration objective{0};
  // How long a call can wait for a slot and be in time.
  Duration slack{0};
};

// What a call needs, as far as it decides who goes first.
struct CallNeeds {
  // Precedes `priority`; empty: the group has none.
  std::optional<Priority> group_priority;
  Priority priority = Priority::kNormal;
  // The group holds more slots than its share: see core/group_shares.h.
  bool over_share = false;
  // What calls of this kind have and can wait; empty: calls are ranked by their
  // priorities only.
  std::optional<KindTimes> kind;
};

// 0 goes first.
using CallRank = std::uint32_t;

class QueuePolicy {
 public:
  static constexpr std::size_t kPriorities = std::size(kPriorityNames);
  static constexpr std::size_t kRanks = kPriorities * 2 * kPriorities * 2;

  explicit QueuePolicy(QueuePolicyLimits limits = {}) : limits_(limits) {}

  CallRank RankOf(const CallNeeds& needs, Time now) const;
  // A call was offered. Returns its rank, and takes the call into account for
  // those that are offered later.
  CallRank OnOffered(const CallNeeds& needs, Time now);
  // A call of `rank` held a slot for `time`.
  void OnSlotTime(CallRank rank, Duration time, Time now);

  // The longest wait with which a call of `rank` is queued that can wait for
  // `slack` itself. Calls of one rank get the same limit, that of the least
  // patient kind: with a limit of its own each, the more patient kind would
  // fill the queue, and the other one would find no room in it.
  // The limit is at least `next_slot`, the time in which the next slot is
  // expected to be free: with less, slots stay free between two calls.
  Duration WaitLimit(CallRank rank,
                     Duration slack,
                     Duration next_slot,
                     Time now) const;
  // The wait until `work_ahead`, slot time of calls that go first, is done,
  // while calls of higher ranks keep arriving.
  Duration ExpectedWait(CallRank rank,
                        Duration work_ahead,
                        std::uint32_t slots,
                        Time now) const;
  // The slots that a call of `rank` and `objective` may not take, so that a
  // call of a higher rank with a much shorter objective that comes next does
  // not wait.
  std::uint32_t ReservedSlots(CallRank rank,
                              Duration objective,
                              std::uint32_t slots,
                              Time now) const;
  // Whether calls of lower ranks were offered lately.
  bool HasLowerRanks(CallRank rank, Time now, Duration memory) const;

 private:
  static constexpr KindTimes kNone = {Duration::max(), Duration::max()};

  struct Recent {
    std::optional<Time> offered;
    // The least patient kind, in the current and in the previous period, as of
    // its last call.
    Time period_begin;
    KindTimes least = kNone;
    KindTimes previous_least = kNone;
    // Exponentially decaying slot time, and when it was updated.
    double slot_time_us = 0;
    Time updated;
  };

  KindTimes LeastPatient(CallRank rank, Time now) const;
  // The load, in slots, of the ranks above `rank` with a kind that has less
  // than `objective`.
  double LoadAbove(CallRank rank, Duration objective, Time now) const;

  QueuePolicyLimits limits_;
  std::array<Recent, kRanks> recent_ = {};
};

}  // namespace verbenastile

#endif  // CORE_QUEUE_POLICY_H_
