// The caller's side of a call: matches the rules in force, selects an upstream
// instance, retries failed attempts, and ends each call with either one
// complete response or an error that truthfully states whether the call may
// have run.
#ifndef NODE_CALLER_SIDE_H_
#define NODE_CALLER_SIDE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "base/metrics.h"
#include "config/settings.h"
#include "core/avoid_list.h"
#include "core/balancer.h"
#include "core/config_apply.h"
#include "core/member_directory.h"
#include "core/retry_policy.h"
#include "io/http_server.h"
#include "node/peer_link.h"
#include "node/upstream_gate.h"

namespace verbenastile {

class CallerSide {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    const Settings* settings = nullptr;
    const ConfigApplier* applier = nullptr;
    const MemberDirectory* directory = nullptr;
    const StateChart* health_chart = nullptr;
    UpstreamGate* gate = nullptr;
    PeerLink* peers = nullptr;
    Metrics* metrics = nullptr;
    std::uint64_t seed = 0;
  };

  explicit CallerSide(const Init& init);
  ~CallerSide();
  CallerSide(const CallerSide&) = delete;
  CallerSide& operator=(const CallerSide&) = delete;

  void OnRequest(HttpRequest request, HttpReply reply);

  // Returns the number of calls in progress.
  std::size_t active() const { return calls_.size(); }
  std::uint64_t refused() const {
    return init_.metrics->value(refused_counter_);
  }
  bool IsEjected(std::string_view member) const {
    return balancer_.HealthOf(balancer_.HandleOf(member)) ==
           UpstreamHealth::kEjected;
  }

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  bool ResolveRoute(const CallPointer& call);
  void StartRouting(const CallPointer& call, const RouteAction& route);
  void StartNextAttempt(const CallPointer& call);
  bool IsDiscoveringMembers(Time now);
  UpstreamHandle Choose(const Call& call, Time now);
  UpstreamHandle ChooseRoundRobin(std::string_view service);
  void StartAttempt(const CallPointer& call, const Member& member);
  AttemptEvents MakeAttemptEvents(const CallPointer& call);
  void OnResponseHead(const CallPointer& call, const HttpResponse& head);
  void OnEnd(const CallPointer& call, const AttemptEnd& end);
  bool Redirect(const CallPointer& call, const AttemptEnd& end);
  RetryDecision DecideRetry(const CallPointer& call, AttemptOutcome outcome);
  void ScheduleAttempt(const CallPointer& call, Duration wait);
  void RecordOutcome(Call& call, AttemptOutcome outcome);
  void OnDeadline(const CallPointer& call);
  void OnGone(const CallPointer& call);
  void CancelAttempt(Call& call, AttemptOutcome outcome);
  void Pause(Call& call);
  void Resume(Call& call);
  void RelayHead(const CallPointer& call, const HttpResponse& head);
  void Refuse(const CallPointer& call, int status, std::string_view reason);
  void Close(const CallPointer& call);

  Init init_;
  Balancer balancer_;
  RetryPolicy retry_policy_;
  AvoidList avoid_list_;
  std::mt19937_64 random_;
  std::set<CallPointer> calls_;
  std::optional<Time> first_call_;
  std::map<std::string, std::size_t, std::less<>>
      round_robin_index_;  // Keyed by service.
  CounterHandle requests_counter_;
  CounterHandle refused_counter_;
  CounterHandle failed_counter_;
  CounterHandle retried_counter_;
  CounterHandle redirected_counter_;
  CounterHandle callers_gone_counter_;
  SummaryHandle latency_summary_;
};

}  // namespace verbenastile

#endif  // NODE_CALLER_SIDE_H_
