// Gossip messages as datagrams: packed Cap'n Proto, bounded in size, depth and
// in what a short datagram may unpack to.
#ifndef WIRE_GOSSIP_CODEC_H_
#define WIRE_GOSSIP_CODEC_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/gossip.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// A datagram that is no gossip message of this fleet, or a message that does
// not fit a datagram.
struct GossipWireError {
  enum class Kind {
    kOversize,      // Above `kMaxDatagramBytes`.
    kMalformed,     // Not the packed encoding of a message.
    kOutOfRange,    // Well-formed, with a value that no node sends.
    kOtherCluster,  // From another fleet.
  };

  Kind kind = Kind::kMalformed;
  std::string reason;
};

// Errors: `GossipWireError` of the kinds kOversize and kOutOfRange.
leaf::result<std::vector<std::byte>> EncodeGossip(const GossipMessage& message);

// Reads a datagram of the fleet with the tag `cluster`. Errors:
// `GossipWireError` of any kind.
leaf::result<GossipMessage> DecodeGossip(std::span<const std::byte> datagram,
                                         std::uint32_t cluster);

}  // namespace verbenastile

#endif  // WIRE_GOSSIP_CODEC_H_
