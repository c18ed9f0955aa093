// Decides which generation a node without one may apply, from what its peers
// and the platform report to hold.
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
  // How many sources (peers and the platform) must report the same newest
  // version for it to be accepted at once.
  std::size_t required_sources = 2;
  // How long to wait before accepting the platform's version alone. Peers may
  // run a newer generation than a platform store restored from a backup.
  Duration platform_alone = std::chrono::milliseconds(600);
  // How long to wait before accepting a version that fewer than
  // `required_sources` sources report.
  Duration few_sources_wait = std::chrono::seconds(3);
};

// Collects the versions that peers and the platform report to hold, and decides
// which one a starting node may apply. It handles versions only, not content.
class StartGate {
 public:
  explicit StartGate(const StartGateInit& init) : init_(init) {}

  // `peer` reports that it holds `version`. Generation 0 is ignored.
  void OnPeer(Time now, const std::string& peer, const Version& version);
  void OnPlatform(Time now, const Version& version);

  // Drops the claim of `peer`, which could not deliver what it reported.
  void Forget(const std::string& peer) { peers_.erase(peer); }

  // The newest reported version once enough sources report it or the wait is
  // over; nullopt until then.
  std::optional<Version> Decide(Time now) const;

  // The peers that report to hold `version`.
  std::vector<std::string> Holders(const Version& version) const;

  // Whether any peer reports to hold a generation.
  bool has_peer_claims() const { return !peers_.empty(); }

  // One line that tells operators why the node does not serve yet.
  std::string Explain() const;

 private:
  struct Claim {
    Version version;
    Time since;
  };

  std::size_t CountSources(const Version& version) const;
  std::optional<Version> Newest() const;

  StartGateInit init_;
  std::map<std::string, Claim> peers_;
  std::optional<Claim> platform_;
};

}  // namespace verbenastile

#endif  // CORE_START_GATE_H_
