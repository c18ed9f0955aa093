// What this node has heard about the instances beside other nodes, to return it
// to those nodes: a node that was restarted knows nothing about its instance.
#ifndef CORE_PEER_NOTICES_H_
#define CORE_PEER_NOTICES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/instance_notice.h"

namespace verbenastile {

class PeerNotices {
 public:
  // The member `name` reported what its instance said. A notice that the
  // instance leaves is kept until the member has another instance.
  void OnNotice(std::string_view name, const InstanceNotice& notice);
  // Forgets what is known about the member `name`.
  void Forget(std::string_view name);

  // What to return to the member `name`, beside which `instance` is known to
  // run. Empty if nothing is known or another instance said it. An empty
  // `instance` is an unknown one.
  std::optional<InstanceNotice> Find(std::string_view name,
                                     std::string_view instance) const;

  std::size_t size() const { return notices_.size(); }

 private:
  std::map<std::string, InstanceNotice, std::less<>> notices_;
};

}  // namespace verbenastile

#endif  // CORE_PEER_NOTICES_H_
