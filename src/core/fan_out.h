// Selects the nodes of a failure domain that read the platform and builds the
// fan-out tree below them.
#ifndef CORE_FAN_OUT_H_
#define CORE_FAN_OUT_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/member_directory.h"

namespace verbenastile {

// The name and address of a node in the tree.
struct TreePeer {
  std::string name;
  SocketAddress control;
};

// The position of a node in its failure domain's tree.
struct TreePlace {
  bool reader = false;
  bool writer = false;              // Writes the domain's status.
  TreePeer parent;                  // Empty name for the writer.
  std::vector<TreePeer> children;   // Receive generations from it.
  std::vector<TreePeer> reporters;  // Send reports to it.
  std::size_t domain_size = 0;
};

constexpr std::size_t kReadersPerDomain = 2;
constexpr std::size_t kFanOut = 4;

// Computes the position of `self` among the alive and suspect members of its
// failure domain. Members are ranked by rendezvous hashing, so that a
// membership change replaces few readers. Nodes whose views of the membership
// differ may compute different trees until the views converge.
TreePlace PlaceOf(const MemberDirectory& directory, const Member& self);

}  // namespace verbenastile

#endif  // CORE_FAN_OUT_H_
