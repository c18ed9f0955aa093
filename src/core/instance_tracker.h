// Tracks the state of the upstream instance in the slot of this node from the
// reports of the instance.
#ifndef CORE_INSTANCE_TRACKER_H_
#define CORE_INSTANCE_TRACKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "config/settings.h"
#include "core/instance_run.h"

namespace verbenastile {

// A heartbeat of an instance.
struct InstanceReport {
  std::string id;
  std::string service;
  std::string software;  // Software version.
  std::string failure_domain;
  SocketAddress address;
  std::uint32_t slots = 0;
  bool leaving = false;
  Duration remaining_warm_up{0};  // Remaining warm-up time after its start.
  std::uint64_t sequence = 0;     // Increases with each report of one run.
  std::uint64_t started_ms = 0;   // Start time in Unix ms; 0: not reported.
};

// An instance that has announced its departure.
struct DepartedInstance {
  InstanceRun run;
  bool gone = false;           // It has deregistered.
  std::uint64_t sequence = 0;  // Later reports are accepted unless `gone`.
  bool by_response = false;    // It said so in a response.

  bool operator==(const DepartedInstance&) const = default;
};

// The result of handling a report.
enum class ReportVerdict : std::uint8_t {
  kUnchanged = 0,  // Accepted; only the time of the last report changes.
  kChanged,        // Accepted; the instance or its state has changed.
  kStale,          // Ignored: older than the current state.
  kForeign,        // Ignored: not known to be from the instance in this slot.
};

// The lower-case name of `verdict`.
std::string_view ToString(ReportVerdict verdict);

enum class InstanceState : std::uint8_t {
  kUnknown = 0,  // No instance of the slot's service has reported yet.
  kServing,
  kUnreachable,  // A connection failed since its last report.
  kLeaving,
  kGone,  // It has deregistered.
};

// The lower-case name of `state`.
std::string_view ToString(InstanceState state);

// Decides which instance is in the slot, and which service the slot has.
//
// A report that looks like that of a replacement is accepted at once. Others
// need to be repeated while the instance in the slot is silent: one that names
// another service than the slot has, one of an instance that was replaced, and
// one that is behind what is known of its run. So a report of another writer
// silences the instance for a few of its reports at most.
class InstanceTracker {
 public:
  // Only accepts reports that have `slot` as their address. `service` is that
  // of the settings.
  InstanceTracker(SocketAddress slot, std::string service)
      : slot_(std::move(slot)),
        settings_service_(std::move(service)),
        service_(settings_service_) {}

  // The settings name `service` from now on. Returns whether that changes the
  // service of the slot: an instance of another service has ended.
  bool SetSettingsService(std::string_view service, Time now);
  // The services of the configuration in force. A report that names neither one
  // of them nor that of the settings is not from an instance.
  void SetKnownServices(std::set<std::string, std::less<>> services) {
    known_services_ = std::move(services);
  }

  ReportVerdict OnReport(const InstanceReport& report, Time now);
  // The run of an instance has deregistered.
  ReportVerdict OnDeregistered(const InstanceRun& run, Time now);
  // The instance `id` said in a response that it leaves. It does not return:
  // reports that say otherwise were sent earlier.
  ReportVerdict OnLeavingResponse(std::string_view id, Time now);
  // A peer returned that the run of an instance leaves. Counts only if this
  // process has not heard it from the instance: it may have reported since that
  // it stays.
  ReportVerdict OnLeavingPeerNotice(const InstanceRun& run, Time now);
  // Restores state from an earlier run of this node: the run of the instance
  // had deregistered (`gone`), or was leaving as of its report number
  // `sequence`. Returns whether the state changed: a delayed report of the
  // instance may have been accepted before.
  bool RestoreDeparted(const InstanceRun& run,
                       bool gone,
                       std::uint64_t sequence,
                       Time now);
  // A connection to the address of the slot was refused or timed out. Returns
  // whether the state changed.
  bool OnConnectFailed(Time now);
  // Another instance than `id` responded at the address. Returns whether the
  // state changed.
  bool OnIdentityMismatch(std::string_view id, Time now);

  // The service that the slot has, whether or not an instance serves it.
  const std::string& service() const { return service_; }
  // Whether `run` is that of the instance in the slot.
  bool IsCurrent(const InstanceRun& run) const {
    return report_ && RunOf(*report_) == run;
  }
  // Whether it is known that the run left before its report number `sequence`.
  bool HasLeft(const InstanceRun& run, std::uint64_t sequence) const;
  // Whether the instance accepts new work.
  bool serves() const { return state_ == InstanceState::kServing; }
  InstanceState state() const { return state_; }
  // Whether the instance in the slot is leaving or has left, and whether it
  // said so in a response.
  bool is_leaving() const {
    return state_ == InstanceState::kLeaving || state_ == InstanceState::kGone;
  }
  bool said_leaving_in_response() const {
    return report_ && SaidLeavingInResponse(RunOf(*report_));
  }
  // The instance that was last known to leave or to have left, if none has
  // reported since this process started.
  std::optional<DepartedInstance> departed_before_report() const;
  // The last accepted report, if any.
  const std::optional<InstanceReport>& report() const { return report_; }
  // When the current state began, and when the instance last reported.
  Time state_since() const { return state_since_; }
  Time last_heard() const { return last_heard_; }

 private:
  // Reports of a run that is not accepted by one of them alone, since the last
  // accepted report.
  struct Contender {
    InstanceRun run;
    std::uint64_t sequence = 0;  // Of the latest one.
    std::size_t reports = 0;
    Time since;
  };

  bool MayBeInSlot(std::string_view service) const;
  bool IsDisproved(const InstanceRun& run) const;
  void Disprove(const InstanceRun& run);
  bool OutlastsInstance(const InstanceReport& report, Time now);
  ReportVerdict Accept(const InstanceReport& report, Time now);
  bool IsOlder(const InstanceReport& report) const;
  bool IsOfOtherWriter(const InstanceReport& report) const;
  void SetState(InstanceState state, Time now);

  // Number of replaced and of departed instances that are kept.
  static constexpr std::size_t kMaxFormerInstances = 64;

  bool HasLeft(const InstanceReport& report) const;
  void AddDeparted(const DepartedInstance& departed);
  bool SaidLeavingInResponse(const InstanceRun& run) const;
  void AddLeftByResponse(const InstanceRun& run);
  ReportVerdict OnLeavingRun(const InstanceRun& run, Time now);
  static InstanceRun RunOf(const InstanceReport& report) {
    return {report.id, report.started_ms};
  }

  SocketAddress slot_;
  std::string settings_service_;
  std::string service_;
  std::set<std::string, std::less<>> known_services_;
  std::deque<Contender> contenders_;
  // Runs that reported, and were found not to be in the slot.
  std::deque<InstanceRun> disproved_;
  std::deque<std::string> replaced_ids_;
  std::deque<DepartedInstance> departed_;
  // Instances that said in a response that they leave.
  std::deque<InstanceRun> left_by_response_;
  std::optional<InstanceReport> report_;
  InstanceState state_ = InstanceState::kUnknown;
  bool has_reported_leaving_ = false;  // The instance in the slot.
  Time state_since_;
  Time last_heard_;
};

}  // namespace verbenastile

#endif  // CORE_INSTANCE_TRACKER_H_
