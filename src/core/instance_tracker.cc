#include "core/instance_tracker.h"

#include <algorithm>

namespace verbenastile {

std::string_view ToString(ReportVerdict verdict) {
  switch (verdict) {
    case ReportVerdict::kUnchanged:
      return "unchanged";
    case ReportVerdict::kChanged:
      return "changed";
    case ReportVerdict::kStale:
      return "stale";
    case ReportVerdict::kForeign:
      return "foreign";
  }
  return "unknown";
}

std::string_view ToString(InstanceState state) {
  switch (state) {
    case InstanceState::kUnknown:
      return "unknown";
    case InstanceState::kServing:
      return "serving";
    case InstanceState::kUnreachable:
      return "unreachable";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kGone:
      return "gone";
  }
  return "unknown";
}

// A delayed report: of an earlier start, or overtaken by a later one of the
// same start.
bool InstanceTracker::IsOlder(const InstanceReport& report) const {
  if (!report_) {
    return false;
  }
  const bool tells_start = report.started_ms != 0 && report_->started_ms != 0;
  if (tells_start && report.started_ms != report_->started_ms) {
    return report.started_ms < report_->started_ms;
  }
  if (report.id == report_->id) {
    return report.sequence <= report_->sequence;
  }
  // Of two instances that do not tell their start, the one that was replaced
  // is the older, unless the other one cannot be reached.
  return state_ != InstanceState::kUnreachable &&
         std::find(replaced_.begin(), replaced_.end(), report.id) !=
             replaced_.end();
}

ReportVerdict InstanceTracker::OnReport(const InstanceReport& report,
                                        Time now) {
  if (report.address != slot_) {
    return ReportVerdict::kForeign;
  }
  if (IsOlder(report) || HasLeft(report)) {
    return ReportVerdict::kStale;
  }
  const bool same_start = report_ && report.id == report_->id &&
                          report.started_ms == report_->started_ms;
  const bool changed = !same_start || report.service != report_->service ||
                       report.slots != report_->slots;
  if (report_ && report_->id != report.id) {
    replaced_.push_back(report_->id);
    if (replaced_.size() > kMaxReplaced) {
      replaced_.pop_front();
    }
  }
  report_ = report;
  heard_ = now;
  const InstanceState next =
      report.leaving ? InstanceState::kLeaving : InstanceState::kServing;
  if (!changed && next == state_) {
    return ReportVerdict::kUnchanged;
  }
  Enter(next, now);
  return ReportVerdict::kChanged;
}

ReportVerdict InstanceTracker::OnDeregistered(std::string_view id, Time now) {
  if (report_ && report_->id != id) {
    return ReportVerdict::kForeign;
  }
  if (state_ == InstanceState::kGone) {
    return ReportVerdict::kUnchanged;
  }
  heard_ = now;
  Remember({std::string(id), true, 0});
  Enter(InstanceState::kGone, now);
  return ReportVerdict::kChanged;
}

void InstanceTracker::OnRemembered(std::string_view id,
                                   bool gone,
                                   std::uint64_t sequence) {
  Remember({std::string(id), gone, sequence});
}

void InstanceTracker::Remember(const Leaver& leaver) {
  leavers_.push_back(leaver);
  if (leavers_.size() > kMaxReplaced) {
    leavers_.pop_front();
  }
}

// Whether the report is one that the instance sent before it left. An instance
// that tells its start may start again under its old id.
bool InstanceTracker::HasLeft(const InstanceReport& report) const {
  const bool started_again = report.started_ms != 0 && report_ &&
                             report.started_ms > report_->started_ms;
  return !started_again &&
         std::any_of(
             leavers_.begin(), leavers_.end(), [&](const Leaver& leaver) {
               return leaver.id == report.id &&
                      (leaver.gone || report.sequence <= leaver.sequence);
             });
}

bool InstanceTracker::OnConnectFailed(Time now) {
  if (state_ != InstanceState::kServing) {
    return false;
  }
  Enter(InstanceState::kUnreachable, now);
  return true;
}

bool InstanceTracker::OnMismatch(std::string_view id, Time now) {
  if (!report_ || report_->id != id) {
    return false;
  }
  return OnConnectFailed(now);
}

void InstanceTracker::Enter(InstanceState state, Time now) {
  if (state != state_) {
    since_ = now;
  }
  state_ = state;
}

}  // namespace verbenastile
