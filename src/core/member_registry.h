// The members of the fleet as known to this node: the records that members
// publish through the platform's store or over links, and which members have an
// open link to this node.
#ifndef CORE_MEMBER_REGISTRY_H_
#define CORE_MEMBER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/member_directory.h"
#include "core/member_record.h"

namespace verbenastile {

class MemberRegistry {
 public:
  struct Entry {
    MemberRecord record;
    Time received_at;     // When the record was received.
    bool linked = false;  // Whether a link to the member is open.
    Time linked_since;    // When `linked` last changed.
    // A process of the member owned parts of quotas, since the member joined.
    bool owned_quota_parts = false;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // `self` is the name of this node, which is reachable without a link.
  explicit MemberRegistry(std::string self) : self_(std::move(self)) {}

  // Stores the record if it is newer than the known one. Returns whether it was
  // stored.
  bool Merge(const MemberRecord& record, Time now);
  // Records that the link to the member opened or closed.
  void SetLinked(std::string_view name, bool linked, Time now);
  // Removes the member, unless it was restarted since `incarnation`. Returns
  // whether it was removed.
  bool Forget(std::string_view name, std::uint64_t incarnation);

  const Entry* Find(std::string_view name) const;
  const Entries& entries() const { return entries_; }

  // The members as seen by the load balancer. Members that are not serving or
  // not reachable have a state that excludes them from new calls.
  const MemberDirectory& directory() const { return directory_; }
  // Changes with the directory, and when a member leaves, joins the owners of
  // parts of quotas or becomes one. 0: no member was ever known.
  std::uint64_t revision() const { return directory_.revision() + changes_; }

 private:
  void UpdateDirectory(const Entry& entry);

  std::string self_;
  Entries entries_;
  MemberDirectory directory_;
  std::uint64_t changes_ = 0;  // That the directory does not show.
};

}  // namespace verbenastile

#endif  // CORE_MEMBER_REGISTRY_H_
