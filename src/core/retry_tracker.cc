#include "core/retry_tracker.h"

#include <xxhash.h>

namespace verbenastile {
namespace {

// Callers retry within a third of their remaining time; the longest deadline
// that the sites of the platform use is 8 s.
constexpr Duration kMaxAge = std::chrono::seconds(3);

RequestKey HashInto(RequestKey key, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), key);
}

}  // namespace

RequestKey MakeRequestKey(std::string_view caller,
                          std::string_view method,
                          std::string_view target) {
  return HashInto(HashInto(HashInto(0, caller), method), target);
}

Time RetryTracker::TakeFirstAttemptTime(RequestKey key, Time now) {
  RemoveExpired(now);
  const auto found = first_attempts_.find(key);
  if (found == first_attempts_.end()) {
    return now;
  }
  const Time first = found->second;
  first_attempts_.erase(found);
  return first;
}

void RetryTracker::OnRequestFailed(RequestKey key,
                                   Time first_attempt,
                                   Time now) {
  first_attempts_[key] = first_attempt;
  by_age_.emplace_back(now, key);
  RemoveExpired(now);
}

// An entry that was taken and then recorded again is dropped at the age of its
// older record in `by_age_`, slightly early. Its caller then only counts as
// new.
void RetryTracker::RemoveExpired(Time now) {
  while (!by_age_.empty() && (by_age_.size() > kMaxRequests ||
                              now - by_age_.front().first > kMaxAge)) {
    first_attempts_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

}  // namespace verbenastile
