// The way to the upstream instance beside this node: duplicates are rejected,
// slots are shared fairly by group, and what would miss its deadline is refused
// before it runs.
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
  Time deadline;  // For the beginning of the answer.
  std::optional<AttemptId> attempt;
};

class UpstreamGate {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    const Settings* settings = nullptr;
    HttpClient* http = nullptr;
    Metrics* metrics = nullptr;
    // The upstream announced that it is leaving; runs for each announcement.
    std::function<void()> on_upstream_leaving;
  };

  explicit UpstreamGate(Init init);
  ~UpstreamGate() { *alive_ = false; }
  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  // Runs the request in its turn.
  CallId Start(UpstreamRequest request, AttemptEvents events);
  // Ends the call without `on_end`, at the upstream too. Returns false when
  // nothing of it has run.
  bool Cancel(CallId id);
  void Pause(CallId id);
  void Resume(CallId id);

  // New calls are refused from now on; those taken are finished.
  void BeginLeaving();

  UpstreamLoad load() const;
  // Calls that have not ended.
  std::size_t active() const { return calls_.size(); }

 private:
  struct Call {
    UpstreamRequest request;
    AttemptEvents events;
    HttpCallHandle http;
    bool has_head = false;
  };

  // A cancelled call, whose slot the upstream may still use for a while.
  struct HeldSlot {
    Time until;
    CallId id = 0;
  };

  std::optional<AttemptEnd> WhyNot(const UpstreamRequest& request);
  std::optional<AttemptEnd> RejectDuplicate(const UpstreamRequest& request);
  void Offer(CallId id, const UpstreamRequest& request);
  void EndLater(AttemptEvents events, AttemptEnd end);
  void Refuse(CallId id, AdmissionRefusal reason);
  void Send(CallId id);
  void OnHead(CallId id, const HttpResponse& head);
  void OnOutcome(CallId id, const HttpOutcome& outcome);
  void End(CallId id, const AttemptEnd& end);
  void Run(const AdmissionActions& actions);
  void EndLateCalls(Time now);
  void Tick();
  void ScheduleTick();

  Init init_;
  asio::steady_timer timer_;
  Admission admission_;
  AttemptRegistry attempts_;
  std::map<CallId, Call> calls_;
  std::vector<HeldSlot> held_slots_;
  CallId last_id_ = 0;
  bool leaving_ = false;
  bool ticking_fast_ = false;
  CounterHandle admitted_;
  CounterHandle refused_;
  CounterHandle duplicates_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenastile

#endif  // NODE_UPSTREAM_GATE_H_
