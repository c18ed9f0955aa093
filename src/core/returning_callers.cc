#include "core/returning_callers.h"

#include <xxhash.h>

namespace verbenastile {
namespace {

// Callers come back within a third of the time that they have left; the longest
// deadline of the platform's sites is 8 s.
constexpr Duration kRemembered = std::chrono::seconds(3);

RequestKey Mix(RequestKey key, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), key);
}

}  // namespace

RequestKey KeyOfRequest(std::string_view caller,
                        std::string_view method,
                        std::string_view target) {
  return Mix(Mix(Mix(0, caller), method), target);
}

Time ReturningCallers::FirstAsked(RequestKey key, Time now) {
  Forget(now);
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
  Forget(now);
}

// An entry that was taken and set again goes with its older place in
// `by_age_`: a little early, which only makes its caller look new.
void ReturningCallers::Forget(Time now) {
  while (!by_age_.empty() && (by_age_.size() > kMaxKept ||
                              now - by_age_.front().first > kRemembered)) {
    first_asked_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

}  // namespace verbenastile
