// Encodes and decodes gossip datagrams, which are packed Cap'n Proto messages.
// Decoding limits their size, their nesting depth and their unpacked size.
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

// Why a datagram was rejected, or why a message could not be encoded.
struct GossipWireError {
  enum class Kind {
    kOversize,      // Larger than `kMaxDatagramBytes`.
    kMalformed,     // Not a valid packed message.
    kOutOfRange,    // Well-formed, but with a value that no node sends.
    kOtherCluster,  // Sent by a node of another fleet.
  };

  Kind kind = Kind::kMalformed;
  std::string reason;
};

// Errors: `GossipWireError` of the kinds kOversize and kOutOfRange.
leaf::result<std::vector<std::byte>> EncodeGossip(const GossipMessage& message);

// Decodes a datagram of the fleet with the tag `cluster`. Errors:
// `GossipWireError` of any kind.
leaf::result<GossipMessage> DecodeGossip(std::span<const std::byte> datagram,
                                         std::uint32_t cluster);

}  // namespace verbenastile

#endif  // WIRE_GOSSIP_CODEC_H_
