#include "core/link_watch.h"

#include <algorithm>

namespace verbenastile {
namespace {

// Silence that is probed when answers are due: well above the time between
// answers of one instance under load.
constexpr Duration kBusySilence = std::chrono::milliseconds(300);
// A probe that is not answered within this breaks the link: the time of a few
// lost packets' retransmissions.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1'200);
constexpr Duration kLeastIdleSilence = std::chrono::seconds(1);
// Probes of idle links a second: with their answers some 80 bytes each, on both
// ends, 3.2 of the 4 KB that a node may spend on control.
constexpr std::int64_t kIdleProbesPerSecond = 20;
// What a peer may be late with its probes.
constexpr Duration kSilenceSlack = std::chrono::seconds(4);

}  // namespace

Duration IdleSilence(std::size_t links) {
  const Duration turn = std::chrono::seconds(1);
  return std::max(kLeastIdleSilence, turn * static_cast<std::int64_t>(links) /
                                         kIdleProbesPerSecond);
}

Duration LongestSilence(std::size_t links) {
  return IdleSilence(links) + kSilenceSlack;
}

void LinkWatch::OnOpened(Time now) {
  probed_ = now;
  suspected_ = false;
}

void LinkWatch::OnFrame() {
  probed_ = Time();
  suspected_ = false;
}

void LinkWatch::OnStoodStill(Time now) {
  if (probed_ != Time()) {
    probed_ = now;
  }
}

LinkVerdict LinkWatch::Check(const Query& query, Time now) {
  if (probed_ != Time()) {
    return now - probed_ > kProbeTimeout ? LinkVerdict::kBroken
                                         : LinkVerdict::kFine;
  }
  const Duration allowed =
      query.busy || suspected_ ? kBusySilence : IdleSilence(query.links);
  if (now - query.last_heard <= allowed) {
    return LinkVerdict::kFine;
  }
  probed_ = now;
  return LinkVerdict::kProbe;
}

}  // namespace verbenastile
