// Recognizes retries by callers whose request was refused or failed. Their
// latency is measured from the first attempt: once that exceeds the latency
// objective, the response is late in any case, so scarce capacity goes to
// callers that can still be answered in time.
#ifndef CORE_RETURNING_CALLERS_H_
#define CORE_RETURNING_CALLERS_H_

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

RequestKey KeyOfRequest(std::string_view caller,
                        std::string_view method,
                        std::string_view target);

class ReturningCallers {
 public:
  // Number of requests that are tracked; the oldest are dropped first.
  static constexpr std::size_t kMaxKept = 4'096;

  // The time of the first attempt at this request; `now` if it is not a retry.
  // Removes the entry, so that an equal concurrent request of the same caller
  // does not count as a retry too.
  Time FirstAsked(RequestKey key, Time now);
  // Records that a request was refused or failed; its first attempt was at
  // `first_asked`.
  void OnNotServed(RequestKey key, Time first_asked, Time now);

  std::size_t size() const { return first_asked_.size(); }

 private:
  void RemoveExpired(Time now);

  std::unordered_map<RequestKey, Time> first_asked_;
  std::deque<std::pair<Time, RequestKey>> by_age_;  // By time of failure.
};

}  // namespace verbenastile

#endif  // CORE_RETURNING_CALLERS_H_
