// The members that join the owners of parts of quotas and asked this node
// through the store to count them, since there is no link between the two; see
// core/quota_owners.h.
#ifndef CORE_JOIN_REQUESTS_H_
#define CORE_JOIN_REQUESTS_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/member_record.h"

namespace verbenastile {

class JoinRequests {
 public:
  explicit JoinRequests(std::string_view self) : self_(self) {}

  // A list of the store has shown the record. Lists may be older than those
  // before them. Unless `accepts`, a member that has not asked before has to
  // wait. Returns whether what this node confirms has changed.
  bool OnRecord(const MemberRecord& record, bool accepts, Time now);
  // A list was read. Drops what no list has shown for a long time. Returns
  // whether what this node confirms has changed.
  bool OnListed(Time now);

  // What this node confirms: the first records that asked it, by member.
  RecordVersions Confirmed() const;
  // The members that count as owners.
  std::set<std::string, std::less<>> members() const;

 private:
  struct Request {
    RecordVersion first;  // That asked.
    RecordVersion last;
    Time shown_at;
  };

  std::string self_;
  std::map<std::string, Request, std::less<>> requests_;
};

}  // namespace verbenastile

#endif  // CORE_JOIN_REQUESTS_H_
