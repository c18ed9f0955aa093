// Peers that a node can contact: members of the directory, and peers outside it
// that contacted this node or were named by another peer.
#ifndef CORE_PEER_CONTACTS_H_
#define CORE_PEER_CONTACTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "core/distribution_message.h"
#include "core/member_directory.h"

namespace verbenastile {

class PeerContacts {
 public:
  // `directory` must outlive this object.
  PeerContacts(const MemberDirectory* directory, std::string self_name);

  // Records a message from `peer`.
  void Heard(Time now, const PeerIdentity& peer);

  // Records that `peer` was unreachable or did not do what was requested. Backs
  // off exponentially, up to a limit, with full jitter.
  void Failed(Time now, const SocketAddress& peer, Random& random);

  // Whether `peer` is not in back-off.
  bool Ready(Time now, const SocketAddress& peer) const;

  // Picks a random ready peer from any failure domain. Occasionally picks a
  // member considered dead, since it may have come back.
  std::optional<SocketAddress> PickAny(Time now, Random& random) const;

  // Records a peer named by another peer, without direct contact.
  void Learned(const PeerIdentity& peer);

  // Returns up to `count` random members that are alive or suspect.
  std::vector<PeerIdentity> Some(std::size_t count, Random& random) const;

  // Returns the control address of the peer `name`.
  std::optional<SocketAddress> Find(std::string_view name) const;

  // Number of nodes known to be in the fleet, including this one.
  std::size_t fleet_size() const;

  // When any peer was last heard from; empty if none was.
  std::optional<Time> last_heard() const { return last_heard_; }

 private:
  struct Failure {
    unsigned count = 0;
    Time not_before;
  };
  using AddressKey = std::pair<std::string, std::uint16_t>;

  static AddressKey KeyOf(const SocketAddress& address) {
    return {address.ip, address.port};
  }

  const MemberDirectory* directory_;
  std::string self_name_;
  std::deque<PeerIdentity> non_members_;  // Not in the directory when recorded.
  std::map<AddressKey, Failure> failures_;
  std::optional<Time> last_heard_;
};

}  // namespace verbenastile

#endif  // CORE_PEER_CONTACTS_H_
