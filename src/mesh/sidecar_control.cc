#include "mesh/sidecar.h"

#include <utility>

#include "base/log.h"
#include "io/http_status.h"
#include "platform/configuration.h"

namespace verbenastile {
namespace {

// How long the acknowledgement of a leaving instance waits for the store. Other
// nodes are told over links at once.
constexpr Duration kAcknowledgeTimeout = std::chrono::milliseconds(400);

const HttpHeaders& JsonHeaders() {
  static const HttpHeaders headers = {{"Content-Type", "application/json"}};
  return headers;
}

}  // namespace

void Sidecar::OnControlCall(const ExchangePointer& exchange) {
  const Http1Head& head = exchange->head();
  const auto call =
      platform::ParseControlCall(head.method, head.target, exchange->body());
  if (std::holds_alternative<platform::ReadinessProbe>(call)) {
    OnReadyCheck(exchange);
  } else if (const auto* report = std::get_if<InstanceReport>(&call)) {
    OnHeartbeat(exchange, *report);
  } else if (const auto* leave = std::get_if<platform::DeregisterCall>(&call)) {
    OnDeregister(exchange, leave->id);
  } else if (const auto* error = std::get_if<platform::FormatError>(&call)) {
    Log(LogLevel::kWarning, "control", "Cannot parse a control call.",
        {{"target", head.target}, {"error", error->reason}});
    exchange->Send(kHttpBadRequest, JsonHeaders(), "{}");
  } else {
    exchange->Send(kHttpNotFound, JsonHeaders(), "{}");
  }
}

void Sidecar::OnReadyCheck(const ExchangePointer& exchange) {
  const bool ready =
      lifecycle_.state() == "serving" && member_follower_.listed();
  exchange->Send(ready ? kHttpOk : kHttpUnavailable, JsonHeaders(), "{}");
}

void Sidecar::OnHeartbeat(const ExchangePointer& exchange,
                          const InstanceReport& report) {
  const ReportVerdict verdict = tracker_.OnReport(report, SteadyNow());
  if (verdict == ReportVerdict::kUnchanged) {
    exchange->Send(kHttpOk, JsonHeaders(), "{}");
    return;
  }
  Log(verdict == ReportVerdict::kChanged ? LogLevel::kInfo : LogLevel::kWarning,
      "control", "Received a report of the instance.",
      {{"instance", report.id},
       {"verdict", ToString(verdict)},
       {"state", ToString(tracker_.state())},
       {"service", report.service},
       {"address", ToString(report.address)},
       {"slots", report.slots},
       {"sequence", report.sequence},
       {"started_ms", report.started_ms}});
  if (verdict != ReportVerdict::kChanged) {
    exchange->Send(kHttpOk, JsonHeaders(), "{}");
    return;
  }
  OnInstanceChanged("report");
  if (report.leaving) {
    AcknowledgeWhenPublished(exchange);
  } else {
    exchange->Send(kHttpOk, JsonHeaders(), "{}");
  }
}

void Sidecar::OnDeregister(const ExchangePointer& exchange,
                           const std::string& id) {
  const ReportVerdict verdict = tracker_.OnDeregistered(id, SteadyNow());
  Log(LogLevel::kInfo, "control", "The instance deregistered.",
      {{"instance", id}, {"verdict", ToString(verdict)}});
  if (verdict != ReportVerdict::kChanged) {
    exchange->Send(kHttpOk, JsonHeaders(), "{}");
    return;
  }
  OnInstanceChanged("deregistered");
  AcknowledgeWhenPublished(exchange);
}

void Sidecar::AcknowledgeWhenPublished(const ExchangePointer& exchange) {
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [exchange, answered] {
    if (!std::exchange(*answered, true)) {
      exchange->Send(kHttpOk, JsonHeaders(), "{}");
    }
  };
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kAcknowledgeTimeout);
  timer->async_wait([timer, answer](const asio::error_code&) { answer(); });
  PublishOwnRecord(answer);
}

void Sidecar::OnMetrics(const ExchangePointer& exchange) {
  metrics_.Set(metrics_.Gauge("generation"),
               static_cast<double>(applier_.generation()));
  const ConfigurationBelief belief = Belief();
  metrics_.Set(metrics_.Gauge("configuration_age_microseconds"),
               static_cast<double>(belief.age.count()));
  metrics_.Set(
      metrics_.Gauge("configuration_behind_microseconds"),
      static_cast<double>(belief.behind.value_or(Duration::zero()).count()));
  metrics_.Set(metrics_.Gauge("configuration_readers"),
               static_cast<double>(configuration_source_.ReaderCount()));
  metrics_.Set(metrics_.Gauge("members"),
               static_cast<double>(member_registry_.entries().size()));
  metrics_.Set(metrics_.Gauge("open_links"),
               static_cast<double>(links_.open_links()));
  metrics_.Set(metrics_.Gauge("store_calls"),
               static_cast<double>(store_.calls()));
  metrics_.Set(metrics_.Gauge("crash_suspects"),
               static_cast<double>(suspects_.size()));
  metrics_.Set(metrics_.Gauge("blocked_requests"),
               static_cast<double>(suspects_.blocked()));
  metrics_.Set(metrics_.Gauge("log_lines_dropped"),
               static_cast<double>(DroppedLogLines()));
  exchange->Send(kHttpOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_.RenderPrometheus());
}

}  // namespace verbenastile
