#include "core/peer_notices.h"

namespace verbenastile {

void PeerNotices::OnNotice(std::string_view name,
                           const InstanceNotice& notice) {
  if (!notice.rate_limit) {
    Forget(name);
    return;
  }
  notices_.insert_or_assign(std::string(name), notice);
}

void PeerNotices::Forget(std::string_view name) {
  const auto found = notices_.find(name);
  if (found != notices_.end()) {
    notices_.erase(found);
  }
}

std::optional<InstanceNotice> PeerNotices::Find(
    std::string_view name,
    std::string_view instance) const {
  const auto found = notices_.find(name);
  if (found == notices_.end() ||
      (!instance.empty() && instance != found->second.instance)) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace verbenastile
