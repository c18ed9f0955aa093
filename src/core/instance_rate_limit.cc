#include "core/instance_rate_limit.h"

#include <algorithm>

namespace verbenastile {

void InstanceRateLimit::OnInstance(std::string_view id) {
  if (id != instance_) {
    *this = {};
    instance_ = id;
  }
}

bool InstanceRateLimit::OnResponse(std::string_view id,
                                   const ResponseNotice& response,
                                   Time sent,
                                   Time now) {
  if (id != instance_) {
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
  const bool is_ours = !instance_.empty() && notice.instance == instance_;
  if (!is_ours || has_responded_ || !notice.rate_limit) {
    return false;
  }
  has_named_limit_ = true;
  return SetRate(rate_ ? std::min(*rate_, *notice.rate_limit)
                       : *notice.rate_limit);
}

bool InstanceRateLimit::SetRate(std::optional<double> rate) {
  const bool changed = rate != rate_;
  rate_ = rate;
  return changed;
}

}  // namespace verbenastile
