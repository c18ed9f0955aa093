// The record that a node publishes, to other nodes and in the platform's store,
// about itself and the upstream instance beside it.
#ifndef CORE_MEMBER_RECORD_H_
#define CORE_MEMBER_RECORD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "core/crash_suspects.h"
#include "core/member_directory.h"

namespace verbenastile {

// Identifies what a member's record said at a time.
struct RecordVersion {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  bool operator==(const RecordVersion&) const = default;
  bool operator<(const RecordVersion& other) const {
    return std::tie(incarnation, sequence) <
           std::tie(other.incarnation, other.sequence);
  }
};
using RecordVersions = std::map<std::string, RecordVersion, std::less<>>;

struct MemberRecord {
  // `member.incarnation` is the node's start time in Unix milliseconds;
  // `member.peer_address` is the address that accepts calls from other nodes.
  Member member;
  // Increased with each change within one incarnation.
  std::uint64_t sequence = 0;
  // The registered instance and its progress in leaving. A node that restarts
  // restores them from its record.
  std::string instance;
  bool instance_leaving = false;
  bool instance_gone = false;
  // The instance said in a response that it leaves, so that later reports that
  // say otherwise are out of order.
  bool instance_left_by_response = false;
  std::uint64_t instance_sequence = 0;    // Of the instance's last report.
  std::uint64_t instance_started_ms = 0;  // In Unix ms; 0: not known.
  // The node owns parts of quotas, or did so before it was restarted; see
  // core/quota_owners.h.
  bool owns_quota_parts = false;
  // The node is about to own parts.
  bool joins_owners = false;
  // Members that hear of the record confirm it. Not in the store.
  bool wants_confirmation = false;
  // Members without a link to this node that are asked to count it as an owner,
  // with the sequence of the first record that asked. Only in the store.
  std::map<std::string, std::uint64_t, std::less<>> asked_since;
  // The first records of members that asked this node, by which it counts them.
  // Only in the store.
  RecordVersions confirmed;
  // What the node has seen itself of requests that ended its instances. Only in
  // the store, for nodes that start while no peer runs.
  std::vector<CrashEvidence> crash_evidence;

  bool operator==(const MemberRecord&) const = default;
};

// Whether `a` supersedes `b`: it is of a later incarnation, or a later change
// within the same incarnation.
inline bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  if (a.member.incarnation != b.member.incarnation) {
    return a.member.incarnation > b.member.incarnation;
  }
  return a.sequence > b.sequence;
}

}  // namespace verbenastile

#endif  // CORE_MEMBER_RECORD_H_
