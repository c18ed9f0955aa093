// What this node believes of the upstream instance in its slot, from what the
// instance reports of itself.
#ifndef CORE_INSTANCE_TRACKER_H_
#define CORE_INSTANCE_TRACKER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "config/settings.h"

namespace verbenastile {

// One heartbeat of an instance.
struct InstanceReport {
  std::string id;
  std::string service;
  std::string software;  // The version of its software.
  std::string failure_domain;
  SocketAddress address;
  std::uint32_t slots = 0;
  bool leaving = false;
  Duration warm_up_left{0};      // How long it stays slow after its start.
  std::uint64_t sequence = 0;    // Rises with each report of one start.
  std::uint64_t started_ms = 0;  // Its start, Unix ms; 0: it does not say.
};

// What became of a report.
enum class ReportVerdict : std::uint8_t {
  kUnchanged = 0,  // Believed; only its age is new.
  kChanged,        // Believed, and the instance or its state is another.
  kStale,          // Older than what is known; nothing changed.
  kForeign,        // Not of the instance in this slot; nothing changed.
};

// The name of `verdict` in lower case.
std::string_view ToString(ReportVerdict verdict);

enum class InstanceState : std::uint8_t {
  kUnknown = 0,  // Nothing was heard yet.
  kServing,
  kUnreachable,  // It refused a connection since its last report.
  kLeaving,
  kGone,  // It said that it ends.
};

// The name of `state` in lower case.
std::string_view ToString(InstanceState state);

class InstanceTracker {
 public:
  // Only reports that name `slot` as their address are believed.
  explicit InstanceTracker(SocketAddress slot) : slot_(std::move(slot)) {}

  ReportVerdict OnReport(const InstanceReport& report, Time now);
  // The instance `id` says that it ends.
  ReportVerdict OnDeregistered(std::string_view id, Time now);
  // An earlier start of this node believed that the instance `id` had gone, or
  // was leaving as of its report number `sequence`.
  void OnRemembered(std::string_view id, bool gone, std::uint64_t sequence);
  // A connection to the slot's address was refused or timed out.
  // Returns whether this is news.
  bool OnConnectFailed(Time now);
  // The address answered as another instance than `id`.
  bool OnMismatch(std::string_view id, Time now);

  // Whether it takes new work.
  bool serves() const { return state_ == InstanceState::kServing; }
  InstanceState state() const { return state_; }
  // The last report that was believed; nothing before the first.
  const std::optional<InstanceReport>& report() const { return report_; }
  // When the present state began, and when the instance was last heard.
  Time since() const { return since_; }
  Time heard() const { return heard_; }

 private:
  bool IsOlder(const InstanceReport& report) const;
  void Enter(InstanceState state, Time now);

  // Instances that were replaced by another one at the same address.
  static constexpr std::size_t kMaxReplaced = 64;

  // What is known of an instance that was leaving.
  struct Leaver {
    std::string id;
    bool gone = false;
    std::uint64_t sequence = 0;  // Later reports are believed, unless gone.
  };

  bool HasLeft(const InstanceReport& report) const;
  void Remember(const Leaver& leaver);

  SocketAddress slot_;
  std::deque<std::string> replaced_;
  std::deque<Leaver> leavers_;
  std::optional<InstanceReport> report_;
  InstanceState state_ = InstanceState::kUnknown;
  Time since_;
  Time heard_;
};

}  // namespace verbenastile

#endif  // CORE_INSTANCE_TRACKER_H_
