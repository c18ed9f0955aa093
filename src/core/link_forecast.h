// Tells how long a large answer will wait for the machine's link: behind the
// bytes that are queued, and behind those of answers that the instance is still
// working on. A small link is full long before the instance's slots are.
#ifndef CORE_LINK_FORECAST_H_
#define CORE_LINK_FORECAST_H_

#include <cstdint>
#include <unordered_map>

#include "base/time.h"
#include "core/admission.h"
#include "core/rule_profile.h"

namespace verbenastile {

// Answers of rules with more than this wait for the link; smaller ones pass.
constexpr std::int64_t kLargeAnswerBytes = 16'384;

// The link as it is now.
struct LinkState {
  std::int64_t bytes_per_second = 125'000'000;  // What large answers may use.
  std::int64_t queued_bytes = 0;
};

class LinkForecast {
 public:
  // A call of a rule with such answers was taken, and will be answered.
  void OnTaken(CallId id, const RuleProfile& profile);
  // Its answer is in the queue of the link, or will not come.
  void OnAnswered(CallId id);

  // How long an answer would wait that was ready now.
  Duration Wait(const LinkState& link) const;

  // Until the answer to a call that was taken now would have left.
  Duration Until(const RuleProfile& profile, const LinkState& link) const;

  // By how much that is later than `objective` because of what is before it;
  // zero when the instance takes longer than the link's queue.
  Duration LateBy(const RuleProfile& profile,
                  const LinkState& link,
                  Duration objective) const;

 private:
  std::unordered_map<CallId, std::int64_t> expected_;  // Bytes of answers.
  std::int64_t expected_bytes_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_LINK_FORECAST_H_
