// This node's part of the quotas of groups: holds the tokens that coordinators
// lent, decides on each request with them, and says what to ask for.
#ifndef CORE_QUOTA_BORROWER_H_
#define CORE_QUOTA_BORROWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "config/rules.h"
#include "core/quota_messages.h"
#include "core/quota_peers.h"

namespace verbenastile {

// The longest time that a request waits for tokens: the successor of a
// coordinator that has ended lends after a second.
constexpr Duration kMaxQuotaWait = std::chrono::milliseconds(1'500);

enum class QuotaDecision : std::uint8_t {
  kAdmit,
  kWait,     // For the coordinator's answer; ask `Settle` again.
  kRefuse,   // The group has used up its quota.
  kUnknown,  // The coordinator does not answer, and no tokens are left.
};

// A decision with what it was based on.
struct QuotaVerdict {
  QuotaDecision decision = QuotaDecision::kAdmit;
  // When to come back after a refusal.
  Duration retry_after{0};
  std::string_view coordinator;  // Valid until members or groups change.
  std::uint32_t held = 0;
  double demand = 0;  // Requests of the group per second at this node.
  Duration loan_age{0};
  bool used_spare = false;
};

class QuotaBorrower {
 public:
  explicit QuotaBorrower(const QuotaPeers* peers) : peers_(peers) {}

  // Decides on a new request of `group`, which has a quota.
  QuotaVerdict Request(const Group& group, Time now);
  // Decides again on a request that waits until `until` at most.
  QuotaVerdict Settle(std::string_view group, Time until, Time now);
  // A request that was told to wait does not any more.
  void StopWaiting(std::string_view group);
  // A request that was admitted `age` ago did not run and never will. Its token
  // goes to the coordinator, which counts it as used.
  void GiveBack(std::string_view group, Duration age);
  // Answers the need of a node that takes this one for the coordinator: lends
  // tokens that this node has, and asks the coordinator for the rest.
  QuotaLoan Relay(const QuotaNeed& need, const RequestQuota& quota, Time now);

  // Gives `tokens` to the coordinator of the group, or tells it the `debt`:
  // this node was it before.
  void HandOver(std::string_view group,
                const RequestQuota& quota,
                std::uint32_t tokens,
                std::uint32_t debt,
                Time now);

  // Returns what to ask for now. Each need goes to the coordinator of its
  // group.
  std::vector<QuotaNeed> TakeNeeds(Time now);
  // The same for one group.
  std::optional<QuotaNeed> TakeNeed(std::string_view group, Time now);
  void OnLoan(std::string_view member, const QuotaLoan& loan, Time now);
  // Groups may have other coordinators than before.
  void OnCoordinatorsChanged(Time now);
  // The link to the member broke: what it was asked is not answered. `silent`:
  // it may still be running, and then reserves the spare tokens that it lent.
  void OnMemberLost(std::string_view member, bool silent, Time now);
  // To be called about every 100 ms. Returns the coordinators that did not
  // answer in time.
  std::set<std::string> Tick(Time now);

  std::uint64_t tokens_held() const;

 private:
  struct State {
    RequestQuota quota;
    std::string coordinator;
    std::uint32_t tokens = 0;
    std::uint32_t spare = 0;
    std::uint32_t spare_used = 0;
    std::uint32_t returned = 0;
    std::uint32_t waiting = 0;
    std::optional<Time> asked_at;
    bool should_ask = false;
    // The coordinator does not answer, or is new.
    bool may_use_spare = false;
    Time loan_at;
    Time last_request;
    // Without tokens, requests are refused until then.
    Time denied_until;
    bool overloaded = false;  // As the last loan with a denial said.
    Duration refusal_interval{0};
    Time next_return;     // When the next refused request should come back.
    double arrivals = 0;  // Decaying count.
  };

  State& StateOf(std::string_view group, const RequestQuota& quota, Time now);
  static double Demand(const State& state, Time now);
  static void CountArrival(State& state, double count, Time now);
  // Takes a token, a spare one if need be.
  static bool TakeToken(State& state, bool* used_spare, Time now);
  static void AskAhead(State& state, Time now);
  static QuotaVerdict Explain(const State& state,
                              QuotaDecision decision,
                              Time now);
  static QuotaVerdict Refuse(State& state, Time now);
  void Ask(State& state);
  static std::optional<QuotaNeed> TakeNeed(std::string_view group,
                                           State& state,
                                           Time now);

  const QuotaPeers* peers_;
  std::map<std::string, State, std::less<>> groups_;
  bool asks_ = false;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_BORROWER_H_
