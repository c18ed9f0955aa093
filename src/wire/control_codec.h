// Frames of the control connections: messages to bytes and back. What comes
// from the network is read within limits and refused whole otherwise.
#ifndef WIRE_CONTROL_CODEC_H_
#define WIRE_CONTROL_CODEC_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/distribution_message.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// A frame that is refused.
struct WireError {
  enum class Kind {
    kTruncated,  // It ends too early.
    kMalformed,  // Not a message, or deeper or larger than the limits.
    kUnknown,    // A kind of message that this node does not know.
    kOutOfRange  // A value that cannot be.
  };

  Kind kind = Kind::kMalformed;
  std::string detail;
};

// The name of `kind` in lower case, for counters.
std::string_view ToString(WireError::Kind kind);

// The first frame on a connection is the sender's identity.
using ControlFrame = std::variant<PeerIdentity, DistributionMessage>;

constexpr std::size_t kMaxFrameBytes = 8'388'608;

std::vector<std::uint8_t> EncodeFrame(const ControlFrame& frame);

// Errors: `WireError`.
leaf::result<ControlFrame> DecodeFrame(std::span<const std::uint8_t> bytes);

}  // namespace verbenastile

#endif  // WIRE_CONTROL_CODEC_H_
