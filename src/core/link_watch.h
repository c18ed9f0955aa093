// Decides when a link is probed and when it is taken as broken. Links that
// carry calls are watched closely; idle ones are probed at a bounded rate for
// all of them, so that the bytes do not grow with the fleet, and closely once
// another node has lost its own link to the same peer.
#ifndef CORE_LINK_WATCH_H_
#define CORE_LINK_WATCH_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace verbenastile {

enum class LinkVerdict : std::uint8_t {
  kFine,
  kProbe,   // Send a probe now.
  kBroken,  // A probe was not answered in time.
};

// The silence after which an idle link is probed, with `links` of them.
Duration IdleSilence(std::size_t links);
// The silence after which a link that the peer should probe is given up.
Duration LongestSilence(std::size_t links);

class LinkWatch {
 public:
  struct Query {
    Time last_heard;
    bool busy = false;      // Answers are due on it.
    std::size_t links = 0;  // That this node probes.
  };

  // The link is new: the peer's first frame is due.
  void OnOpened(Time now);
  void OnFrame();
  // Another node's link to the peer broke.
  void OnSuspected() { suspected_ = true; }
  // This process did not run for a while: an answer may wait to be read.
  void OnStoodStill(Time now);

  LinkVerdict Check(const Query& query, Time now);

 private:
  Time probed_;  // When the unanswered probe was sent; none: `Time()`.
  bool suspected_ = false;
};

}  // namespace verbenastile

#endif  // CORE_LINK_WATCH_H_
