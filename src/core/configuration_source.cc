#include "core/configuration_source.h"

#include <algorithm>
#include <vector>

#include "core/digest.h"

namespace verbenastile {
namespace {

// 50 Mbit/s. A configuration of 1 MB, the size limit of the platform's objects,
// takes a sixth of a second to transfer at this rate.
constexpr std::int64_t kReaderLinkBytesPerSecond = 6'250'000;
// Other nodes that follow the store are enough from this number on: one of them
// may have stalled.
constexpr std::size_t kMinReaders = 2;
// Time after start within which a node has links to the readers.
constexpr Duration kStartupGrace = std::chrono::milliseconds(1'500);
// The same for a node without any link: when all nodes start at once, it learns
// of the others from its second or third list of the members.
constexpr Duration kDiscoveryGrace = std::chrono::milliseconds(3'500);
// Nodes that take the place of readers first, and go on to ask the store while
// it answers nobody.
constexpr std::size_t kFirstSubstitutes = 3;
// How many times as many nodes, those before included, try at each further
// step.
constexpr std::size_t kSubstituteGrowth = 4;
// How long a node without any configuration, which cannot serve until it has
// one, waits for the store before it asks a peer. Covers a response of the
// store that is not slow.
constexpr Duration kFirstPeerRequestDelay = std::chrono::milliseconds(100);
// A node that is further behind takes the newest generation, so that only
// confirmations of the last ones are of use.
constexpr std::size_t kMaxNewerConfirmations = 32;

}  // namespace

ConfigurationSource::ConfigurationSource(const Init& init)
    : slow_link_(init.link_bytes_per_second < kReaderLinkBytesPerSecond),
      started_(init.started),
      node_name_(init.node_name),
      limits_(init.limits),
      next_peer_(init.seed),
      last_reader_confirmation_(init.started) {}

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
      had_readers_ = true;
    }
  } else if (reported.age) {
    reader->second = now - *reported.age;
  } else {
    readers_.erase(reader);
  }
  if (reported.age) {
    last_reader_confirmation_ =
        std::max(last_reader_confirmation_, now - *reported.age);
    OnConfirmed(reported.generation, now - *reported.age);
  }
  if (reported.generation > held_generation_ && behind_since_ == Time()) {
    behind_since_ = now;
  }
}

void ConfigurationSource::OnPeerGone(std::string_view name) {
  if (const auto peer = peers_.find(name); peer != peers_.end()) {
    peers_.erase(peer);
  }
  if (const auto reader = readers_.find(name); reader != readers_.end()) {
    readers_.erase(reader);
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

bool ConfigurationSource::ShouldWatchStore(Time now) {
  if (!slow_link_) {
    return true;
  }
  const Duration grace = peers_.empty() ? kDiscoveryGrace : kStartupGrace;
  if (now - started_ < grace) {
    return false;
  }
  return held_generation_ == 0 ? ReaderCount() < kMinReaders
                               : IsSubstitute(now);
}

bool ConfigurationSource::IsSubstitute(Time now) {
  const Duration max_age = limits_.MaxReaderAge();
  if (substitute_since_ == Time()) {
    const Duration unconfirmed = now - last_reader_confirmation_;
    const bool lost_readers = had_readers_ && readers_.empty();
    const Duration delay = lost_readers ? limits_.MaxLostReaderAge() : max_age;
    if (unconfirmed >= delay && now >= substitute_again_at_ &&
        unconfirmed - delay >= WaitForTurn()) {
      substitute_since_ = now;
    }
  } else if (GivesUp(now)) {
    substitute_since_ = Time();
    substitute_again_at_ = now + limits_.SubstituteRetry();
  } else if (ReadersSince(now - max_age) >= kMinReaders &&
             now - substitute_since_ >= SubstituteTerm(now - max_age)) {
    substitute_since_ = Time();
  }
  return substitute_since_ != Time();
}

bool ConfigurationSource::GivesUp(Time now) const {
  const bool was_answered =
      store_confirmed_ && *store_confirmed_ >= substitute_since_;
  return !was_answered &&
         now - substitute_since_ >= limits_.SubstituteTrial() &&
         SubstituteTurn() >= kFirstSubstitutes;
}

// Nodes take their turns in the order of a hash of their names, in which those
// that are not linked have none.
std::size_t ConfigurationSource::SubstituteTurn() const {
  const Digest own = DigestOf(node_name_);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return !readers_.contains(peer.first) && DigestOf(peer.first) < own;
      }));
}

// The store may answer any of the nodes or none. So the number that tries grows
// fast enough to reach all of them in time, and each tries once.
Duration ConfigurationSource::WaitForTurn() const {
  Duration wait{0};
  const std::size_t turn = SubstituteTurn();
  for (std::size_t tried = kFirstSubstitutes; turn >= tried;
       tried *= kSubstituteGrowth) {
    wait += limits_.SubstituteInterval();
  }
  return wait;
}

// Of many substitutes all but the first few stop at once, and those one after
// the other, so that each sees which of the others are left.
Duration ConfigurationSource::SubstituteTerm(Time fresh_since) const {
  const auto readers_before = std::count_if(
      readers_.begin(), readers_.lower_bound(node_name_),
      [&](const auto& reader) { return reader.second >= fresh_since; });
  constexpr auto kFirst = static_cast<std::int64_t>(kFirstSubstitutes);
  return limits_.apply_period *
         (1 + kFirst - std::min<std::int64_t>(readers_before, kFirst));
}

std::size_t ConfigurationSource::ReadersSince(Time confirmed) const {
  return static_cast<std::size_t>(std::count_if(
      readers_.begin(), readers_.end(),
      [&](const auto& reader) { return reader.second >= confirmed; }));
}

// The watches of a node rest for `ConfigurationLimits::WatchPause` at most. One
// that the store has not answered for longer has lost it. A store that has just
// failed a call may go on to turn this node away while it serves others.
bool ConfigurationSource::AwaitsStore(Time now) {
  if (!ShouldWatchStore(now) || store_failed_) {
    return false;
  }
  if (held_generation_ == 0) {
    return now - behind_since_ < kFirstPeerRequestDelay;
  }
  return store_confirmed_ && now - *store_confirmed_ < limits_.MaxReaderAge() &&
         now - behind_since_ < limits_.WatchPause();
}

std::optional<Duration> ConfigurationSource::BehindFor(Time now) const {
  return behind_since_ == Time() ? std::nullopt
                                 : std::optional(now - behind_since_);
}

std::optional<std::string> ConfigurationSource::SelectPeerToQuery(Time now) {
  if (behind_since_ == Time() || AwaitsStore(now) ||
      (requested_at_ != Time() &&
       now - requested_at_ < limits_.PeerRequestTimeout())) {
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
  const bool ask_others = now - behind_since_ >= limits_.WatchPause();
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
