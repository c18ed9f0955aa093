// Inbound half of the sidecar: the last hop to the upstream instance on this
// node. All calls to the instance pass through it, so that admission control
// here is sufficient: the instance never gets more calls than it has slots or
// than the rate limit that it names allows, and no new calls once it is
// leaving.
#ifndef MESH_INBOUND_PROXY_H_
#define MESH_INBOUND_PROXY_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "core/admission.h"
#include "core/broken_calls.h"
#include "core/crash_suspects.h"
#include "core/instance_notice.h"
#include "core/instance_pace.h"
#include "core/instance_rate_limit.h"
#include "core/instance_tracker.h"
#include "core/link_forecast.h"
#include "core/rule_profile.h"
#include "io/connect_probe.h"
#include "io/http1_client.h"
#include "mesh/call_header_names.h"
#include "mesh/link_frames.h"
#include "mesh/room_metrics.h"

namespace verbenastile {

// How a response reaches the caller: over a link to its node, or within this
// process.
enum class ResponsePath : std::uint8_t { kLink, kLocal };

// Why the caller's node no longer waits for a call.
enum class CancelCause : std::uint8_t {
  kCancelled = 0,  // It said so.
  kLinkEnded = 1,  // The link that brought the call has ended.
};
constexpr std::size_t kCancelCauseCount = 2;

// Returns the name of `cause` in snake case.
std::string_view ToString(CancelCause cause);

class InboundProxy {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    InstanceTracker* tracker = nullptr;
    Metrics* metrics = nullptr;
    CallHeaderNames headers;
    // The configuration in force on this node.
    std::function<PeerConfiguration()> configuration;
    // The weight of a group's share of the slots.
    std::function<double(std::string_view group)> group_weight;
    // What calls of a rule take at all instances; 0: unknown.
    std::function<Duration(std::string_view rule)> usual_time;
    // How long queued calls may still start after the instance began to leave.
    std::function<Duration()> leaving_start_period;
    // Called when a connection to the instance failed, or when another instance
    // answered at its address.
    std::function<void()> on_unreachable;
    // Called when the instance said in a response that it leaves, or a peer
    // returned that it did.
    std::function<void()> on_leaving;
    std::string node_name;
    std::uint64_t seed = 0;
    // What all nodes know of requests that ended instances.
    CrashSuspects* suspects = nullptr;
    // Whether this node may run a request of the service that is on trial.
    std::function<bool(std::string_view service, const Digest& request)>
        may_try;
    // Peers should hear this evidence.
    std::function<void(std::vector<CrashEvidence>)> on_crash_evidence;
    // State of the machine's network link, which large responses wait for.
    std::function<LinkState()> link;
  };

  // Receives either a `GateRefusal`, a `GateFailure`, or a `GateResponse`
  // followed by `GateResponseChunk`s until the last one or a `GateFailure`.
  // Never called from within `Start`.
  using ReplyHandler = std::function<void(LinkBody)>;

  explicit InboundProxy(const Init& init);
  ~InboundProxy();
  InboundProxy(const InboundProxy&) = delete;
  InboundProxy& operator=(const InboundProxy&) = delete;

  // Admits, queues or refuses the call.
  CallId Start(GateCall call, ResponsePath path, ReplyHandler reply);
  // The caller no longer waits for the call, because of `cause`. A queued call
  // is dropped, and a running idempotent call is cancelled at the instance. A
  // running call that is not idempotent completes there. Returns false if the
  // call was still queued: it has not run and never will.
  bool Cancel(CallId id, CancelCause cause);
  // Logs and counts a call that was ended for `cause` before `Start`.
  void OnCancelledUnread(const GateCall& call, CancelCause cause);
  // Flow control: the caller consumed `bytes` of the response body.
  void GrantCredit(CallId id, std::uint32_t bytes);

  // Applies the slots of the latest report, and drops the rate limit of another
  // instance. Call it when the instance or its state has changed.
  void OnInstanceChanged();

  // What `source`, a peer, has heard about the instance.
  void OnPeerNotice(const InstanceNotice& notice, std::string_view source);

  GateLoad load() const;
  // Number of calls that have not ended.
  std::size_t active() const { return calls_.size(); }

 private:
  // Flow control window: reading from the instance is paused while the caller
  // has more than this of the response body uncredited.
  static constexpr std::size_t kWindowBytes = 1'048'576;

  struct Call {
    GateCall request;
    ResponsePath path = ResponsePath::kLink;
    ReplyHandler reply;
    Time arrived;
    Time started;  // Sent to the instance; `Time()` while it is queued.
    Time deadline;
    std::optional<Digest> digest;  // Of the request's content, once needed.
    Http1CallId http_call_id = 0;
    std::string instance_id;  // The instance that it was sent to.
    Http1Head response_head;
    bool head_sent = false;     // To the caller.
    bool not_executed = false;  // The instance says that it did not run it.
    bool abandoned = false;     // The caller no longer waits for the response.
    std::size_t discarded_bytes = 0;  // Of the body, read but not sent on.
    bool paused = false;              // Reading from the instance is paused.
    std::string unsent_body;  // Received and not yet sent to the caller.
    // Sent to the caller and not yet credited.
    std::size_t uncredited_bytes = 0;
    std::size_t sent_bytes = 0;  // Of the body.
  };

  // Slot of a cancelled call, kept until the instance has had time to notice
  // the cancellation.
  struct HeldSlot {
    Time until;
    CallId id = 0;
  };

  CounterHandle CancelCounter(std::string_view state, CancelCause cause);
  std::optional<RefusalReason> StartRefusal(const Call& call, Time now) const;
  void RefuseQueued(Time now);
  static const Digest& ContentDigest(Call& call);
  SuspectVerdict Judge(Call& call) const;
  bool MayRun(Call& call, SuspectVerdict verdict) const;
  RefusalReason UnavailableReason() const;
  bool IsTooSlow(const Call& call, Time now) const;
  Duration LinkDelay(const Call& call) const;
  void Remove(CallId id);
  AdmissionOffer OfferOf(CallId id, const Call& call, Time now) const;
  void Admit(CallId id, Call& call, Time now);
  void LogRoomRefusal(const Call& call, const AdmissionResult& result);
  void SendToInstance(CallId id);
  HttpHeaders BuildHeaders(const Call& call, Time now) const;
  void OnResponseHead(CallId id, const Http1Head& head);
  void RejectResponse(CallId id, std::string_view why);
  void OnNotice(const Call& call, const ResponseNotice& notice);
  void ApplyRateLimit(std::string_view source);
  void OnLeaving(std::string_view id, std::string_view source);
  std::optional<InstanceNotice> Notice() const;
  std::string RateLimitText() const;
  void OnResponseData(CallId id, std::string part);
  void OnHttpEnd(CallId id, Http1CallResult end, std::string_view detail);
  void OnResponseComplete(CallId id, Call& call);
  void SendPart(CallId id, Call& call, bool last);
  void Refuse(CallId id, RefusalReason reason, Duration come_back);
  void FailBroken(CallId id, std::string_view detail);
  void PostReply(const ReplyHandler& reply, LinkBody body);
  void Execute(const AdmissionActions& actions);
  // Notes a running call that ended without a complete response.
  void AddBroken(CallId id, bool cancelled);
  // The request ran to its end, so it does not end instances.
  void ClearSuspect(Call& call);
  // Finds out, once the calls that broke together were all noted, whether the
  // instance has ended.
  void ScheduleInstanceCheck();
  void CheckInstance(Time broken_since);
  void OnInstanceEnded();
  // Closes the connection of a running call; its slot stays occupied for a
  // short time.
  void BreakOff(CallId id, std::string_view outcome);
  void HoldSlot(CallId id);
  void CancelOverdue(Time now);
  void Tick();
  void ScheduleTick();
  void LogCall(CallId id, const Call& call, std::string_view outcome) const;

  Init init_;
  asio::steady_timer tick_timer_;
  asio::steady_timer instance_check_timer_;
  Http1Client http_client_;
  ConnectProbe instance_probe_;
  Admission admission_;
  RoomMetrics room_metrics_;
  Time room_refusal_logged_at_;
  std::uint64_t unlogged_room_refusals_ = 0;
  InstanceRateLimit rate_limit_;
  // The rate limit that was logged last, and when.
  std::optional<double> logged_rate_limit_;
  Time rate_limit_logged_at_;
  // The last rate limit of the instance that could not be parsed.
  std::string invalid_rate_limit_;
  InstancePace pace_;
  RuleProfiles rule_profiles_;
  LinkForecast link_forecast_;
  std::map<CallId, Call> calls_;
  std::vector<HeldSlot> held_slots_;
  BrokenCalls broken_calls_;
  std::string broken_instance_;  // The instance at which they ran.
  bool instance_check_scheduled_ = false;
  // The running call whose request is on trial; 0: none.
  CallId trial_call_id_ = 0;
  Random crash_numbers_;
  CallId last_id_ = 0;
  bool tick_scheduled_ = false;
  // Timers that have expired run their handlers although they are cancelled;
  // those that find this gone do nothing.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  CounterHandle started_;
  CounterHandle refused_;
  CounterHandle shed_by_instance_;
  CounterHandle broken_;
  CounterHandle rejected_;
  CounterHandle limited_answers_;
  CounterHandle leaving_answers_;
  CounterHandle instance_ends_;
  std::array<CounterHandle, kCancelCauseCount> cancelled_unread_{};
  std::array<CounterHandle, kCancelCauseCount> cancelled_queued_{};
  std::array<CounterHandle, kCancelCauseCount> cancelled_running_{};
  CounterHandle overdue_;
  SummaryHandle cancelled_ran_;
  SummaryHandle queue_wait_;
  SummaryHandle service_time_;
};

}  // namespace verbenastile

#endif  // MESH_INBOUND_PROXY_H_
