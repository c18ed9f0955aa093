#include "core/peer_contacts.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::size_t kMaxNonMembers = 32;
constexpr std::size_t kMaxFailures = 1'024;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr unsigned kMaxDoublings = 5;
// On average, one pick in this many is a member considered dead.
constexpr std::uint64_t kDeadOneIn = 8;

}  // namespace

PeerContacts::PeerContacts(const MemberDirectory* directory,
                           std::string self_name)
    : directory_(directory), self_name_(std::move(self_name)) {}

void PeerContacts::Heard(Time now, const PeerIdentity& peer) {
  last_heard_ = now;
  failures_.erase(KeyOf(peer.control));
  Learned(peer);
}

void PeerContacts::Learned(const PeerIdentity& peer) {
  const Member* member = directory_->Find(peer.name);
  const bool is_member =
      member != nullptr && member->control_address == peer.control;
  std::erase_if(non_members_, [&](const PeerIdentity& non_member) {
    return non_member.name == peer.name;
  });
  if (is_member || peer.name == self_name_) {
    return;
  }
  non_members_.push_back(peer);
  if (non_members_.size() > kMaxNonMembers) {
    non_members_.pop_front();
  }
}

std::vector<PeerIdentity> PeerContacts::Some(std::size_t count,
                                             Random& random) const {
  std::vector<PeerIdentity> peers;
  std::uint64_t seen = 0;
  for (const auto& [name, member] : directory_->members()) {
    if (member.state > MemberState::kSuspect) {
      continue;
    }
    PeerIdentity peer{name, member.failure_domain, member.control_address};
    ++seen;
    if (peers.size() < count) {
      peers.push_back(std::move(peer));
    } else if (const auto slot = random.Below(seen); slot < count) {
      peers[slot] = std::move(peer);
    }
  }
  return peers;
}

void PeerContacts::Failed(Time now, const SocketAddress& peer, Random& random) {
  if (failures_.size() >= kMaxFailures) {
    std::erase_if(failures_, [&](const auto& failure) {
      return failure.second.not_before <= now;
    });
  }
  Failure& failure = failures_[KeyOf(peer)];
  const Duration longest =
      kInitialBackoff * (1U << std::min(failure.count, kMaxDoublings));
  ++failure.count;
  failure.not_before = now + random.UpTo(longest);
}

bool PeerContacts::Ready(Time now, const SocketAddress& peer) const {
  const auto failure = failures_.find(KeyOf(peer));
  return failure == failures_.end() || failure->second.not_before <= now;
}

std::optional<SocketAddress> PeerContacts::PickAny(Time now,
                                                   Random& random) const {
  const bool try_dead = random.Below(kDeadOneIn) == 0;
  std::vector<const SocketAddress*> alive;
  std::vector<const SocketAddress*> dead;
  for (const auto& [name, member] : directory_->members()) {
    if (name == self_name_ || !Ready(now, member.control_address)) {
      continue;
    }
    if (member.state == MemberState::kDead) {
      dead.push_back(&member.control_address);
    } else if (member.state != MemberState::kLeft) {
      alive.push_back(&member.control_address);
    }
  }
  for (const PeerIdentity& non_member : non_members_) {
    if (Ready(now, non_member.control)) {
      alive.push_back(&non_member.control);
    }
  }
  const auto& from =
      !dead.empty() && (try_dead || alive.empty()) ? dead : alive;
  if (from.empty()) {
    return std::nullopt;
  }
  return *from[random.Below(from.size())];
}

std::optional<SocketAddress> PeerContacts::Find(std::string_view name) const {
  if (const Member* member = directory_->Find(name)) {
    return member->control_address;
  }
  for (const PeerIdentity& non_member : non_members_) {
    if (non_member.name == name) {
      return non_member.control;
    }
  }
  return std::nullopt;
}

std::size_t PeerContacts::fleet_size() const {
  const auto& members = directory_->members();
  const auto known =
      std::count_if(members.begin(), members.end(), [&](const auto& entry) {
        return entry.first != self_name_ &&
               entry.second.state <= MemberState::kLeaving;
      });
  return static_cast<std::size_t>(known) + non_members_.size() + 1;
}

}  // namespace verbenastile
