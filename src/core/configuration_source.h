// Decides where a node gets its configuration from: by watching the platform's
// store, or from peers that watch it. On a slow link, transferring the full
// configuration takes longer than a change may take to reach all nodes.
// Nodes on slow links therefore receive deltas from readers, which are nodes
// whose links are fast enough to watch the store. When no reader confirms the
// configuration any more, a few nodes on slow links take their place, and more
// from step to step until one of them hears from the store.
#ifndef CORE_CONFIGURATION_SOURCE_H_
#define CORE_CONFIGURATION_SOURCE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/configuration_belief.h"
#include "core/store_era.h"

namespace verbenastile {

// The configuration state that a peer reports.
struct PeerConfiguration {
  std::uint64_t generation = 0;
  // Time since the store last confirmed this generation; unset when the peer
  // does not watch the store or cannot reach it.
  std::optional<Duration> age;
  StoreEra store_era = 0;  // As the store last reported it to the peer.
};

class ConfigurationSource {
 public:
  struct Init {
    std::int64_t link_bytes_per_second = 125'000'000;
    Time started;
    std::uint64_t seed = 0;
    std::string node_name;
    ConfigurationLimits limits;
  };

  explicit ConfigurationSource(const Init& init);

  void SetLimits(const ConfigurationLimits& limits) { limits_ = limits; }

  void OnPeerConfiguration(std::string_view name,
                           const PeerConfiguration& reported,
                           Time now);
  void OnPeerGone(std::string_view name);
  // The store confirmed at `confirmed` to this node itself that nothing newer
  // exists than what it reported.
  void OnStoreConfirmed(Time confirmed) { store_confirmed_ = confirmed; }
  // Whether the last call of this node to the store has failed.
  void SetStoreFailed(bool failed) { store_failed_ = failed; }
  // Records the generation that this node has in force. This completes a
  // pending request to a peer.
  void OnApplied(std::uint64_t generation);

  // Whether this node always watches the store, on behalf of nodes with slow
  // links.
  bool is_reader() const { return !slow_link_; }
  // The number of peers that last reported watching the store with success.
  std::size_t ReaderCount() const { return readers_.size(); }
  // The peers that last reported watching the store with success, with the time
  // at which the store confirmed their configuration.
  const std::map<std::string, Time, std::less<>>& readers() const {
    return readers_;
  }
  // Whether this node should watch the store itself. Decides whether it takes
  // the place of a reader from now on, or no longer does.
  bool ShouldWatchStore(Time now);
  // The latest time, as reported by peers, at which the store confirmed that
  // nothing newer exists than the configuration in force; unset if no peer
  // reported one. What confirms a newer generation says nothing of this one.
  std::optional<Time> last_confirmed() const { return last_confirmed_; }
  // How long a peer has been known to have a newer generation; empty if none
  // has.
  std::optional<Duration> BehindFor(Time now) const;
  // Returns the peer to request a newer configuration from, if one is due, and
  // records the request as sent.
  std::optional<std::string> SelectPeerToQuery(Time now);

 private:
  void OnConfirmed(std::uint64_t generation, Time confirmed);
  // Whether this node takes the place of a reader.
  bool IsSubstitute(Time now);
  // The number of nodes that take the place of a reader before this one does.
  std::size_t SubstituteTurn() const;
  // How long this node waits for those before it to take the place of readers.
  Duration WaitForTurn() const;
  // Whether this node, which takes the place of a reader, leaves it to others:
  // the store does not answer it.
  bool GivesUp(Time now) const;
  // How long this node takes the place of a reader at least. Readers that were
  // confirmed after `fresh_since` count.
  Duration SubstituteTerm(Time fresh_since) const;
  // The number of readers that the store has confirmed since.
  std::size_t ReadersSince(Time confirmed) const;
  // Whether the store should deliver a newer generation soon that a peer has.
  bool AwaitsStore(Time now);

  bool slow_link_;
  Time started_;
  std::string node_name_;
  ConfigurationLimits limits_;
  // Round-robin position; seeded per node, so that the requests of many nodes
  // are spread over the readers.
  std::uint64_t next_peer_;
  // The generations of all peers.
  std::map<std::string, std::uint64_t, std::less<>> peers_;
  // When the store last confirmed the configuration of each peer that watches
  // it.
  std::map<std::string, Time, std::less<>> readers_;
  // The latest confirmation of any generation that a peer reported; the start
  // of this node if none did.
  Time last_reader_confirmation_;
  std::optional<Time> store_confirmed_;
  bool store_failed_ = false;
  // Since when this node takes the place of a reader; `Time()` if it does not.
  Time substitute_since_;
  // When this node may take the place of a reader again.
  Time substitute_again_at_;
  bool had_readers_ = false;
  std::uint64_t held_generation_ = 0;
  std::optional<Time> last_confirmed_;
  // When the store last confirmed each generation newer than the one in force
  // to a peer; counts once that generation is in force.
  std::map<std::uint64_t, Time> newer_confirmed_;
  // When a peer was first seen to have a newer generation; `Time()` if none
  // has.
  Time behind_since_;
  // When the pending request was sent; `Time()` if there is none.
  Time requested_at_;
};

}  // namespace verbenastile

#endif  // CORE_CONFIGURATION_SOURCE_H_
