#include "core/peer_notices.h"

#include <utility>

namespace verbenastile {

void PeerNotices::OnNotice(std::string_view name,
                           const InstanceNotice& notice) {
  InstanceNotice next = notice;
  const auto known = notices_.find(name);
  if (known != notices_.end() && known->second.instance == next.instance) {
    next.leaving = next.leaving || known->second.leaving;
  }
  if (!next.rate_limit && !next.leaving) {
    Forget(name);
    return;
  }
  notices_.insert_or_assign(std::string(name), std::move(next));
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
