// Outbound half of the sidecar. Matches requests of callers on this machine
// against the routing rules in force, load-balances them over the instances of
// the target service, and retries failed attempts. Each request gets exactly
// one response: a complete one from an instance, or an error generated here
// that says correctly whether the request may have run.
#ifndef MESH_OUTBOUND_PROXY_H_
#define MESH_OUTBOUND_PROXY_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "core/attempt_race.h"
#include "core/balancer.h"
#include "core/config_apply.h"
#include "core/configuration_belief.h"
#include "core/copy_policy.h"
#include "core/crash_suspects.h"
#include "core/domain_spill.h"
#include "core/fleet_retry_budget.h"
#include "core/key_check.h"
#include "core/member_registry.h"
#include "core/peer_notices.h"
#include "core/retry_after.h"
#include "core/retry_tracker.h"
#include "core/rule_profile.h"
#include "core/weighted_round_robin.h"
#include "io/http1_server.h"
#include "mesh/call_header_names.h"
#include "mesh/inbound_proxy.h"
#include "mesh/link_hub.h"
#include "mesh/quota_service.h"
#include "mesh/rollout_service.h"

namespace verbenastile {

class OutboundProxy {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    std::string node_name;
    // Capacity of the machine's network link.
    std::int64_t link_bytes_per_second = 125'000'000;
    std::string failure_domain;
    std::string region;
    const ConfigApplier* applier = nullptr;
    const MemberRegistry* member_registry = nullptr;
    const StateChart* health_chart = nullptr;
    InboundProxy* inbound_proxy = nullptr;
    LinkHub* links = nullptr;
    QuotaService* quotas = nullptr;  // Null: groups have no limits.
    CrashSuspects* suspects = nullptr;
    // Peers should hear this evidence.
    std::function<void(std::vector<CrashEvidence>)> on_crash_evidence;
    Metrics* metrics = nullptr;
    CallHeaderNames headers;
    FleetRetryBudgetLimits allowance;
    std::uint64_t seed = 0;
    DomainPrice domain_price;
    CopyLimits copies;
    // The service that the callers on this machine belong to.
    std::function<std::string()> caller_service;
    std::function<ConfigurationBelief()> configuration_belief = [] {
      return ConfigurationBelief();
    };
    // Null: calls are sent to instances of any software version.
    RolloutService* rollouts = nullptr;
    std::function<KeyLimits()> key_limits = [] { return KeyLimits(); };
  };

  explicit OutboundProxy(const Init& init);
  ~OutboundProxy();
  OutboundProxy(const OutboundProxy&) = delete;
  OutboundProxy& operator=(const OutboundProxy&) = delete;

  void OnRequest(ExchangePointer exchange);
  // From now on, requests are refused as not run.
  void StopAccepting() { accepts_requests_ = false; }
  // Ends all requests with an error response that says whether they may have
  // run.
  void FailAll(std::string_view reason);
  // Handles a frame of the response to a call that was sent to `member`.
  void OnLinkFrame(std::string_view member, LinkFrame frame);
  // The link to `member` broke: calls on it get no further frames, and
  // `member` has not received those in `unsent`.
  void OnLinkDown(std::string_view member, const std::vector<CallId>& unsent);
  // `member` does not answer. Sends the calls that may run again to other
  // instances; the others wait for its response until their deadline.
  void OnLinkSilent(std::string_view member);
  // Passes the load that `member` reported on to the load balancer.
  void OnLoad(std::string_view member, const GateLoad& load);
  // What is known about the instance of `member`, to be returned to it if it is
  // restarted.
  void OnPeerNotice(std::string_view member, const InstanceNotice& notice) {
    peer_notices_.OnNotice(member, notice, SteadyNow());
  }
  // The instance of `member` said that it leaves, and later that it stays.
  void OnPeerStays(std::string_view member, std::string_view instance) {
    peer_notices_.OnStays(member, instance);
  }
  // What to return to `member`, beside which `instance` is known to run; empty
  // if that is not known.
  std::optional<InstanceNotice> PeerNotice(std::string_view member,
                                           std::string_view instance) const {
    return peer_notices_.Find(member, instance);
  }

  void SetRetryAllowance(const FleetRetryBudgetLimits& limits) {
    retry_allowance_.SetLimits(limits);
  }

  // The mean time of calls of the rule at all instances; 0: unknown.
  Duration UsualTime(std::string_view rule) const {
    return rule_profiles_.Find(rule).service_time;
  }
  // Number of requests without a complete response.
  std::size_t active() const { return calls_.size(); }

 private:
  // The first attempts accept only a free slot; after this many refusals the
  // request may be queued. A refusal is more recent than the load reports that
  // the choice was based on, so another upstream may still have a free slot.
  static constexpr std::uint32_t kFreeSlotAttempts = 2;

  // How the node of the last attempt was told that the caller no longer waits.
  enum class CancelPath : std::uint8_t {
    kNone = 0,     // No attempt was in progress.
    kLocal = 1,    // Within this process.
    kLink = 2,     // On the link.
    kNotSent = 3,  // The link was down: its end tells.
  };
  static std::string_view NameOf(CancelPath path);

  struct CancelResult {
    CancelPath path = CancelPath::kNone;
    bool reached = true;  // The request may have reached the instance.
  };

  // What an attempt counts as in the roll-out of the service.
  struct RolloutPart {
    std::uint64_t order = 0;  // ID of the order.
    bool old = false;         // The instance is not of the target version.
    bool exposed = false;     // It is, and the version is not proved.
    bool judged = false;      // The outcome is evidence.
    bool failed = false;      // The instance gave no response.
    bool full = false;        // The instance had no free slot beside this one.
    bool outside = false;     // Sent while no calls were exposed.
  };

  // An attempt to get a response from one instance.
  struct Attempt {
    UpstreamHandle upstream;
    std::string member;
    Time begin;
    bool local = false;        // The instance is on this node.
    CallId local_call_id = 0;  // At this node's inbound proxy, when `local`.
    std::optional<RolloutPart> rollout;
  };

  // The second of two attempts that run at the same time. Its response is held
  // back until it is complete or the first attempt has ended.
  struct Copy {
    Attempt attempt;
    int status = 0;
    HttpHeaders headers;
    std::optional<std::uint64_t> content_length;
    std::string body;
    Duration slot_wait{0};
    Time head_received;
  };

  struct DomainMetrics {
    GaugeHandle share_permille;
    CounterHandle calls;
    Time logged_at;
  };

  struct FailedResponse {
    int status = 0;
    HttpHeaders headers;
    std::string body;
  };

  struct Call {
    ExchangePointer exchange;
    std::string request_id;
    std::string caller_service;  // When the request came.
    std::shared_ptr<const RouteTable> table;
    const Rule* rule = nullptr;
    const RouteAction* route = nullptr;
    const Group* group = nullptr;      // Of the caller; null: none.
    std::optional<Digest> key_digest;  // Of the caller's key.
    bool took_quota = false;           // The group's quota admitted it.
    std::string service;
    Time begin;
    Time deadline;
    // When the caller stops waiting; may be later than `deadline`, which the
    // rule limits.
    Time caller_deadline;
    RequestKey key = 0;
    // When the caller first sent this request; before `begin` for a retry by
    // the caller.
    Time first_requested;
    std::optional<Attempt> attempt;
    // Runs beside `attempt` while `race` is running.
    std::optional<Copy> copy;
    AttemptRace race;
    std::optional<Time> copy_at;  // When a copy of the attempt leaves.
    bool copied = false;
    std::uint32_t copy_refusals = 0;
    std::vector<UpstreamHandle> tried_upstreams;
    // Number of the current local attempt. Replies to an earlier one carry
    // another number and are dropped.
    std::uint32_t local_attempt_serial = 0;
    // Attempts that reached an instance, also those that it refused to run.
    std::uint32_t instances_reached = 0;
    // Refusals by inbound proxies, among them those that pass on a refusal by
    // their instance.
    std::uint32_t refusals = 0;
    // Upstreams without a free slot. They may be tried a second time with
    // queueing allowed.
    std::vector<UpstreamHandle> busy_upstreams;
    // Shortest wait for a free slot that an inbound proxy reported; 0: none.
    Duration slot_wait_hint{0};
    Duration retry_after{0};  // As sent to the caller; 0: not sent.
    // Of the request's content; computed when there are suspects.
    std::optional<Digest> digest;
    bool on_trial = false;  // In the current attempt.
    CancelPath cancel_path = CancelPath::kNone;
    bool may_have_run = false;
    // Server error of an instance, sent to the caller unless a retry gets a
    // response.
    std::optional<FailedResponse> failed_response;
    // The head of the response was sent to the caller, so that a retry is no
    // longer possible.
    bool streaming = false;
    int status = 0;  // Of the response, like the next fields.
    HttpHeaders headers;
    std::optional<std::uint64_t> content_length;
    std::string body;                // Received and not yet sent on.
    std::size_t response_bytes = 0;  // Received of the body in all.
    Duration slot_wait{0};           // In the queue of the last attempt.
    Time head_received;
    // Received bytes of the body for which no credit was returned yet.
    std::size_t uncredited_bytes = 0;
  };

  std::vector<CallId> CallsAt(std::string_view member) const;
  bool MatchRule(CallId id, Call& call);
  // Rejects the request by the configuration in force, or refuses it for the
  // time being if that may be outdated.
  void Reject(CallId id, int status, std::string_view reason);
  bool FindGroup(CallId id, Call& call);
  KeyVerdict RecheckKey(const Call& call) const;
  KeyDecision CheckKeyOf(const Call& call, const RouteTable& table) const;
  void FailForKey(CallId id, KeyVerdict verdict);
  void RegisterKeyMetrics();
  bool TakeQuota(CallId id, Call& call);
  void OnQuotaVerdict(CallId id, const QuotaVerdict& verdict);
  void StartCall(CallId id);
  void SetDeadline(Call& call) const;
  SuspectVerdict Judge(Call& call) const;
  // The request got a complete response of an instance.
  void ClearSuspect(Call& call);
  void StartAttempt(CallId id);
  void AllowQueueing(Call& call);
  UpstreamHandle ChooseUpstream(Call& call, Time now);
  bool IsDoubtful(UpstreamHandle upstream) const;
  UpstreamHandle ChooseSound(ChooseQuery query, Time now);
  UpstreamHandle TrialUpstream(const Call& call) const;
  // The functions below are in outbound_rollout.cc.
  //
  // Tells the balancer which instances are held.
  void ApplyHolds(Time now);
  // An instance of an unproven version, if this call may be sent to one.
  UpstreamHandle ExposedUpstream(const Call& call, Time now);
  // Whether the call may queue for a slot of the instance.
  bool MayQueueAt(const Member& member) const;
  void NoteRolloutSent(const Call& call, Attempt& attempt, Time now);
  void NoteRolloutLoad(Call& call, const GateLoad& load) const;
  void NoteRolloutEnded(const Call& call,
                        AttemptOutcome outcome,
                        bool reached,
                        Time now);
  // The functions below are in outbound_domains.cc.
  //
  // Sets what the call pays for leaving the failure domain.
  void PriceOtherDomains(const Call& call,
                         std::int64_t bytes,
                         Time now,
                         ChooseQuery& query);
  std::int64_t PaceWeight(std::string_view service) const;
  void UpdateDomainShares(const std::string& service, Time now);
  DomainMetrics* MetricsOfDomain(const std::string& service,
                                 std::string_view domain);
  void NoteDomain(const Call& call, const Member& member);
  // The functions below are in outbound_copies.cc.
  //
  void RegisterCopyMetrics();
  void ScheduleCopy(Call& call, Time now);
  void SendDueCopies();
  void SendCopy(CallId id, Call& call);
  // Returns why the copy was not sent; `kSend` if it was.
  CopyVerdict TrySendCopy(CallId id, Call& call, Time now);
  CopyVerdict JudgeCopy(Call& call, Time now);
  bool HasRateLimit(std::string_view member) const;
  bool SendCopyTo(CallId id, Call& call, const Member& member, Time now);
  void OnLocalReply(CallId id, std::uint32_t serial, LinkBody body);
  void OnCopyReply(CallId id, Call& call, LinkBody body);
  void ReceiveCopyBody(CallId id, Call& call, std::string body, bool last);
  void OnCopyComplete(CallId id, Call& call);
  void OnCopyRefused(Call& call, const GateRefusal& refusal);
  void OnCopyBroken(Call& call);
  void EndCopy(Call& call, AttemptOutcome outcome, bool reached);
  void CancelCopy(CallId id, Call& call, RaceEvent event);
  // The first attempt has ended. Returns whether a copy takes its place.
  bool ContinueWithCopy(Call& call, RaceEvent event);
  void TakeOver(Call& call);
  void EndCopiesAt(std::string_view member, bool cancel);
  void LogCopy(CallId id, const Call& call);
  Duration LatencyObjective(const Call& call) const;
  GateCall BuildCall(const Call& call, const Member& member, Time now) const;
  void OnReply(CallId id, LinkBody body);
  void OnRefusal(CallId id, const GateRefusal& refusal);
  static bool IsLoadRefusal(const Call& call, RefusalReason reason);
  void OnBroken(CallId id, const GateFailure& broken);
  void OnNotSent(CallId id);
  void OnResponseHead(CallId id, GateResponse answer);
  void OnResponsePart(CallId id, GateResponseChunk part);
  void ReceiveBody(CallId id, std::string body, bool last);
  void ReturnCredit(Call& call, CallId id);
  void StreamToCaller(CallId id);
  bool RetryAfterRun(CallId id, std::string_view why);
  bool CanRetry(const Call& call, Time now);
  bool TakeRetry(const Call& call, Time now);
  // `reached`: the request was delivered to the instance, which may have run
  // it.
  void EndAttempt(Call& call, AttemptOutcome outcome, bool reached);
  // Tells the node of the attempt that its response is no longer awaited.
  CancelResult SendCancel(CallId id, const Attempt& attempt);
  void CancelAttempt(CallId id, Call& call, AttemptOutcome outcome);
  void OnResponseComplete(CallId id);
  void RecordServiceTime(const Call& call, Time now);
  void Fail(CallId id, int status, std::string_view reason);
  Duration RetryAfterFor(const Call& call);
  void RecordOutcome(const Call& call, int status, Time now);
  void OnCallerDisconnected(CallId id);
  void FinishCall(CallId id, std::string_view outcome, int status);
  void FailOverdue();
  void FailUnanswered(CallId id, std::string_view reason);
  void ScheduleDeadlineCheck();

  Init init_;
  asio::steady_timer deadline_timer_;
  bool accepts_requests_ = true;
  Balancer balancer_;
  DomainSpill domain_spill_;
  // By service and failure domain.
  std::map<std::pair<std::string, std::string>, DomainMetrics> domain_metrics_;
  std::array<CounterHandle, kSpillReasonCount> domain_changes_{};
  // By service: see core/pace_weight.h.
  std::map<std::string, std::int64_t, std::less<>> pace_weights_;
  PeerNotices peer_notices_;
  FleetRetryBudget retry_allowance_;
  CopyPolicy copies_;
  Time copy_logged_at_;
  std::uint64_t unlogged_copies_ = 0;
  RuleProfiles rule_profiles_;
  WeightedRoundRobin target_rotation_;
  // Of the directory and of the held instances when they were last applied.
  std::pair<std::uint64_t, std::uint64_t> holds_applied_;
  RetryTracker returning_callers_;
  RetryAfterEstimator return_times_;
  std::mt19937_64 balancer_random_;
  Random retry_after_random_;
  std::map<CallId, Call> calls_;
  CallId last_id_ = 0;
  bool deadline_check_scheduled_ = false;
  CounterHandle requests_;
  CounterHandle answered_;
  CounterHandle refused_;
  CounterHandle failed_;
  CounterHandle retried_;
  CounterHandle redirected_;
  CounterHandle in_doubt_;
  CounterHandle callers_gone_;
  CounterHandle callers_gone_unread_;
  CounterHandle cancels_not_sent_;
  CounterHandle blocked_;
  CounterHandle copies_sent_;
  CounterHandle copies_won_;
  CounterHandle copies_refused_;
  CounterHandle copies_cancelled_;
  // By `CopyVerdict`.
  std::array<CounterHandle, kCopyVerdictCount> copies_withheld_;
  SummaryHandle latency_;
  // By `KeyVerdict`.
  std::array<CounterHandle, kKeyVerdictCount> key_verdicts_;
  // Timers that have expired run their handlers although they are cancelled;
  // those that find this gone do nothing.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace verbenastile

#endif  // MESH_OUTBOUND_PROXY_H_
