// Decides which requests are sent a second time because their first attempt is
// late (hedged requests; Dean and Barroso, "The Tail at Scale", 2013), and when
// such a copy leaves.
//
// A copy leaves when the attempt has taken longer than nearly all of its kind,
// or earlier if the copy could not be in time otherwise. Rules whose requests
// all take similar times have none, so that a service that slows down as a
// whole is not sent more work. Copies are a bounded share of the requests of
// their rule, and give way to first attempts when the service is short of room.
#ifndef CORE_COPY_POLICY_H_
#define CORE_COPY_POLICY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

struct CopyLimits {
  bool enabled = true;
  // Copies of a rule as a share of its requests that this node received.
  std::uint32_t max_share_permille = 50;
  // Copies that a rule may save up while its requests are in time.
  std::uint32_t burst = 4;
  // Known load of the service, as a share of its slots, above which there are
  // no copies. What is known is some seconds old, in which a wave may rise.
  std::int64_t max_load_permille = 600;
  // Share of the retry budget that copies leave to retries.
  std::uint32_t budget_reserve_permille = 150;
  std::size_t max_request_bytes = 65'536;
};

enum class CopyVerdict : std::uint8_t {
  kSend = 0,
  kNotRepeatable,
  kAnswerBegun,  // A part of the response has arrived.
  kLarge,        // The request, or the response that its rule leads to.
  kSuspect,      // Suspected to end instances.
  kRateLimited,  // The instance names a rate limit.
  kRollout,      // The attempt is evidence about a software version.
  kNoAttemptsLeft,
  kShortOfRoom,
  kShareUsed,
  // The verdicts below are made when the copy is about to be sent.
  kNoInstance,  // No sound instance but the first one's is known.
  kBudgetSpent,
  kKeyRefused,  // The key of the caller is no longer valid.
};

inline constexpr std::size_t kCopyVerdictCount = 13;

// The lower-case name of `verdict`.
std::string_view ToString(CopyVerdict verdict);

// The request and its first attempt when a copy is due.
struct CopyQuery {
  std::string_view rule;
  bool repeatable = false;
  bool answer_begun = false;
  bool large_response = false;
  bool suspected = false;
  bool returning = false;  // The caller repeats a request that has failed.
  bool rate_limited = false;
  bool in_rollout = false;
  std::size_t request_bytes = 0;
  // Attempts that reached an instance, the one under way among them.
  std::uint32_t attempts = 1;
  std::uint32_t max_attempts = 1;
  // Known for the service; 0 slots: nothing is known.
  std::int64_t slots = 0;
  std::int64_t calls = 0;
};

class CopyPolicy {
 public:
  explicit CopyPolicy(const CopyLimits& limits = {}) : limits_(limits) {}

  // A request of the rule arrived at this node.
  void OnRequest(std::string_view rule);
  // An attempt for a request of the rule took `taken`. `complete`: it ended
  // with a response that is no server error; if not, it would have taken at
  // least as long.
  void OnAttemptEnded(std::string_view rule, Duration taken, bool complete);

  // When the copy of an attempt that begins now leaves; empty: there is none.
  // The caller has waited since `requested`, which is earlier than `now` if it
  // repeats a request that has failed.
  std::optional<Time> LeaveTime(std::string_view rule,
                                Time requested,
                                Time now,
                                Time deadline,
                                Duration objective) const;
  // Whether the copy may be sent now.
  CopyVerdict Judge(const CopyQuery& query) const;
  // The copy was sent: takes it from the rule's share.
  void OnSent(std::string_view rule);
  // The copy ran at no instance: returns it to the rule's share.
  void OnNotRun(std::string_view rule);

  bool enabled() const { return limits_.enabled; }
  const CopyLimits& limits() const { return limits_; }
  std::size_t rule_count() const { return rules_.size(); }

  // Rules beyond this number take the place of others, which are learned anew.
  static constexpr std::size_t kMaxRules = 1'024;
  // With fewer times, the 95th percentile is the longest of them.
  static constexpr std::size_t kMinTimes = 20;

 private:
  static constexpr std::size_t kTimes = 128;

  struct RuleTimes {
    // The times of the last attempts in milliseconds, as a ring.
    std::array<std::uint32_t, kTimes> times_ms = {};
    std::size_t count = 0;  // In all; may be more than `kTimes`.
    Duration median{0};
    Duration third_quartile{0};
    Duration late{0};               // The 95th percentile.
    std::int64_t tokens_milli = 0;  // Copies that the rule may send.
  };

  RuleTimes& FindOrAdd(std::string_view rule);
  static void UpdatePercentiles(RuleTimes& rule);

  CopyLimits limits_;
  std::map<std::string, RuleTimes, std::less<>> rules_;
};

}  // namespace verbenastile

#endif  // CORE_COPY_POLICY_H_
