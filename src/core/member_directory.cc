#include "core/member_directory.h"

#include <algorithm>

namespace verbenastile {

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

void MemberDirectory::Put(Member member) {
  const auto known = members_.find(member.name);
  if (known != members_.end() && known->second == member) {
    return;
  }
  if (known == members_.end() || known->second.service != member.service) {
    Remove(member.name);
    by_service_[member.service].push_back(member.name);
  }
  ++revision_;
  std::string name = member.name;
  members_.insert_or_assign(std::move(name), std::move(member));
}

void MemberDirectory::Remove(std::string_view name) {
  const auto known = members_.find(name);
  if (known == members_.end()) {
    return;
  }
  std::erase(by_service_[known->second.service], known->first);
  members_.erase(known);
  ++revision_;
}

const Member* MemberDirectory::Find(std::string_view name) const {
  const auto known = members_.find(name);
  return known == members_.end() ? nullptr : &known->second;
}

std::vector<const Member*> MemberDirectory::ServingMembers(
    std::string_view service) const {
  std::vector<const Member*> serving;
  const auto names = by_service_.find(service);
  if (names == by_service_.end()) {
    return serving;
  }
  for (const std::string& name : names->second) {
    const Member& member = members_.find(name)->second;
    if (member.serving && member.state <= MemberState::kSuspect) {
      serving.push_back(&member);
    }
  }
  return serving;
}

}  // namespace verbenastile
