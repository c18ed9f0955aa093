// The peers that a node may talk to: members, and strangers that talked to it.
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
  // `directory` must outlive the contacts.
  PeerContacts(const MemberDirectory* directory, std::string self_name);

  // `peer` sent something.
  void Heard(Time now, const PeerIdentity& peer);

  // `peer` cannot be reached, or did not do what was asked: it is left alone
  // for a time that doubles with each failure, with full jitter.
  void Failed(Time now, const SocketAddress& peer, Random& random);

  // Whether `peer` is not being left alone.
  bool Ready(Time now, const SocketAddress& peer) const;

  // One of the peers that are ready, members of other failure domains among
  // them; now and then one that is thought dead, which may have come back.
  std::optional<SocketAddress> PickAny(Time now, Random& random) const;

  // `peer` was named by another; nothing was heard of it.
  void Learned(const PeerIdentity& peer);

  // Up to `count` members that are not thought dead, chosen at random.
  std::vector<PeerIdentity> Some(std::size_t count, Random& random) const;

  // The control address of the peer called `name`.
  std::optional<SocketAddress> Find(std::string_view name) const;

  // Nodes of the fleet that this node knows of, itself included.
  std::size_t fleet_size() const;

  // When a peer was last heard; nothing before the first.
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
  std::deque<PeerIdentity> strangers_;  // Not in the directory when heard.
  std::map<AddressKey, Failure> failures_;
  std::optional<Time> last_heard_;
};

}  // namespace verbenastile

#endif  // CORE_PEER_CONTACTS_H_
