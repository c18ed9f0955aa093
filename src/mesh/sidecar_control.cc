#include "mesh/sidecar.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "io/http_status.h"
#include "platform/configuration.h"

namespace verbenastile {
namespace {

// How long the acknowledgement of a leaving instance waits for the store and
// for peers. The instance waits for a second, and then calls again.
constexpr Duration kAcknowledgeTimeout = std::chrono::milliseconds(900);

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
    OnDeregister(exchange, leave->run);
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
  if (report.service != tracker_.service()) {
    // A replacement comes with new settings.
    CheckSettings("report of another service", WatchedFile::When::kAlways);
  }
  const ReportVerdict verdict = tracker_.OnReport(report, SteadyNow());
  if (verdict != ReportVerdict::kUnchanged) {
    Log(verdict == ReportVerdict::kChanged ? LogLevel::kInfo
                                           : LogLevel::kWarning,
        "control", "Received a report of the instance.",
        {{"instance", report.id},
         {"verdict", ToString(verdict)},
         {"state", ToString(tracker_.state())},
         {"service", report.service},
         {"address", ToString(report.address)},
         {"slots", report.slots},
         {"sequence", report.sequence},
         {"started_ms", report.started_ms}});
  }
  if (verdict == ReportVerdict::kChanged) {
    OnInstanceChanged("report");
  }
  const InstanceRun run{report.id, report.started_ms};
  if (report.leaving && tracker_.IsCurrent(run) && tracker_.is_leaving()) {
    AcknowledgeLeaving(exchange);
    return;
  }
  // What a later report of the run, or its departure, has replaced counts as
  // acknowledged by that one. A call without effect is not acknowledged.
  const bool has_effect = verdict == ReportVerdict::kChanged ||
                          verdict == ReportVerdict::kUnchanged ||
                          tracker_.HasLeft(run, report.sequence) ||
                          (tracker_.IsCurrent(run) && !report.leaving &&
                           verdict == ReportVerdict::kStale);
  exchange->Send(has_effect ? kHttpOk : kHttpUnavailable, JsonHeaders(), "{}");
}

void Sidecar::OnDeregister(const ExchangePointer& exchange,
                           const InstanceRun& run) {
  const ReportVerdict verdict = tracker_.OnDeregistered(run, SteadyNow());
  Log(LogLevel::kInfo, "control", "The instance deregistered.",
      {{"instance", run.id},
       {"started_ms", run.started_ms},
       {"verdict", ToString(verdict)}});
  if (verdict == ReportVerdict::kChanged) {
    OnInstanceChanged("deregistered");
  }
  if (verdict == ReportVerdict::kForeign) {
    // It is not in the slot, and does not return to it.
    exchange->Send(kHttpOk, JsonHeaders(), "{}");
  } else {
    AcknowledgeLeaving(exchange);
  }
}

void Sidecar::AcknowledgeLeaving(const ExchangePointer& exchange) {
  const std::uint64_t call = ++last_leaving_call_;
  leaving_calls_.emplace(call, exchange);
  if (leaving_confirmations_.AreEnough(member_registry_, settings_.name)) {
    AnswerLeaving(call, kHttpOk);
    return;
  }
  PublishOwnRecord([this, call] { AnswerLeaving(call, kHttpOk); });
  if (!leaving_calls_.contains(call)) {
    return;
  }
  // Peers that are linked anew, or whose confirmation was lost, confirm it.
  links_.AnnounceSelf();
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kAcknowledgeTimeout);
  timer->async_wait([timer, call, this](const asio::error_code&) {
    if (leaving_calls_.contains(call)) {
      Log(LogLevel::kWarning, "control",
          "Neither the store nor enough peers know that the instance leaves.",
          {{"state", ToString(tracker_.state())},
           {"open_links", links_.open_links()}});
      AnswerLeaving(call, kHttpUnavailable);
    }
  });
}

void Sidecar::AnswerLeaving(std::uint64_t call, int status) {
  if (const auto found = leaving_calls_.extract(call)) {
    found.mapped()->Send(status, JsonHeaders(), "{}");
  }
}

void Sidecar::OnMemberKnown(std::string_view member, std::uint64_t sequence) {
  if (member_registry_.Find(member) == nullptr) {
    return;  // A peer that has not said who it is, or was removed.
  }
  leaving_confirmations_.OnKnown(member, sequence);
  std::uint64_t& known = known_by_[std::string(member)];
  known = std::max(known, sequence);
  if (joins_since_ && sequence >= *joins_since_) {
    ++confirmations_;
  }
  if (leaving_calls_.empty() ||
      !leaving_confirmations_.AreEnough(member_registry_, settings_.name)) {
    return;
  }
  while (!leaving_calls_.empty()) {
    AnswerLeaving(leaving_calls_.begin()->first, kHttpOk);
  }
}

void Sidecar::OnInstanceNotice(std::string_view member,
                               const InstanceNotice& notice) {
  const auto departed_before = tracker_.departed_before_report();
  inbound_.OnPeerNotice(notice, member);
  if (tracker_.departed_before_report() != departed_before) {
    Log(LogLevel::kInfo, "control",
        "A peer returned that the instance said to an earlier process that it "
        "leaves.",
        {{"peer", member},
         {"instance", notice.instance},
         {"started_ms", notice.started_ms}});
    OnInstanceChanged("notice of a peer");
  }
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
