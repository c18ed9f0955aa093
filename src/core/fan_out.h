// Which nodes of a failure domain read the platform, and the fan-out tree
// below them.
#ifndef CORE_FAN_OUT_H_
#define CORE_FAN_OUT_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/member_directory.h"

namespace verbenastile {

// A node in a tree; only what it takes to reach it.
struct TreePeer {
  std::string name;
  SocketAddress control;
};

// Where one node stands in its failure domain's tree.
struct TreePlace {
  bool reader = false;
  bool writer = false;              // Writes the domain's status.
  TreePeer parent;                  // Empty name for the writer.
  std::vector<TreePeer> children;   // Generations go to them.
  std::vector<TreePeer> reporters;  // Reports come from them.
  std::size_t domain_size = 0;
};

constexpr std::size_t kReadersPerDomain = 2;
constexpr std::size_t kFanOut = 4;

// The place of `self` among the members of its failure domain that are alive
// or suspect. Members are ranked by rendezvous hashing, so that a change of
// membership moves few readers; members that see different memberships may
// disagree for a while.
TreePlace PlaceOf(const MemberDirectory& directory, const Member& self);

}  // namespace verbenastile

#endif  // CORE_FAN_OUT_H_
