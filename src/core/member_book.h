// What this node knows of the fleet: what members say of themselves, by the
// platform's store or by links, and which of them it can reach.
#ifndef CORE_MEMBER_BOOK_H_
#define CORE_MEMBER_BOOK_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/member_directory.h"
#include "core/member_record.h"

namespace verbenastile {

class MemberBook {
 public:
  struct Entry {
    MemberRecord record;
    Time heard;           // When the record came.
    bool linked = false;  // Whether a link to the member is open.
    Time linked_since;    // When that last changed.
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  // `self` is the name of this node, which needs no link to itself.
  explicit MemberBook(std::string self) : self_(std::move(self)) {}

  // Takes over the record unless a newer one is known. Returns whether it is
  // news.
  bool Merge(const MemberRecord& record, Time now);
  // The link to the member opened or closed.
  void SetLinked(std::string_view name, bool linked, Time now);
  // Forgets the member, unless it has started again since `incarnation`.
  bool Forget(std::string_view name, std::uint64_t incarnation);

  const Entry* Find(std::string_view name) const;
  const Entries& entries() const { return entries_; }

  // Members as the balancer is to see them: those that do not serve, or that
  // cannot be reached, take no new work.
  const MemberDirectory& directory() const { return directory_; }

 private:
  void Publish(const Entry& entry);

  std::string self_;
  Entries entries_;
  MemberDirectory directory_;
};

}  // namespace verbenastile

#endif  // CORE_MEMBER_BOOK_H_
