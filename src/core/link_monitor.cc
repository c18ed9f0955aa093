#include "core/link_monitor.h"

#include <algorithm>

namespace verbenastile {
namespace {

// Silence after which a link with outstanding responses is probed: well above
// the time between responses of one instance under load.
constexpr Duration kBusySilence = std::chrono::milliseconds(300);
// A link is broken if a probe is not answered within this time, which covers
// the retransmission of a few lost packets.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1'200);
// A probe and its response take a few milliseconds, and some tens where event
// loops are busy or regions are far apart.
constexpr Duration kDoubtTime = std::chrono::milliseconds(150);
constexpr Duration kMinIdleSilence = std::chrono::seconds(1);
// Probes of idle links per second. A probe and its response take some 80 bytes
// at each of the two ends; in total this rate uses 3.2 of the 4 KB per second
// that a node may spend on control traffic.
constexpr std::int64_t kIdleProbesPerSecond = 20;
// Allowance for late probes of a peer.
constexpr Duration kLateProbeAllowance = std::chrono::seconds(4);

}  // namespace

Duration IdleProbeDelay(std::size_t links) {
  const Duration second = std::chrono::seconds(1);
  return std::max(kMinIdleSilence, second * static_cast<std::int64_t>(links) /
                                       kIdleProbesPerSecond);
}

Duration PeerSilenceTimeout(std::size_t links) {
  return IdleProbeDelay(links) + kLateProbeAllowance;
}

void LinkMonitor::OnOpened(Time now) {
  probe_sent_ = now;
  suspected_ = false;
}

void LinkMonitor::OnFrameReceived() {
  probe_sent_ = Time();
  suspected_ = false;
}

void LinkMonitor::OnProcessPaused(Time now) {
  if (probe_sent_ != Time()) {
    probe_sent_ = now;
  }
}

bool LinkMonitor::IsDoubtful(Time now) const {
  return suspected_ ||
         (probe_sent_ != Time() && now - probe_sent_ > kDoubtTime);
}

LinkVerdict LinkMonitor::Check(const Query& query, Time now) {
  if (probe_sent_ != Time()) {
    if (now - probe_sent_ <= kProbeTimeout) {
      return LinkVerdict::kHealthy;
    }
    return query.has_non_idempotent ? LinkVerdict::kSilent
                                    : LinkVerdict::kBroken;
  }
  const Duration allowed =
      query.busy || suspected_ ? kBusySilence : IdleProbeDelay(query.links);
  if (now - query.last_heard <= allowed) {
    return LinkVerdict::kHealthy;
  }
  probe_sent_ = now;
  return LinkVerdict::kProbe;
}

}  // namespace verbenastile
