#include "core/configuration_source.h"

#include <algorithm>
#include <vector>

namespace verbenastile {
namespace {

// 50 Mbit/s: a configuration of 1 MB, the most that the platform's objects
// hold, takes a sixth of a second.
constexpr std::int64_t kReaderLinkBytesPerSecond = 6'250'000;
// One reader may be stuck without knowing it.
constexpr std::size_t kLeastReaders = 2;
// A node that starts is linked to the readers within this.
constexpr Duration kStartWait = std::chrono::milliseconds(1'500);
// A store that the readers have lost is most likely lost to all: only what it
// may take longer while the store turns some machines away, 5 s, less the way
// of a configuration.
constexpr Duration kReadersLostWait = std::chrono::seconds(4);
// A node that follows the store asks a peer when the store has not brought the
// news for this long: a rest between two watches and a transfer.
constexpr Duration kAskAfter = std::chrono::milliseconds(1'400);
// An ask is given up for another after this: the round trip of a delta beside
// a queue of answers on a small link.
constexpr Duration kAskTimeout = std::chrono::milliseconds(500);

}  // namespace

ConfigurationSource::ConfigurationSource(const Init& init)
    : small_link_(init.link_bytes_per_second < kReaderLinkBytesPerSecond),
      started_(init.started),
      lacks_readers_since_(init.started),
      turn_(init.seed) {}

void ConfigurationSource::OnPeer(std::string_view name,
                                 const PeerConfiguration& said,
                                 Time now) {
  auto found = peers_.find(name);
  if (found == peers_.end()) {
    found = peers_.emplace(std::string(name), Peer{}).first;
  }
  Peer& peer = found->second;
  peer.generation = said.generation;
  peer.confirmed = std::nullopt;
  if (said.age) {
    peer.confirmed = now - *said.age;
  }
  if (said.generation > held_ && behind_since_ == Time()) {
    behind_since_ = now;
  }
  CountReaders(now);
}

void ConfigurationSource::OnPeerGone(std::string_view name, Time now) {
  const auto found = peers_.find(name);
  if (found != peers_.end()) {
    peers_.erase(found);
    CountReaders(now);
  }
}

void ConfigurationSource::CountReaders(Time now) {
  if (Readers() >= kLeastReaders) {
    lacks_readers_since_ = Time();
  } else if (lacks_readers_since_ == Time()) {
    lacks_readers_since_ = now;
  }
}

void ConfigurationSource::OnHeld(std::uint64_t generation) {
  held_ = std::max(held_, generation);
  behind_since_ = Time();
  asked_ = Time();
}

std::size_t ConfigurationSource::Readers() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& entry) { return entry.second.confirmed.has_value(); }));
}

bool ConfigurationSource::FollowsStore(Time now) const {
  if (!small_link_) {
    return true;
  }
  if (lacks_readers_since_ == Time() || now - started_ < kStartWait) {
    return false;
  }
  return held_ == 0 || now - lacks_readers_since_ >= kReadersLostWait;
}

std::optional<Time> ConfigurationSource::confirmed() const {
  std::optional<Time> newest;
  for (const auto& [name, peer] : peers_) {
    newest = std::max(newest, peer.confirmed);
  }
  return newest;
}

std::optional<std::string> ConfigurationSource::Ask(Time now) {
  const bool waits = FollowsStore(now) && now - behind_since_ < kAskAfter;
  if (behind_since_ == Time() || waits ||
      (asked_ != Time() && now - asked_ < kAskTimeout)) {
    return std::nullopt;
  }
  std::vector<std::string_view> readers;
  std::vector<std::string_view> others;
  for (const auto& [name, peer] : peers_) {
    if (peer.generation > held_) {
      (peer.confirmed ? readers : others).push_back(name);
    }
  }
  // Others have small links; they are asked when the readers did not answer.
  const bool late = now - behind_since_ >= kAskAfter;
  if (late) {
    readers.insert(readers.end(), others.begin(), others.end());
  }
  if (readers.empty()) {
    return std::nullopt;
  }
  asked_ = now;
  return std::string(readers[++turn_ % readers.size()]);
}

}  // namespace verbenastile
