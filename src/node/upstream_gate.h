// Admission control for calls to the local upstream instance: rejects duplicate
// attempts, shares the slots fairly between groups, and refuses calls that
// would miss their deadline before they run.
#ifndef NODE_UPSTREAM_GATE_H_
#define NODE_UPSTREAM_GATE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "config/settings.h"
#include "core/admission.h"
#include "core/attempt_registry.h"
#include "io/http_client.h"
#include "node/attempt.h"

namespace verbenastile {

// A request for the upstream.
struct UpstreamRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  std::string group;
  std::uint32_t weight = 1;
  Priority priority = Priority::kNormal;
  Time deadline;  // The response must begin by this time.
  std::optional<AttemptId> attempt;
};

class UpstreamGate {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    const Settings* settings = nullptr;
    HttpClient* http = nullptr;
    Metrics* metrics = nullptr;
    // Called each time the upstream announces that it is leaving.
    std::function<void()> on_upstream_leaving;
  };

  explicit UpstreamGate(Init init);
  ~UpstreamGate() { *alive_ = false; }
  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  // Sends the request to the upstream once a slot is free for it.
  CallId Start(UpstreamRequest request, AttemptEvents events);
  // Cancels the call without invoking `on_end`, also at the upstream if it was
  // sent there. Returns false if the call certainly did not run.
  bool Cancel(CallId id);
  void Pause(CallId id);
  void Resume(CallId id);

  // Refuses new calls from now on. Calls that were accepted still finish.
  void BeginLeaving();

  UpstreamLoad load() const;
  // Returns the number of calls in progress.
  std::size_t active() const { return calls_.size(); }

 private:
  struct Call {
    UpstreamRequest request;
    AttemptEvents events;
    HttpCallHandle http;
    bool has_head = false;
  };

  // Slot of a cancelled call, which the upstream may still occupy for a while.
  struct CancelledSlot {
    Time release_time;
    CallId id = 0;
  };

  std::optional<AttemptEnd> FindRefusal(const UpstreamRequest& request);
  std::optional<AttemptEnd> RejectDuplicate(const UpstreamRequest& request);
  void SubmitForAdmission(CallId id, const UpstreamRequest& request);
  void PostEnd(AttemptEvents events, AttemptEnd end);
  void Refuse(CallId id, AdmissionRefusal reason);
  void Send(CallId id);
  void OnHead(CallId id, const HttpResponse& head);
  void OnHttpOutcome(CallId id, const HttpOutcome& outcome);
  void EndCall(CallId id, const AttemptEnd& end);
  void ApplyAdmissionActions(const AdmissionActions& actions);
  void TimeOutLateCalls(Time now);
  void Tick();
  void ScheduleTick();

  Init init_;
  asio::steady_timer timer_;
  Admission admission_;
  AttemptRegistry attempts_;
  std::map<CallId, Call> calls_;
  std::vector<CancelledSlot> cancelled_slots_;
  CallId last_id_ = 0;
  bool leaving_ = false;
  bool ticking_fast_ = false;
  CounterHandle admitted_counter_;
  CounterHandle refused_counter_;
  CounterHandle duplicates_counter_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenastile

#endif  // NODE_UPSTREAM_GATE_H_
