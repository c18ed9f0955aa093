// Recognizes retries by callers whose request was refused or failed. Their
// latency is measured from the first attempt: once that exceeds the latency
// objective, the response is late in any case, so scarce capacity goes to
// callers that can still be answered in time.
#ifndef CORE_RETRY_TRACKER_H_
#define CORE_RETRY_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "base/time.h"

namespace verbenastile {

// Identifies a request of one caller; the same for each of its retries.
using RequestKey = std::uint64_t;

RequestKey MakeRequestKey(std::string_view caller,
                          std::string_view method,
                          std::string_view target);

class RetryTracker {
 public:
  // Number of requests that are tracked; the oldest are dropped first.
  static constexpr std::size_t kMaxRequests = 4'096;

  // The time of the first attempt at this request; `now` if it is not a retry.
  // Removes the entry, so that an equal concurrent request of the same caller
  // does not count as a retry too.
  Time TakeFirstAttemptTime(RequestKey key, Time now);
  // Records that a request was refused or failed; its first attempt was at
  // `first_attempt`.
  void OnRequestFailed(RequestKey key, Time first_attempt, Time now);

  std::size_t size() const { return first_attempts_.size(); }

 private:
  void RemoveExpired(Time now);

  std::unordered_map<RequestKey, Time> first_attempts_;
  std::deque<std::pair<Time, RequestKey>> by_age_;  // By time of failure.
};

}  // namespace verbenastile

#endif  // CORE_RETRY_TRACKER_H_
