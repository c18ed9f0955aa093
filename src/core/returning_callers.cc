#include "core/returning_callers.h"

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

RequestKey KeyOfRequest(std::string_view caller,
                        std::string_view method,
                        std::string_view target) {
  return HashInto(HashInto(HashInto(0, caller), method), target);
}

Time ReturningCallers::FirstAsked(RequestKey key, Time now) {
  RemoveExpired(now);
  const auto found = first_asked_.find(key);
  if (found == first_asked_.end()) {
    return now;
  }
  const Time first = found->second;
  first_asked_.erase(found);
  return first;
}

void ReturningCallers::OnNotServed(RequestKey key, Time first_asked, Time now) {
  first_asked_[key] = first_asked;
  by_age_.emplace_back(now, key);
  RemoveExpired(now);
}

// An entry that was taken and then recorded again is dropped at the age of its
// older record in `by_age_`, slightly early. Its caller then only counts as
// new.
void ReturningCallers::RemoveExpired(Time now) {
  while (!by_age_.empty() &&
         (by_age_.size() > kMaxKept || now - by_age_.front().first > kMaxAge)) {
    first_asked_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

}  // namespace verbenastile
