// Which instances get no ordinary calls because of their software version.
#ifndef CORE_VERSION_HOLDS_H_
#define CORE_VERSION_HOLDS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/member_directory.h"
#include "core/rollout_messages.h"

namespace verbenastile {

class VersionHolds {
 public:
  // What is known of the order for a service.
  struct Order {
    std::string_view target;  // Empty: the order was removed.
    RolloutState state = RolloutState::kRunning;
    Time learned;
    Time deadline;
  };
  struct Knowledge {
    std::function<std::optional<Order>(std::string_view service)> order;
    // All orders that exist are known.
    bool informed = false;
    // When the store last confirmed to this node, or to a peer that has told
    // what it knows, that there are no other orders; unset: unknown.
    std::optional<Time> confirmed;
  };

  explicit VersionHolds(Time started) : started_(started) {}

  // An order for this version was replaced or removed without a good verdict:
  // the version is held until then.
  void Bar(std::string_view service, std::string_view version, Time until);

  // Returns whether `held` has changed.
  bool Update(const MemberDirectory& directory,
              const Knowledge& known,
              Time now);

  // Names of members.
  const std::set<std::string, std::less<>>& held() const { return held_; }
  // When the newest version without an order was first seen that is held until
  // the store confirms that there is none; unset: no version is.
  std::optional<Time> unconfirmed_since() const { return unconfirmed_since_; }

 private:
  struct Version {
    Time first_seen;
    bool proven = false;  // Gets ordinary calls unless an order says otherwise.
    Time barred_until;
  };
  using Versions = std::map<std::string, Version, std::less<>>;
  // The accepting members of a service by version.
  using Members = std::map<std::string_view, std::vector<std::string_view>>;

  static void NoteOrder(const Order& order, Versions& versions);
  void HoldByOrder(const Order& order,
                   const Versions& versions,
                   const Members& members,
                   Time now);
  void HoldUnproven(Versions& versions,
                    const Members& members,
                    const Knowledge& known,
                    Time now);
  void Hold(const std::vector<std::string_view>& names);

  Time started_;
  std::map<std::string, Versions, std::less<>> services_;
  std::set<std::string, std::less<>> held_;
  std::optional<Time> unconfirmed_since_;
};

}  // namespace verbenastile

#endif  // CORE_VERSION_HOLDS_H_
