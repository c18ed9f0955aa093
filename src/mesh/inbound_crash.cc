#include "mesh/inbound_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "gate";

// How long after a call broke off the instance is checked: the other
// connections of an instance that ended break within this time.
constexpr Duration kBreakSettleTime = std::chrono::milliseconds(10);
constexpr Duration kInstanceProbeTimeout = std::chrono::milliseconds(500);
constexpr std::uint64_t kMaxCrashNumber =
    std::numeric_limits<std::uint64_t>::max();
// Calls and bytes of each target in the log line of an instance's end.
constexpr std::size_t kMaxLoggedCalls = 12;
constexpr std::size_t kMaxLoggedTargetBytes = 120;

std::string DescribeCalls(std::span<const BrokenCall> calls) {
  std::string text;
  for (const BrokenCall& call :
       calls.subspan(0, std::min(calls.size(), kMaxLoggedCalls))) {
    text +=
        fmt::format("{}{} digest={} caller={} target={}",
                    text.empty() ? "" : "; ", call.request_id,
                    ToString(call.digest), call.caller_service, call.target);
  }
  return text;
}

}  // namespace

void InboundProxy::AddBroken(CallId id, bool cancelled) {
  Call& call = calls_.at(id);
  const GateCall& request = call.request;
  if (call.instance_id != broken_instance_) {
    broken_calls_.Clear();
    broken_instance_ = call.instance_id;
  }
  broken_calls_.Add({ContentDigest(call), request.request_id,
                     request.caller_service,
                     request.target.substr(0, kMaxLoggedTargetBytes),
                     SteadyNow(), cancelled, id == trial_call_id_});
}

void InboundProxy::ScheduleInstanceCheck() {
  if (broken_calls_.empty() || instance_check_scheduled_ ||
      instance_probe_.active()) {
    return;
  }
  instance_check_scheduled_ = true;
  instance_check_timer_.expires_after(kBreakSettleTime);
  instance_check_timer_.async_wait(
      [this, broken_since = SteadyNow(),
       alive = std::weak_ptr(alive_)](const asio::error_code& error) {
        if (!error && !alive.expired()) {
          instance_check_scheduled_ = false;
          CheckInstance(broken_since);
        }
      });
}

void InboundProxy::CheckInstance(Time broken_since) {
  const InstanceTracker& tracker = *init_.tracker;
  const bool others_run =
      std::any_of(calls_.begin(), calls_.end(), [&](const auto& entry) {
        const Call& call = entry.second;
        return call.http_call_id != 0 && call.started < broken_since;
      });
  // The end of a leaving instance is planned, and no request's doing.
  if (others_run || tracker.is_leaving() || !tracker.report() ||
      http_client_.HasIdle(tracker.report()->address)) {
    broken_calls_.Clear();
    return;
  }
  if (tracker.report()->id != broken_instance_) {
    OnInstanceEnded();
    return;
  }
  instance_probe_.Start(tracker.report()->address, kInstanceProbeTimeout,
                        [this](ConnectResult result) {
                          if (result == ConnectResult::kRefused) {
                            OnInstanceEnded();
                          } else {
                            broken_calls_.Clear();
                          }
                        });
}

void InboundProxy::OnInstanceEnded() {
  const std::vector<BrokenCall> running =
      broken_calls_.TakeOnInstanceEnd(SteadyNow());
  init_.metrics->Add(instance_ends_);
  Log(LogLevel::kWarning, kLogComponent, "The instance ended without notice.",
      {{"instance", broken_instance_},
       {"calls", running.size()},
       {"requests", DescribeCalls(running)}});
  std::vector<CrashedCall> requests;
  requests.reserve(running.size());
  for (const BrokenCall& call : running) {
    requests.push_back({call.digest, call.on_trial});
  }
  auto evidence = init_.suspects->OnCrash(
      {init_.node_name, crash_numbers_.Below(kMaxCrashNumber)}, requests,
      SteadyNow());
  if (!evidence.empty()) {
    init_.on_crash_evidence(std::move(evidence));
  }
}

void InboundProxy::ClearSuspect(Call& call) {
  if (init_.suspects->empty()) {
    return;
  }
  if (auto evidence =
          init_.suspects->OnCompleted(ContentDigest(call), SteadyNow())) {
    init_.on_crash_evidence({std::move(*evidence)});
  }
}

}  // namespace verbenastile
