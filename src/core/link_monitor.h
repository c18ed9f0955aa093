// Failure detection for a link: decides when it is probed and when it is
// considered broken. Links with outstanding calls are probed after a short
// silence. Idle links share a bounded probe rate, so that the probe traffic
// does not grow with the fleet; an idle link is probed after the short silence
// too once another node has lost its own link to the same peer.
#ifndef CORE_LINK_MONITOR_H_
#define CORE_LINK_MONITOR_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

enum class LinkVerdict : std::uint8_t {
  kHealthy,
  kProbe,  // Send a probe now.
  // A probe was not answered in time. Calls that may run again are better sent
  // elsewhere; the others wait, because the peer may only be slow or paused.
  kSilent,
  kBroken,  // Like `kSilent`, and no call waits for the peer.
};

// The silence after which an idle link is probed if this node has `links`
// links.
Duration IdleProbeDelay(std::size_t links);
// The silence after which a link that the peer is responsible for probing is
// closed.
Duration PeerSilenceTimeout(std::size_t links);

class LinkMonitor {
 public:
  struct Query {
    Time last_heard;
    bool busy = false;      // Responses are outstanding.
    std::size_t links = 0;  // Number of links that this node probes.
    // Responses to calls that may not run again are outstanding.
    bool has_non_idempotent = false;
  };

  // The link was opened; the first frame of the peer is awaited like the
  // response to a probe.
  void OnOpened(Time now);
  void OnFrameReceived();
  // Another node lost its link to the peer.
  void OnPeerSuspected() { suspected_ = true; }
  // This process was paused; a response may be waiting to be read.
  void OnProcessPaused(Time now);

  LinkVerdict Check(const Query& query, Time now);

  // A probe has been outstanding for longer than a sound peer takes, or another
  // node lost its link to the peer. New calls are better sent elsewhere, since
  // nobody could say whether they ran if the peer is gone.
  bool IsDoubtful(Time now) const;

 private:
  Time probe_sent_;  // When the outstanding probe was sent; `Time()`: none.
  bool suspected_ = false;
};

}  // namespace verbenastile

#endif  // CORE_LINK_MONITOR_H_
