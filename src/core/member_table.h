// Table of all known members, with a digest per bucket that allows two tables
// to be compared in few bytes.
#ifndef CORE_MEMBER_TABLE_H_
#define CORE_MEMBER_TABLE_H_

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/gossip.h"

namespace verbenastile {

// Capacity of the table, including members that are no longer live.
constexpr std::size_t kMaxMembers = 4'096;

struct MemberRecord {
  Member member;
  std::uint32_t digest = 0;        // Enters the bucket digest while live.
  Time changed;                    // When the record was last replaced.
  std::optional<Time> last_heard;  // Last datagram from the member.
};

// Whether a member in `state` is still running.
constexpr bool IsLive(MemberState state) {
  return state < MemberState::kDead;
}

// Returns the digest bucket of the member `name`.
std::size_t BucketOf(std::string_view name);

class MemberTable {
 public:
  // Members grouped by liveness and failure domain, without the local member.
  struct Views {
    std::vector<const MemberRecord*> neighbours;  // Live, local failure domain.
    std::vector<const MemberRecord*> distant;  // Live, other failure domains.
    std::vector<const MemberRecord*> gone;     // Dead or left.
  };

  MemberTable(std::string own_name, std::string own_domain);

  // Returns null if there is no such member.
  const MemberRecord* Find(std::string_view name) const;

  // Adds or replaces a member, whose incarnation must not decrease. Returns
  // false, without a change, if the member is new and the table is full.
  bool Put(const Member& member, Time now);

  // Removes the member that has been dead or left for longest. Returns its
  // name, or nothing if all members are live.
  std::optional<std::string> EvictGone();

  // Removes dead and left members last changed before `before`. Returns their
  // names.
  std::vector<std::string> ForgetGone(Time before);

  // Records a datagram from the member `name`.
  void Heard(std::string_view name, Time now);

  // Valid until the table changes.
  const Views& views() const;
  std::size_t size() const { return records_.size(); }
  // Number of live members, including the local one.
  std::size_t live() const;

  // Digest of all live members.
  std::uint64_t root() const;
  const std::array<std::uint32_t, kSyncBuckets>& buckets() const {
    return buckets_;
  }
  // Returns all members in `bucket`, whether live or not.
  std::vector<const MemberRecord*> InBucket(std::size_t bucket) const;

 private:
  using Records = std::map<std::string, MemberRecord, std::less<>>;

  // Adds the digest of a live member to its bucket, or removes it (XOR).
  void Toggle(const MemberRecord& record);
  void Erase(std::string_view name);

  std::string own_name_;
  std::string own_domain_;
  Records records_;
  std::array<std::vector<const MemberRecord*>, kSyncBuckets> by_bucket_;
  std::array<std::uint32_t, kSyncBuckets> buckets_{};
  mutable Views views_;
  mutable bool views_stale_ = true;
};

}  // namespace verbenastile

#endif  // CORE_MEMBER_TABLE_H_
