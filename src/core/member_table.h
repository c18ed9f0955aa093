// What the membership protocol knows of each member, with digests by bucket
// that tell two tables apart in few bytes.
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

// The most members of a table, dead ones included.
constexpr std::size_t kMaxMembers = 4'096;

struct MemberRecord {
  Member member;
  std::uint32_t digest = 0;        // Of the member while it lives.
  Time changed;                    // When the state last changed.
  std::optional<Time> last_heard;  // A datagram of its own.
};

// Whether `state` is that of a member that still runs.
constexpr bool IsLive(MemberState state) {
  return state < MemberState::kDead;
}

// The bucket of the member called `name`.
std::size_t BucketOf(std::string_view name);

class MemberTable {
 public:
  // Members by how they can be reached; without the own one.
  struct Views {
    std::vector<const MemberRecord*> neighbours;  // Live, the own domain.
    std::vector<const MemberRecord*> distant;     // Live, other domains.
    std::vector<const MemberRecord*> gone;        // Dead or left.
  };

  MemberTable(std::string own_name, std::string own_domain);

  // Null when there is none of that name.
  const MemberRecord* Find(std::string_view name) const;

  // Adds or replaces a member. Its incarnation must not fall. Returns false,
  // and changes nothing, when the member is new and the table is full.
  bool Put(const Member& member, Time now);

  // Removes the member that is gone for longest; returns its name, or nothing
  // when all members are live.
  std::optional<std::string> EvictGone();

  // Removes dead members that changed before `before`; returns their names.
  std::vector<std::string> ForgetGone(Time before);

  void Heard(std::string_view name, Time now);

  // Valid until the next change.
  const Views& views() const;
  std::size_t size() const { return records_.size(); }
  std::size_t live() const;

  // The digest over all live members.
  std::uint64_t root() const;
  const std::array<std::uint32_t, kSyncBuckets>& buckets() const {
    return buckets_;
  }
  // The members of `bucket`, dead ones included.
  std::vector<const MemberRecord*> InBucket(std::size_t bucket) const;

 private:
  using Records = std::map<std::string, MemberRecord, std::less<>>;

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
