#include "core/roster_mending.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/digest.h"

namespace verbenastile {
namespace {

bool IsEligible(const Member& member) {
  return member.state <= MemberState::kSuspect;
}

bool IsValidSeed(const Member& seed, const MemberDirectory& directory) {
  const Member* member = directory.Find(seed.name);
  return member != nullptr && IsEligible(*member) &&
         member->control_address == seed.control_address &&
         member->failure_domain == seed.failure_domain;
}

}  // namespace

std::vector<const Member*> StableOrder(const MemberDirectory& directory,
                                       std::string_view domain) {
  std::vector<std::pair<Digest, const Member*>> ranked;
  for (const auto& [name, member] : directory.members()) {
    if (member.failure_domain == domain && IsEligible(member)) {
      ranked.emplace_back(DigestOf(fmt::format("{}/{}", domain, name)),
                          &member);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const Member*> order;
  order.reserve(ranked.size());
  for (const auto& [digest, member] : ranked) {
    order.push_back(member);
  }
  return order;
}

bool IsRosterKeeper(const MemberDirectory& directory, const Member& self) {
  const auto order = StableOrder(directory, self.failure_domain);
  const auto last = order.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(order.size(), kRosterKeepers));
  return std::any_of(order.begin(), last, [&](const Member* member) {
    return member->name == self.name;
  });
}

std::optional<Roster> MendedRoster(const Roster& known,
                                   const MemberDirectory& directory,
                                   const Member& self) {
  Roster mended;
  for (const Member& seed : known.members) {
    if (IsValidSeed(seed, directory) && mended.members.size() < kMaxSeeds) {
      PutMember(mended, seed);
    }
  }
  const bool all_valid = mended.members.size() == known.members.size();
  const auto order = StableOrder(directory, self.failure_domain);
  const std::size_t wanted = std::min(order.size(), kMaxSeeds);
  if (all_valid && mended.members.size() >= wanted) {
    return std::nullopt;
  }
  for (const Member* member : order) {
    if (mended.members.size() < kMaxSeeds) {
      PutMember(mended, *member);
    }
  }
  return mended;
}

}  // namespace verbenastile
