// What this node has heard about the instances beside other nodes, to return it
// to those nodes: a node that was restarted knows nothing about its instance.
#ifndef CORE_PEER_NOTICES_H_
#define CORE_PEER_NOTICES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/instance_notice.h"

namespace verbenastile {

class PeerNotices {
 public:
  // The member `name` reported what its instance said. A notice that the
  // instance leaves is kept until the member has another instance.
  void OnNotice(std::string_view name, const InstanceNotice& notice, Time now);

  // The member's process said that its instance leaves, and later that it
  // stays.
  void OnStays(std::string_view name, std::string_view instance);

  // What to return to the member `name`, beside which `instance` is known to
  // run. Empty if nothing is known or another instance said it. An empty
  // `instance` is an unknown one.
  std::optional<InstanceNotice> Find(std::string_view name,
                                     std::string_view instance) const;

  std::size_t size() const { return entries_.size(); }

  // The member that was heard from the longest ago is forgotten first. Members
  // that are removed are not: the instance may still run, and its node return.
  static constexpr std::size_t kMaxMembers = 4'096;

 private:
  struct Entry {
    InstanceNotice notice;
    Time heard_at;
  };

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace verbenastile

#endif  // CORE_PEER_NOTICES_H_
