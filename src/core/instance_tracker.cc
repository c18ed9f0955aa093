#include "core/instance_tracker.h"

#include <algorithm>

namespace verbenastile {
namespace {

// Reports that confirm a contender to the slot, and the shortest time between
// the first and the last of them: reports that a partition delayed come
// together.
constexpr std::size_t kContenderReports = 3;
constexpr std::size_t kContenderReportsIfDisproved = 2;
constexpr Duration kMinContenderTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxContenders = 8;

}  // namespace

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

// Whether the report is a delayed one: from an earlier run, or overtaken by a
// later report of the same run.
bool InstanceTracker::IsOlder(const InstanceReport& report) const {
  if (!report_) {
    return false;
  }
  const bool have_start_times =
      report.started_ms != 0 && report_->started_ms != 0;
  if (have_start_times && report.started_ms != report_->started_ms) {
    return report.started_ms < report_->started_ms;
  }
  if (report.started_ms != 0 && report_->started_ms == 0) {
    return false;  // The sequence of the other one may be another writer's.
  }
  if (report.id == report_->id) {
    return report.sequence <= report_->sequence;
  }
  // Of two instances without a reported start time, the replaced one is the
  // older, unless the current one is unreachable.
  return state_ != InstanceState::kUnreachable &&
         std::find(replaced_ids_.begin(), replaced_ids_.end(), report.id) !=
             replaced_ids_.end();
}

// An instance that states its start time does so in each report. Only where it
// has ended may one that states none be in the slot now.
bool InstanceTracker::IsOfOtherWriter(const InstanceReport& report) const {
  return report_ && report_->started_ms != 0 && report.started_ms == 0 &&
         (state_ == InstanceState::kServing ||
          state_ == InstanceState::kLeaving);
}

bool InstanceTracker::SetSettingsService(std::string_view service, Time now) {
  if (service == settings_service_) {
    return false;
  }
  settings_service_ = service;
  if (service == service_) {
    return false;  // The instance has named it before.
  }
  service_ = service;
  contenders_.clear();
  if (serves() || state_ == InstanceState::kUnreachable) {
    SetState(InstanceState::kUnknown, now);
  }
  return true;
}

bool InstanceTracker::MayBeInSlot(std::string_view service) const {
  return service == service_ || service == settings_service_ ||
         known_services_.contains(service);
}

bool InstanceTracker::IsDisproved(const InstanceRun& run) const {
  return std::find(disproved_.begin(), disproved_.end(), run) !=
         disproved_.end();
}

void InstanceTracker::Disprove(const InstanceRun& run) {
  if (IsDisproved(run)) {
    return;
  }
  disproved_.push_back(run);
  if (disproved_.size() > kMaxFormerInstances) {
    disproved_.pop_front();
  }
}

// Whether the run of `report` has reported again and again while the instance
// in the slot was silent.
bool InstanceTracker::OutlastsInstance(const InstanceReport& report, Time now) {
  const InstanceRun run = RunOf(report);
  if (IsCurrent(run) && is_leaving() && !report.leaving) {
    return false;  // Sent before it left.
  }
  const auto contender =
      std::find_if(contenders_.begin(), contenders_.end(),
                   [&](const Contender& known) { return known.run == run; });
  if (contender == contenders_.end()) {
    contenders_.push_back({run, report.sequence, 1, now});
    if (contenders_.size() > kMaxContenders) {
      contenders_.pop_front();
    }
    return false;
  }
  if (report.sequence <= contender->sequence) {
    return false;
  }
  contender->sequence = report.sequence;
  ++contender->reports;
  const std::size_t needed =
      report_ && IsDisproved(RunOf(*report_)) && !IsDisproved(run)
          ? kContenderReportsIfDisproved
          : kContenderReports;
  return contender->reports >= needed &&
         now - contender->since >= kMinContenderTime;
}

ReportVerdict InstanceTracker::OnReport(const InstanceReport& report,
                                        Time now) {
  if (report.address != slot_ || !MayBeInSlot(report.service)) {
    return ReportVerdict::kForeign;
  }
  if (HasLeft(report)) {
    return ReportVerdict::kStale;
  }
  const InstanceRun run = RunOf(report);
  const bool is_older = IsOlder(report);
  // An instance that leaves may do so under the service that the slot had.
  const bool has_other_service =
      report.service != service_ && !(IsCurrent(run) && report.leaving);
  const bool is_foreign =
      IsOfOtherWriter(report) || has_other_service || IsDisproved(run);
  if (!is_older && !is_foreign) {
    return Accept(report, now);
  }
  if (!OutlastsInstance(report, now)) {
    return is_foreign ? ReportVerdict::kForeign : ReportVerdict::kStale;
  }
  if (report_ && !IsCurrent(run)) {
    Disprove(RunOf(*report_));
  }
  std::erase(disproved_, run);
  return Accept(report, now);
}

ReportVerdict InstanceTracker::Accept(const InstanceReport& report, Time now) {
  contenders_.clear();
  const bool same_run = report_ && report.id == report_->id &&
                        report.started_ms == report_->started_ms;
  // A first report that the instance leaves is a change also if a response said
  // so before: it has to be acknowledged.
  const bool changed = !same_run || report.service != report_->service ||
                       report.slots != report_->slots ||
                       (report.leaving && !report_->leaving);
  if (report_ && report_->id == report.id && !same_run) {
    std::erase_if(left_by_response_,
                  [&](const InstanceRun& run) { return run.id == report.id; });
  }
  if (report_ && !same_run && is_leaving() && state_ != InstanceState::kGone) {
    AddDeparted({RunOf(*report_), false, report_->sequence, false});
  }
  if (report_ && report_->id != report.id) {
    replaced_ids_.push_back(report_->id);
    if (replaced_ids_.size() > kMaxFormerInstances) {
      replaced_ids_.pop_front();
    }
  }
  has_reported_leaving_ = report.leaving || (same_run && has_reported_leaving_);
  if (!report.leaving) {
    service_ = report.service;
  }
  report_ = report;
  last_heard_ = now;
  const InstanceState next =
      report.leaving ? InstanceState::kLeaving : InstanceState::kServing;
  if (!changed && next == state_) {
    return ReportVerdict::kUnchanged;
  }
  SetState(next, now);
  return ReportVerdict::kChanged;
}

ReportVerdict InstanceTracker::OnDeregistered(const InstanceRun& run,
                                              Time now) {
  if (report_ && (report_->id != run.id || IsLaterRun(RunOf(*report_), run))) {
    // Its delayed reports do not bring it back.
    AddDeparted({run, true, 0, false});
    return ReportVerdict::kForeign;
  }
  if (state_ == InstanceState::kGone) {
    return ReportVerdict::kUnchanged;
  }
  contenders_.clear();
  last_heard_ = now;
  const bool is_known = run.started_ms != 0 || !report_;
  AddDeparted({is_known ? run : RunOf(*report_), true, 0, false});
  SetState(InstanceState::kGone, now);
  return ReportVerdict::kChanged;
}

ReportVerdict InstanceTracker::OnLeavingResponse(std::string_view id,
                                                 Time now) {
  const bool is_current = report_ && report_->id == id;
  return OnLeavingRun({std::string(id), is_current ? report_->started_ms : 0},
                      now);
}

ReportVerdict InstanceTracker::OnLeavingPeerNotice(const InstanceRun& run,
                                                   Time now) {
  if (report_ && report_->id == run.id && has_reported_leaving_) {
    return ReportVerdict::kUnchanged;
  }
  return OnLeavingRun(run, now);
}

ReportVerdict InstanceTracker::OnLeavingRun(const InstanceRun& run, Time now) {
  AddLeftByResponse(run);
  if (!report_ || report_->id != run.id || IsLaterRun(RunOf(*report_), run)) {
    return ReportVerdict::kForeign;
  }
  if (is_leaving()) {
    return ReportVerdict::kUnchanged;
  }
  SetState(InstanceState::kLeaving, now);
  return ReportVerdict::kChanged;
}

void InstanceTracker::AddLeftByResponse(const InstanceRun& run) {
  if (SaidLeavingInResponse(run)) {
    return;
  }
  left_by_response_.push_back(run);
  if (left_by_response_.size() > kMaxFormerInstances) {
    left_by_response_.pop_front();
  }
}

bool InstanceTracker::SaidLeavingInResponse(const InstanceRun& run) const {
  return std::any_of(left_by_response_.begin(), left_by_response_.end(),
                     [&](const InstanceRun& left) {
                       return left.id == run.id && !IsLaterRun(run, left);
                     });
}

std::optional<DepartedInstance> InstanceTracker::departed_before_report()
    const {
  if (report_ || (departed_.empty() && left_by_response_.empty())) {
    return std::nullopt;
  }
  if (departed_.empty()) {
    return DepartedInstance{left_by_response_.back(), false, 0, true};
  }
  DepartedInstance departed = departed_.back();
  departed.by_response = SaidLeavingInResponse(departed.run);
  return departed;
}

bool InstanceTracker::RestoreDeparted(const InstanceRun& run,
                                      bool gone,
                                      std::uint64_t sequence,
                                      Time now) {
  AddDeparted({run, gone, sequence, false});
  const bool is_older = report_ && report_->id == run.id &&
                        !IsLaterRun(RunOf(*report_), run) &&
                        (gone || report_->sequence <= sequence);
  if (!is_older || is_leaving()) {
    return false;
  }
  SetState(gone ? InstanceState::kGone : InstanceState::kLeaving, now);
  return true;
}

void InstanceTracker::AddDeparted(const DepartedInstance& departed) {
  departed_.push_back(departed);
  if (departed_.size() > kMaxFormerInstances) {
    departed_.pop_front();
  }
}

// Whether the instance sent the report before it left. An instance that reports
// its start time may start again under the same id.
bool InstanceTracker::HasLeft(const InstanceReport& report) const {
  const InstanceRun run = RunOf(report);
  const bool restarted = report.started_ms != 0 && report_ &&
                         report.started_ms > report_->started_ms;
  if (restarted) {
    return false;
  }
  return (!report.leaving && SaidLeavingInResponse(run)) ||
         HasLeft(run, report.sequence);
}

bool InstanceTracker::HasLeft(const InstanceRun& run,
                              std::uint64_t sequence) const {
  return std::any_of(departed_.begin(), departed_.end(),
                     [&](const DepartedInstance& departed) {
                       return departed.run.id == run.id &&
                              !IsLaterRun(run, departed.run) &&
                              (departed.gone || sequence <= departed.sequence);
                     });
}

bool InstanceTracker::OnConnectFailed(Time now) {
  if (state_ != InstanceState::kServing) {
    return false;
  }
  SetState(InstanceState::kUnreachable, now);
  return true;
}

bool InstanceTracker::OnIdentityMismatch(std::string_view id, Time now) {
  if (!report_ || report_->id != id) {
    return false;
  }
  Disprove(RunOf(*report_));
  return OnConnectFailed(now);
}

void InstanceTracker::SetState(InstanceState state, Time now) {
  if (state != state_) {
    state_since_ = now;
  }
  state_ = state;
}

}  // namespace verbenastile
