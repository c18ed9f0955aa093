// Decides where a node's configuration comes from: the platform's store, or
// peers that follow it. A configuration in full fills a small link for longer
// than a change may take, so nodes on small links wait for deltas from readers,
// which are the nodes whose links carry it easily.
#ifndef CORE_CONFIGURATION_SOURCE_H_
#define CORE_CONFIGURATION_SOURCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

// What a peer says of its configuration.
struct PeerConfiguration {
  std::uint64_t generation = 0;
  // How long ago the store confirmed it; nothing when the peer is no reader, or
  // cannot reach the store.
  std::optional<Duration> age;
};

class ConfigurationSource {
 public:
  struct Init {
    std::int64_t link_bytes_per_second = 125'000'000;
    Time started;
    std::uint64_t seed = 0;
  };

  explicit ConfigurationSource(const Init& init);

  void OnPeer(std::string_view name, const PeerConfiguration& said, Time now);
  void OnPeerGone(std::string_view name, Time now);
  // What this node has in force; an ask that was under way has been answered.
  void OnHeld(std::uint64_t generation);

  // Whether others rely on this node.
  bool reader() const { return !small_link_; }
  // Peers that follow the store and reach it, as far as they said.
  std::size_t Readers() const;
  // Whether this node is to follow the store by itself.
  bool FollowsStore(Time now) const;
  // When the store last confirmed a peer's configuration, as far as this node
  // was told; nothing when no peer follows the store.
  std::optional<Time> confirmed() const;
  // The peer to ask for a newer configuration now. It is taken as asked.
  std::optional<std::string> Ask(Time now);

 private:
  struct Peer {
    std::uint64_t generation = 0;
    std::optional<Time> confirmed;
  };

  void CountReaders(Time now);

  bool small_link_;
  Time started_;
  Time lacks_readers_since_;  // `Time()`: there are enough.
  std::uint64_t turn_;  // Spreads the asks of many nodes over the readers.
  std::map<std::string, Peer, std::less<>> peers_;
  std::uint64_t held_ = 0;
  // Since when a peer is known to be ahead, and the last ask; none: `Time()`.
  Time behind_since_;
  Time asked_;
};

}  // namespace verbenastile

#endif  // CORE_CONFIGURATION_SOURCE_H_
