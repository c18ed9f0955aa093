// Encodes and decodes the frames of control connections. Decoding enforces
// limits and rejects the entire frame when one is exceeded.
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

// Why a frame was rejected.
struct WireError {
  enum class Kind {
    kTruncated,  // The message ends early.
    kMalformed,  // Not a message, or beyond the nesting or size limits.
    kUnknown,    // A message type that this node does not know.
    kOutOfRange  // A field holds an invalid value.
  };

  Kind kind = Kind::kMalformed;
  std::string detail;
};

// Returns the name of `kind` in lower case, as used in counters.
std::string_view ToString(WireError::Kind kind);

// The first frame on a connection is the sender's identity.
using ControlFrame = std::variant<PeerIdentity, DistributionMessage>;

constexpr std::size_t kMaxFrameBytes = 8'388'608;

std::vector<std::uint8_t> EncodeFrame(const ControlFrame& frame);

// Errors: `WireError`.
leaf::result<ControlFrame> DecodeFrame(std::span<const std::uint8_t> bytes);

}  // namespace verbenastile

#endif  // WIRE_CONTROL_CODEC_H_
