// What a node says of itself and of the upstream instance beside it, to other
// nodes and in the platform's store.
#ifndef CORE_MEMBER_RECORD_H_
#define CORE_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

#include "core/member_directory.h"

namespace verbenastile {

struct MemberRecord {
  // `member.incarnation` is the node's start in Unix milliseconds;
  // `member.peers` is where it takes calls from other nodes.
  Member member;
  // Raised with each change within one incarnation.
  std::uint64_t sequence = 0;
  // The instance in the slot, and how far it has left, for a later start of
  // the same node.
  std::string instance;
  bool instance_leaving = false;
  bool instance_gone = false;
  std::uint64_t instance_sequence = 0;  // Of its last report.

  bool operator==(const MemberRecord&) const = default;
};

// Whether `a` replaces `b`: a later start, or a later change of the same one.
inline bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  if (a.member.incarnation != b.member.incarnation) {
    return a.member.incarnation > b.member.incarnation;
  }
  return a.sequence > b.sequence;
}

}  // namespace verbenastile

#endif  // CORE_MEMBER_RECORD_H_
