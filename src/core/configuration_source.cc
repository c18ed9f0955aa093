#include "core/configuration_source.h"

#include <algorithm>
#include <vector>

namespace verbenastile {
namespace {

// 50 Mbit/s. A configuration of 1 MB, the size limit of the platform's objects,
// takes a sixth of a second to transfer at this rate.
constexpr std::int64_t kReaderLinkBytesPerSecond = 6'250'000;
// A single reader may have stalled without noticing, so two are required.
constexpr std::size_t kMinReaders = 2;
// Time after start within which a node has links to the readers.
constexpr Duration kStartupGrace = std::chrono::milliseconds(1'500);
// The same for a node without any link: when all nodes start at once, it learns
// of the others from its second or third list of the members.
constexpr Duration kDiscoveryGrace = std::chrono::milliseconds(3'500);
// How long a node waits for enough readers before it watches the store itself.
// A store that the readers cannot reach is most likely unreachable for all
// nodes, so watching it early would not help. The delay is bounded by the 5 s
// that a change may take longer while the store rejects some machines, less
// the time to transfer a configuration.
constexpr Duration kReaderShortageDelay = std::chrono::seconds(4);
// A node that watches the store requests a newer generation from a peer when
// the store has not delivered it within this time, which covers the pause
// between two watches and a transfer.
constexpr Duration kPeerRequestDelay = std::chrono::milliseconds(1'400);
// The same for a node without any configuration, which cannot serve until it
// has one. Covers a response of the store that is not slow.
constexpr Duration kFirstPeerRequestDelay = std::chrono::milliseconds(100);
// Timeout of a request to a peer, after which another peer is asked. Covers the
// round trip for a delta on a slow link that also carries queued responses.
constexpr Duration kPeerRequestTimeout = std::chrono::milliseconds(500);
// A node that is further behind takes the newest generation, so that only
// confirmations of the last ones are of use.
constexpr std::size_t kMaxNewerConfirmations = 32;

}  // namespace

ConfigurationSource::ConfigurationSource(const Init& init)
    : slow_link_(init.link_bytes_per_second < kReaderLinkBytesPerSecond),
      started_(init.started),
      reader_shortage_since_(init.started),
      next_peer_(init.seed) {}

void ConfigurationSource::OnPeerConfiguration(std::string_view name,
                                              const PeerConfiguration& reported,
                                              Time now) {
  auto peer = peers_.find(name);
  if (peer == peers_.end()) {
    peer = peers_.emplace(std::string(name), 0).first;
  }
  peer->second = reported.generation;
  if (const auto reader = readers_.find(name); reader == readers_.end()) {
    if (reported.age) {
      readers_.emplace(std::string(name), now - *reported.age);
    }
  } else if (reported.age) {
    reader->second = now - *reported.age;
  } else {
    readers_.erase(reader);
  }
  if (reported.age) {
    OnConfirmed(reported.generation, now - *reported.age);
  }
  if (reported.generation > held_generation_ && behind_since_ == Time()) {
    behind_since_ = now;
  }
  UpdateReaderShortage(now);
}

void ConfigurationSource::OnPeerGone(std::string_view name, Time now) {
  const auto found = peers_.find(name);
  if (found != peers_.end()) {
    peers_.erase(found);
    if (const auto reader = readers_.find(name); reader != readers_.end()) {
      readers_.erase(reader);
    }
    UpdateReaderShortage(now);
  }
}

void ConfigurationSource::UpdateReaderShortage(Time now) {
  if (ReaderCount() >= kMinReaders) {
    reader_shortage_since_ = Time();
  } else if (reader_shortage_since_ == Time()) {
    reader_shortage_since_ = now;
  }
}

// Confirmations that are dropped only make the belief older than it is.
void ConfigurationSource::OnConfirmed(std::uint64_t generation,
                                      Time confirmed) {
  if (generation <= held_generation_) {
    last_confirmed_ = std::max(last_confirmed_, std::optional(confirmed));
    return;
  }
  Time& newest = newer_confirmed_[generation];
  newest = std::max(newest, confirmed);
  if (newer_confirmed_.size() > kMaxNewerConfirmations) {
    newer_confirmed_.erase(newer_confirmed_.begin());
  }
}

void ConfigurationSource::OnApplied(std::uint64_t generation) {
  held_generation_ = std::max(held_generation_, generation);
  const auto still_newer = newer_confirmed_.upper_bound(held_generation_);
  for (auto it = newer_confirmed_.begin(); it != still_newer; ++it) {
    last_confirmed_ = std::max(last_confirmed_, std::optional(it->second));
  }
  newer_confirmed_.erase(newer_confirmed_.begin(), still_newer);
  behind_since_ = Time();
  requested_at_ = Time();
}

bool ConfigurationSource::ShouldWatchStore(Time now) const {
  if (!slow_link_) {
    return true;
  }
  const Duration grace = peers_.empty() ? kDiscoveryGrace : kStartupGrace;
  if (reader_shortage_since_ == Time() || now - started_ < grace) {
    return false;
  }
  return held_generation_ == 0 ||
         now - reader_shortage_since_ >= kReaderShortageDelay;
}

std::optional<Duration> ConfigurationSource::BehindFor(Time now) const {
  return behind_since_ == Time() ? std::nullopt
                                 : std::optional(now - behind_since_);
}

std::optional<std::string> ConfigurationSource::SelectPeerToQuery(Time now) {
  const Duration store_delay =
      held_generation_ == 0 ? kFirstPeerRequestDelay : kPeerRequestDelay;
  const bool awaits_store =
      ShouldWatchStore(now) && now - behind_since_ < store_delay;
  if (behind_since_ == Time() || awaits_store ||
      (requested_at_ != Time() && now - requested_at_ < kPeerRequestTimeout)) {
    return std::nullopt;
  }
  std::vector<std::string_view> readers;
  std::vector<std::string_view> others;
  for (const auto& [name, generation] : peers_) {
    if (generation > held_generation_) {
      (readers_.contains(name) ? readers : others).push_back(name);
    }
  }
  // Other peers have slow links, so they are asked only when the readers have
  // not answered in time.
  const bool ask_others = now - behind_since_ >= kPeerRequestDelay;
  if (ask_others) {
    readers.insert(readers.end(), others.begin(), others.end());
  }
  if (readers.empty()) {
    return std::nullopt;
  }
  requested_at_ = now;
  return std::string(readers[++next_peer_ % readers.size()]);
}

}  // namespace verbenastile
