#include "core/instance_rate_limit.h"

#include <algorithm>
#include <utility>

namespace verbenastile {

void InstanceRateLimit::OnInstance(const InstanceRun& run) {
  if (run.id == instance_.id && !IsLaterRun(run, instance_)) {
    instance_.started_ms = std::max(instance_.started_ms, run.started_ms);
    return;
  }
  const auto early_notices = std::exchange(early_notices_, {});
  *this = {};
  instance_ = run;
  if (const auto early = early_notices.find(run.id);
      early != early_notices.end()) {
    OnPeerNotice(early->second);
  }
}

// Whether the notice is of the instance beside this node, and of no earlier run
// of it.
bool InstanceRateLimit::IsOfInstance(const InstanceNotice& notice) const {
  return notice.instance == instance_.id &&
         !IsLaterRun(instance_, {notice.instance, notice.started_ms});
}

bool InstanceRateLimit::OnResponse(std::string_view id,
                                   const ResponseNotice& response,
                                   Time sent,
                                   Time now) {
  if (id != instance_.id) {
    return false;
  }
  has_responded_ = has_responded_ || response.is_signed;
  if (const auto* named = std::get_if<NamedRateLimit>(&response.rate_limit)) {
    has_named_limit_ = true;
    const bool is_lower = !rate_ || named->calls_per_second <= *rate_;
    if (!is_lower && sent < named_at_) {
      return false;
    }
    named_at_ = now;
    return SetRate(named->calls_per_second);
  }
  const bool ends_limit =
      std::holds_alternative<NoRateLimit>(response.rate_limit) &&
      response.is_signed && response.is_success && sent >= named_at_;
  return ends_limit && SetRate(std::nullopt);
}

bool InstanceRateLimit::OnPeerNotice(const InstanceNotice& notice) {
  if (!notice.rate_limit) {
    return false;
  }
  if (instance_.id.empty()) {
    KeepEarly(notice);
    return false;
  }
  if (!IsOfInstance(notice) || has_responded_) {
    return false;
  }
  has_named_limit_ = true;
  return SetRate(rate_ ? std::min(*rate_, *notice.rate_limit)
                       : *notice.rate_limit);
}

// Peers may have heard of different limits, and of earlier runs.
void InstanceRateLimit::KeepEarly(const InstanceNotice& notice) {
  const auto known = early_notices_.find(notice.instance);
  if (known == early_notices_.end()) {
    if (early_notices_.size() < kMaxEarlyNotices) {
      early_notices_.emplace(notice.instance, notice);
    }
    return;
  }
  const InstanceRun run = {notice.instance, notice.started_ms};
  const InstanceRun known_run = {notice.instance, known->second.started_ms};
  if (IsLaterRun(run, known_run)) {
    known->second = notice;
  } else if (!IsLaterRun(known_run, run)) {
    known->second.rate_limit =
        std::min(known->second.rate_limit, notice.rate_limit);
  }
}

bool InstanceRateLimit::SetRate(std::optional<double> rate) {
  const bool changed = rate != rate_;
  rate_ = rate;
  return changed;
}

}  // namespace verbenastile
