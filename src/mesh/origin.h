// The caller's side of a request: decides by the rules in force, chooses an
// instance, and sees the request through to one whole answer or one true
// refusal.
#ifndef MESH_ORIGIN_H_
#define MESH_ORIGIN_H_

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
#include <variant>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "core/balancer.h"
#include "core/config_apply.h"
#include "core/member_registry.h"
#include "core/retry_allowance.h"
#include "core/return_time.h"
#include "core/returning_callers.h"
#include "core/rule_profile.h"
#include "core/target_rotation.h"
#include "io/http1_server.h"
#include "mesh/call_header_names.h"
#include "mesh/gate.h"
#include "mesh/link_hub.h"

namespace verbenastile {

class Origin {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    std::string node;
    // What the machine's link carries.
    std::int64_t link_bytes_per_second = 125'000'000;
    std::string failure_domain;
    std::string region;
    const ConfigApplier* applier = nullptr;
    const MemberRegistry* member_registry = nullptr;
    const StateChart* health_chart = nullptr;
    Gate* gate = nullptr;
    LinkHub* links = nullptr;
    Metrics* metrics = nullptr;
    CallHeaderNames headers;
    RetryAllowanceLimits allowance;
    std::uint64_t seed = 0;
    // The service that the callers on this machine run.
    std::function<std::string()> caller_service;
    // How long ago the platform's store last confirmed the configuration.
    std::function<Duration()> configuration_age;
  };

  explicit Origin(const Init& init);
  ~Origin();
  Origin(const Origin&) = delete;
  Origin& operator=(const Origin&) = delete;

  void OnRequest(ExchangePointer exchange);
  // A frame of an answer by the instance beside `member`.
  void OnAnswer(std::string_view member, LinkFrame frame);
  // The link to `member` broke.
  void OnDown(std::string_view member);
  void OnLoad(std::string_view member, const GateLoad& load);

  void SetAllowance(const RetryAllowanceLimits& limits) {
    allowance_.SetLimits(limits);
  }

  // Requests that are not answered.
  std::size_t active() const { return calls_.size(); }

 private:
  struct Attempt {
    UpstreamHandle upstream;
    std::string member;
    Time begin;
    bool local = false;
    CallId at_gate = 0;  // When local.
  };

  struct FailedAnswer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
  };

  struct Call {
    ExchangePointer exchange;
    std::string request_id;
    std::shared_ptr<const RouteTable> table;
    const Rule* rule = nullptr;
    const RouteAction* route = nullptr;
    std::string service;
    Time begin;
    Time deadline;
    Time patience_end;  // How long the caller waits, whatever the rule allows.
    RequestKey key = 0;
    Time first_asked;  // Before `begin` when the caller comes back.
    std::optional<Attempt> attempt;
    std::vector<UpstreamHandle> tried;
    std::uint32_t serial = 0;    // Of the attempt at this node's own gate.
    std::uint32_t runs = 0;      // Instances that it was sent to.
    std::uint32_t refusals = 0;  // By gates, with nothing sent.
    // Gates that had no free slot, and may be asked once more to queue it.
    std::vector<UpstreamHandle> full;
    Duration come_back{0};    // The least that a gate asked for.
    Duration retry_after{0};  // What the refused caller was asked to wait.
    bool may_have_run = false;
    // An instance's answer that says that it failed, kept until another
    // instance has answered.
    std::optional<FailedAnswer> failed;
    bool streaming = false;  // The answer's head has left.
    int status = 0;          // Of the answer.
    HttpHeaders headers;
    std::optional<std::uint64_t> length;
    std::string body;            // Of the answer, not passed on.
    std::size_t body_bytes = 0;  // Of the answer so far.
    Duration waited{0};          // For a slot, of the last attempt.
    Time instance_done;          // When the head of the answer came.
    std::size_t owed = 0;        // Taken from the gate and not credited.
  };

  bool DecideByRules(CallId id, Call& call);
  void SetDeadline(Call& call) const;
  void Send(CallId id);
  void AllowQueueing(Call& call);
  UpstreamHandle Choose(Call& call, Time now);
  Duration ObjectiveOf(const Call& call) const;
  GateCall CallFor(const Call& call, const Member& member, Time now) const;
  void OnBody(CallId id, LinkBody body);
  void OnRefusal(CallId id, const GateRefusal& refusal);
  static bool SaysOnlyLoad(const Call& call, RefusalReason reason);
  void OnBroken(CallId id, const GateBroken& broken);
  void OnHead(CallId id, GateAnswer answer);
  void OnPart(CallId id, GatePart part);
  void TakeBody(CallId id, std::string body, bool last);
  void Credit(Call& call, CallId id);
  void PassOn(CallId id);
  bool SendsAgain(CallId id, std::string_view why);
  bool MayRepeat(const Call& call, Time now);
  bool TakeRepeat(const Call& call, Time now);
  // `ran`: the instance may have begun to work on it.
  void EndAttempt(Call& call, AttemptOutcome outcome, bool ran);
  void CancelAttempt(CallId id, Call& call, AttemptOutcome outcome);
  void Answer(CallId id);
  void LearnFrom(const Call& call, Time now);
  void Fail(CallId id, int status, std::string_view reason);
  Duration ComeBack(const Call& call);
  void RememberOutcome(const Call& call, int status, Time now);
  void OnGone(CallId id);
  void Close(CallId id, std::string_view outcome, int status);
  void Sweep();
  void ScheduleSweep();

  Init init_;
  asio::steady_timer timer_;
  Balancer balancer_;
  RetryAllowance allowance_;
  RuleProfiles profiles_;
  TargetRotation rotation_;
  ReturningCallers returning_;
  ReturnTimes return_times_;
  std::mt19937_64 random_;
  Random return_random_;
  std::map<CallId, Call> calls_;
  CallId last_id_ = 0;
  bool sweeping_ = false;
  CounterHandle requests_;
  CounterHandle answered_;
  CounterHandle refused_;
  CounterHandle failed_;
  CounterHandle repeated_;
  CounterHandle moved_;
  CounterHandle gone_;
  SummaryHandle latency_;
};

}  // namespace verbenastile

#endif  // MESH_ORIGIN_H_
