#include "core/fan_out.h"

#include <algorithm>

#include "core/digest.h"

namespace verbenastile {
namespace {

struct Ranked {
  Digest score;
  const Member* member = nullptr;
};

Digest ScoreOf(const Member& member) {
  return DigestOf(member.failure_domain + "/" + member.name);
}

std::vector<Ranked> Rank(const MemberDirectory& directory, const Member& self) {
  std::vector<Ranked> ranked = {{ScoreOf(self), &self}};
  for (const auto& [name, member] : directory.members()) {
    if (member.state <= MemberState::kSuspect && name != self.name &&
        member.failure_domain == self.failure_domain) {
      ranked.push_back({ScoreOf(member), &member});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return a.score > b.score; });
  return ranked;
}

TreePeer PeerAt(const std::vector<Ranked>& ranked, std::size_t rank) {
  return {ranked[rank].member->name, ranked[rank].member->control_address};
}

}  // namespace

TreePlace PlaceOf(const MemberDirectory& directory, const Member& self) {
  const std::vector<Ranked> ranked = Rank(directory, self);
  const auto own =
      std::find_if(ranked.begin(), ranked.end(),
                   [&](const Ranked& r) { return r.member == &self; });
  const auto rank = static_cast<std::size_t>(own - ranked.begin());
  TreePlace place;
  place.domain_size = ranked.size();
  place.reader = rank < kReadersPerDomain;
  place.writer = rank == 0;
  if (!place.writer) {
    place.parent =
        PeerAt(ranked, place.reader ? 0 : (rank - kReadersPerDomain) / kFanOut);
  }
  const std::size_t first = kReadersPerDomain + rank * kFanOut;
  for (std::size_t child = first;
       child < std::min(first + kFanOut, ranked.size()); ++child) {
    place.children.push_back(PeerAt(ranked, child));
  }
  place.reporters = place.children;
  for (std::size_t reader = 1;
       place.writer && reader < std::min(kReadersPerDomain, ranked.size());
       ++reader) {
    place.reporters.push_back(PeerAt(ranked, reader));
  }
  return place;
}

}  // namespace verbenastile
