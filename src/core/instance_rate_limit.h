// The rate limit that the upstream instance beside this node names in its
// responses, for as long as it names it. All calls to the instance pass this
// node, so that a limit that is kept here holds for the sum over all nodes.
#ifndef CORE_INSTANCE_RATE_LIMIT_H_
#define CORE_INSTANCE_RATE_LIMIT_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "core/instance_notice.h"
#include "core/instance_run.h"

namespace verbenastile {

class InstanceRateLimit {
 public:
  // `run` is the instance beside this node. Another one than before, or a later
  // run, inherits no limit.
  void OnInstance(const InstanceRun& run);
  // The instance `id` responded to a call that was sent to it at `sent`.
  // Returns whether the limit changed.
  bool OnResponse(std::string_view id,
                  const ResponseNotice& response,
                  Time sent,
                  Time now);
  // A peer returned what it has heard. It counts until the instance has
  // responded to this process, and is kept while no instance is known. Returns
  // whether the limit changed.
  bool OnPeerNotice(const InstanceNotice& notice);

  // Empty: no limit.
  std::optional<double> calls_per_second() const { return rate_; }
  // Whether the instance has named a limit, which may have ended.
  bool has_named_limit() const { return has_named_limit_; }

 private:
  static constexpr std::size_t kMaxEarlyNotices = 64;

  bool IsOfInstance(const InstanceNotice& notice) const;
  void KeepEarly(const InstanceNotice& notice);
  bool SetRate(std::optional<double> rate);

  InstanceRun instance_;
  // What peers returned before the instance was known, by instance.
  std::map<std::string, InstanceNotice, std::less<>> early_notices_;
  std::optional<double> rate_;
  // When `rate_` or a lower limit was last named. Responses to calls that were
  // sent earlier may be older than that, whichever arrives first.
  Time named_at_;
  bool has_responded_ = false;
  bool has_named_limit_ = false;
};

}  // namespace verbenastile

#endif  // CORE_INSTANCE_RATE_LIMIT_H_
