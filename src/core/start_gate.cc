#include "core/start_gate.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::size_t kMaxClaims = 64;

}  // namespace

void StartGate::OnPeer(Time now,
                       const std::string& peer,
                       const Version& version) {
  if (version.generation == 0) {
    return;
  }
  if (peers_.size() >= kMaxClaims && !peers_.contains(peer)) {
    return;
  }
  const auto [claim, fresh] = peers_.try_emplace(peer, Claim{version, now});
  claim->second.version = version;
}

void StartGate::OnPlatform(Time now, const Version& version) {
  const Time since = platform_ ? platform_->since : now;
  platform_ = Claim{version, since};
}

std::size_t StartGate::CountSources(const Version& version) const {
  const auto peers = std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& entry) { return entry.second.version == version; });
  const bool platform = platform_ && platform_->version == version;
  return static_cast<std::size_t>(peers) + (platform ? 1 : 0);
}

// The version of the newest generation that most sources report; nullopt on a
// tie.
std::optional<Version> StartGate::Newest() const {
  std::optional<Version> best;
  std::size_t best_count = 0;
  bool tied = false;
  const auto consider = [&](const Version& version) {
    const std::size_t count = CountSources(version);
    const bool newer = !best || version.generation > best->generation;
    const bool older = best && version.generation < best->generation;
    if (older || best == version) {
      return;
    }
    if (newer || count > best_count) {
      best = version;
      best_count = count;
      tied = false;
    } else if (count == best_count) {
      tied = true;
    }
  };
  for (const auto& [peer, claim] : peers_) {
    consider(claim.version);
  }
  if (platform_ && platform_->version.generation > 0) {
    consider(platform_->version);
  }
  return tied ? std::nullopt : best;
}

std::optional<Version> StartGate::Decide(Time now) const {
  const auto newest = Newest();
  if (!newest) {
    return std::nullopt;
  }
  if (CountSources(*newest) >= init_.required_sources) {
    return newest;
  }
  const bool by_platform =
      platform_ && now - platform_->since >= init_.platform_alone;
  const bool by_few =
      std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return now - entry.second.since >= init_.few_sources_wait;
      });
  return by_platform || by_few ? newest : std::nullopt;
}

std::vector<std::string> StartGate::Holders(const Version& version) const {
  std::vector<std::string> holders;
  for (const auto& [peer, claim] : peers_) {
    if (claim.version == version) {
      holders.push_back(peer);
    }
  }
  return holders;
}

std::string StartGate::Explain() const {
  if (peers_.empty() && !platform_) {
    return "no generation: neither the platform nor a peer has named one";
  }
  if (!Newest()) {
    return platform_ && platform_->version.generation == 0
               ? "no generation: the platform holds none yet"
               : "no generation: peers disagree on the newest one";
  }
  return fmt::format("no generation: waits for the content of {}",
                     Newest()->generation);
}

}  // namespace verbenastile
