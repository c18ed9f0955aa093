// The members of the fleet that this node knows, and what they serve.
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

// What a member says of itself; states are ordered by what overrides what.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Others say that it does not answer.
  kLeaving = 2,  // Finishes what it has; no new work.
  kDead = 3,
  kLeft = 4,  // Stopped as planned.
};

// The name of `state` in lower case.
std::string_view ToString(MemberState state);

// One node and the upstream instance that it stands beside.
struct Member {
  std::string name;
  // Raised by the member itself to override what others say of it, and to a
  // higher number by each start.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::string failure_domain;
  std::string region;
  std::string service;
  SocketAddress peers;
  SocketAddress control;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool serving = true;  // False while it starts: no work yet.

  bool operator==(const Member&) const = default;
};

// Members by name and by service.
class MemberDirectory {
 public:
  // Adds or replaces the member of that name.
  void Put(Member member);
  void Remove(std::string_view name);

  // Null when there is none of that name. Valid until the next change.
  const Member* Find(std::string_view name) const;

  // Members of `service` that take new work: alive or suspect, and serving.
  std::vector<const Member*> Serving(std::string_view service) const;

  const std::map<std::string, Member, std::less<>>& members() const {
    return members_;
  }

  // Counts the changes so far, so that caches know when they are stale.
  std::uint64_t revision() const { return revision_; }

 private:
  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
  std::uint64_t revision_ = 0;
};

}  // namespace verbenastile

#endif  // CORE_MEMBER_DIRECTORY_H_
