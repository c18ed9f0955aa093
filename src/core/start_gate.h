// What a node that holds nothing must hear before it takes a generation.
#ifndef CORE_START_GATE_H_
#define CORE_START_GATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "core/delta.h"

namespace verbenastile {

struct StartGateInit {
  // Peers that have to state the same newest generation.
  std::size_t voices = 2;
  // How long the platform's word alone is held back, for peers that run a
  // newer generation than a restored store.
  Duration platform_alone = std::chrono::milliseconds(600);
  // How long fewer peers than `voices` are held back.
  Duration few_voices = std::chrono::seconds(3);
};

// Collects what peers and the platform state to hold, and decides which
// generation a starting node may take. Nothing that it hears is content.
class StartGate {
 public:
  explicit StartGate(const StartGateInit& init) : init_(init) {}

  // `peer` says that it holds `version`; generation 0 says nothing.
  void OnPeer(Time now, const std::string& peer, const Version& version);
  void OnPlatform(Time now, const Version& version);

  // `peer` could not give what it claimed.
  void Forget(const std::string& peer) { peers_.erase(peer); }

  // The version to take: the newest that was stated, once it was stated
  // enough. Nothing: not known yet.
  std::optional<Version> Decide(Time now) const;

  // The peers that state `version`.
  std::vector<std::string> Holders(const Version& version) const;

  // Whether a peer states to hold a generation.
  bool any_peer() const { return !peers_.empty(); }

  // One line for operators who wonder why it does not serve.
  std::string Explain() const;

 private:
  struct Claim {
    Version version;
    Time since;
  };

  std::size_t VoicesFor(const Version& version) const;
  std::optional<Version> Newest() const;

  StartGateInit init_;
  std::map<std::string, Claim> peers_;
  std::optional<Claim> platform_;
};

}  // namespace verbenastile

#endif  // CORE_START_GATE_H_
