// Upstream instances that refused a call because they are leaving, although the
// membership has not yet announced that to this node.
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
  // How long an instance is avoided after a refusal. An instance that is still
  // leaving refuses the next call and is avoided again; a short time lets a
  // restarted one return to use soon.
  static constexpr Duration kAvoidTime = std::chrono::seconds(2);

  // Records that this incarnation of `name` refused a call because it is
  // leaving.
  void Add(std::string_view name, std::uint64_t incarnation, Time now);

  // Whether to avoid the instance. A later incarnation than the one that
  // refused has restarted and is not avoided.
  bool Contains(std::string_view name,
                std::uint64_t incarnation,
                Time now) const;

  // Removes expired entries and returns the names of the others. Valid until
  // the list changes.
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
