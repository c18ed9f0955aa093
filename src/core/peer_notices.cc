#include "core/peer_notices.h"

#include <algorithm>

#include "core/instance_run.h"

namespace verbenastile {

void PeerNotices::OnNotice(std::string_view name,
                           const InstanceNotice& notice,
                           Time now) {
  const auto known = entries_.find(name);
  const bool left_before =
      known != entries_.end() &&
      known->second.notice.instance == notice.instance &&
      known->second.notice.leaving &&
      !IsLaterRun({notice.instance, notice.started_ms},
                  {notice.instance, known->second.notice.started_ms});
  Entry next{notice, now};
  next.notice.leaving = notice.leaving || left_before;
  if (left_before && !notice.leaving) {
    next.notice.started_ms = known->second.notice.started_ms;
  }
  if (!next.notice.rate_limit && !next.notice.leaving) {
    if (known != entries_.end()) {
      entries_.erase(known);
    }
    return;
  }
  entries_.insert_or_assign(std::string(name), std::move(next));
  if (entries_.size() > kMaxMembers) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.heard_at < b.second.heard_at;
        }));
  }
}

void PeerNotices::OnStays(std::string_view name, std::string_view instance) {
  const auto found = entries_.find(name);
  if (found == entries_.end() || found->second.notice.instance != instance) {
    return;
  }
  found->second.notice.leaving = false;
  if (!found->second.notice.rate_limit) {
    entries_.erase(found);
  }
}

std::optional<InstanceNotice> PeerNotices::Find(
    std::string_view name,
    std::string_view instance) const {
  const auto found = entries_.find(name);
  if (found == entries_.end() ||
      (!instance.empty() && instance != found->second.notice.instance)) {
    return std::nullopt;
  }
  return found->second.notice;
}

}  // namespace verbenastile
