// Recognises callers that come back with a request that was refused or failed.
// What counts for them is the time since they first asked: when that has passed
// their latency objective, their answer is late whatever is done, and room that
// is short goes to those who can still be answered in time.
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

// Names what one caller asked for; equal for each of its tries.
using RequestKey = std::uint64_t;

RequestKey KeyOfRequest(std::string_view caller,
                        std::string_view method,
                        std::string_view target);

class ReturningCallers {
 public:
  // Requests that are remembered; the oldest are forgotten beyond.
  static constexpr std::size_t kMaxKept = 4'096;

  // When the caller first asked for this; `now` unless it comes back. An entry
  // serves one return, so that equal requests of others do not share it.
  Time FirstAsked(RequestKey key, Time now);
  // The try that was first made at `first_asked` was not served.
  void OnNotServed(RequestKey key, Time first_asked, Time now);

  std::size_t size() const { return first_asked_.size(); }

 private:
  void Forget(Time now);

  std::unordered_map<RequestKey, Time> first_asked_;
  std::deque<std::pair<Time, RequestKey>> by_age_;  // When it was not served.
};

}  // namespace verbenastile

#endif  // CORE_RETURNING_CALLERS_H_
