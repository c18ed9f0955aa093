// Upstream instances that said themselves that they take no new work, before
// their announcement reached this node.
#ifndef CORE_AVOID_LIST_H_
#define CORE_AVOID_LIST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace verbenastile {

class AvoidList {
 public:
  // How long one refusal keeps new work away. A leaving instance renews it by
  // refusing the first call after that; a restarted one is found again soon.
  static constexpr Duration kAvoidTime = std::chrono::seconds(2);

  // `name` of that incarnation refused since it is leaving.
  void Add(std::string_view name, std::uint64_t incarnation, Time now);

  // Whether to go elsewhere; not for a later incarnation, which has returned.
  bool Contains(std::string_view name,
                std::uint64_t incarnation,
                Time now) const;

  // The names that are on the list now, and forgets the others.
  std::vector<std::string_view> Names(Time now);

  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
    Time until;
  };

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace verbenastile

#endif  // CORE_AVOID_LIST_H_
