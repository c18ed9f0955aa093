// The known members of the fleet, indexed by name and by service.
#ifndef CORE_MEMBER_DIRECTORY_H_
#define CORE_MEMBER_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"

namespace verbenastile {

// The state of a member. A higher value overrides a lower one.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Other members report that it does not respond.
  kLeaving = 2,  // Draining: finishes running calls and gets no new ones.
  kDead = 3,
  kLeft = 4,  // Shut down as planned.
};

// The name of `state` in lower case.
std::string_view ToString(MemberState state);

// A node and the upstream instance that it runs beside.
struct Member {
  std::string name;
  // Increased by the member itself to override reports of others about it, and
  // by each restart.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::string failure_domain;
  std::string region;
  std::string service;
  std::string software;  // Version of the upstream's software; may be empty.
  SocketAddress peer_address;
  SocketAddress control_address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool serving = true;  // False while it starts up: it gets no calls yet.

  bool operator==(const Member&) const = default;
};

class MemberDirectory {
 public:
  // Adds or replaces the member of that name.
  void Put(Member member);
  void Remove(std::string_view name);

  // Returns null when there is no such member. The pointer is valid until the
  // next change.
  const Member* Find(std::string_view name) const;

  // Returns the members of `service` that may get new calls: alive or suspect,
  // and serving.
  std::vector<const Member*> ServingMembers(std::string_view service) const;

  const std::map<std::string, Member, std::less<>>& members() const {
    return members_;
  }

  // Increases with each change, so that caches can detect that they are stale.
  std::uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
  std::uint64_t revision_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_MEMBER_DIRECTORY_H_
