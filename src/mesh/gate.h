// The last hop to the upstream instance in this node's slot. All calls to the
// instance pass here, so it alone decides what the instance gets: never more
// than its slots hold, and nothing once it leaves.
#ifndef MESH_GATE_H_
#define MESH_GATE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "core/admission.h"
#include "core/instance_tracker.h"
#include "core/link_forecast.h"
#include "core/rule_profile.h"
#include "io/http1_client.h"
#include "mesh/call_header_names.h"
#include "mesh/link_frames.h"

namespace verbenastile {

// Whether an answer goes to another machine.
enum class AnswerPath : std::uint8_t { kLink, kLocal };

class Gate {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    InstanceTracker* tracker = nullptr;
    Metrics* metrics = nullptr;
    CallHeaderNames headers;
    // What is in force here.
    std::function<PeerConfiguration()> configuration;
    // How long waiting calls still start at an instance that leaves.
    std::function<Duration()> leaving_start_time;
    // The gate learned that the instance cannot be reached.
    std::function<void()> on_unreachable;
    // The machine's link, which large answers wait for.
    std::function<LinkState()> link;
  };

  // Gets a `GateRefusal`, a `GateFailure`, or a `GateResponse` that
  // `GateResponseChunk`s and, when it breaks off, a `GateFailure` follow. Never
  // from within `Start`.
  using Reply = std::function<void(LinkBody)>;

  explicit Gate(const Init& init);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  CallId Start(GateCall call, AnswerPath path, Reply reply);
  // The caller does not wait any more. What may be repeated is cancelled at
  // the instance; what may not is left to end there.
  void Cancel(CallId id);
  // The caller took `bytes` of the answer's body.
  void Credit(CallId id, std::uint32_t bytes);

  // The instance or its state has changed.
  void OnInstanceChanged();

  GateLoad load() const;
  // Calls that have not ended.
  std::size_t active() const { return calls_.size(); }

 private:
  struct Call {
    GateCall call;
    AnswerPath path = AnswerPath::kLink;
    Reply reply;
    Time arrived;
    Time started;
    Time deadline;
    Http1CallId http = 0;
    std::string instance;  // The id that it was sent to.
    Http1Head head;
    bool head_told = false;
    bool not_executed = false;
    bool abandoned = false;  // Nobody waits for the answer.
    bool paused = false;
    std::string body;        // Not told yet.
    std::size_t unread = 0;  // Told and not taken.
    std::size_t told = 0;    // Bytes of the body.
  };

  // A cancelled call, whose slot the instance needs a moment to free.
  struct HeldSlot {
    Time until;
    CallId id = 0;
  };

  bool TakesWork(Time now) const;
  RefusalReason WhyNoWork() const;
  bool IsTooSlow(const Call& call, Time now) const;
  Duration LateByLink(const Call& call) const;
  void Forget(CallId id);
  void Offer(CallId id, Call& call, Time now);
  void Send(CallId id);
  HttpHeaders HeadersFor(const Call& call, Time now) const;
  void OnHead(CallId id, const Http1Head& head);
  void OnData(CallId id, std::string part);
  void OnEnd(CallId id, Http1End end, std::string_view detail);
  void OnWhole(CallId id, Call& call);
  void TellPart(CallId id, Call& call, bool last);
  void Refuse(CallId id, RefusalReason reason, Duration come_back);
  void Break(CallId id, std::string_view detail);
  void Tell(const Reply& reply, LinkBody body);
  void Run(const AdmissionActions& actions);
  void EndOverdue(Time now);
  void Tick();
  void ScheduleTick();
  void LogEnd(CallId id, const Call& call, std::string_view outcome) const;

  Init init_;
  asio::steady_timer timer_;
  Http1Client http_;
  Admission admission_;
  RuleProfiles profiles_;
  LinkForecast forecast_;
  std::map<CallId, Call> calls_;
  std::vector<HeldSlot> held_slots_;
  CallId last_id_ = 0;
  bool ticking_ = false;
  CounterHandle started_;
  CounterHandle refused_;
  CounterHandle shed_;
  CounterHandle broken_;
  SummaryHandle wait_;
  SummaryHandle service_time_;
};

}  // namespace verbenastile

#endif  // MESH_GATE_H_
