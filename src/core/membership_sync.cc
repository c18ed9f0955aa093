// Dissemination of membership updates: gossip rounds, and digest-based
// anti-entropy that repairs what gossip missed.
#include <fmt/format.h>

#include <algorithm>
#include <bit>

#include "core/invariant.h"
#include "core/membership.h"
#include "core/membership_timing.h"

namespace verbenastile {
namespace {

constexpr Duration kUnknownSenderSyncInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxSeedsAsked = 3;
// On average, one in this many gossip messages or syncs goes to another failure
// domain.
constexpr std::uint64_t kGossipFarOneIn = 3;
constexpr std::uint64_t kSyncFarOneIn = 4;
constexpr unsigned kExtraRetransmits = 3;
constexpr unsigned kMinRetransmits = 2;
// The retransmit limit drops by one for each this many queued members.
constexpr std::size_t kQueuedPerRetransmit = 16;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
static_assert(kSyncBuckets == 64, "a set of buckets is a 64-bit word");

}  // namespace

// --- Sending.

void Membership::SetSender(GossipMessage& message) const {
  message.cluster = cluster_;
  message.sender = self_.name;
  message.incarnation = self_.incarnation;
}

bool Membership::Send(const SocketAddress& to,
                      GossipMessage message,
                      Priority priority) {
  SetSender(message);
  const std::size_t bytes = DatagramBytes(message);
  CheckInvariant(bytes <= kMaxDatagramBytes, "membership_datagram_bound",
                 self_.name);
  const std::int64_t floor =
      priority == Priority::kAnswer ? -kMembershipReserveBytes : 0;
  if (!budget_.Spend(clock_, static_cast<std::int64_t>(bytes), floor) &&
      fault_ != MembershipFault::kFlood) {
    ++stats_.over_budget;
    return false;
  }
  ++stats_.messages_sent;
  stats_.bytes_sent += bytes;
  const std::int64_t allowed = kMembershipBurstBytes + kMembershipReserveBytes +
                               (clock_ - start_).count() *
                                   kMembershipBytesPerSecond /
                                   kMicrosecondsPerSecond;
  CheckInvariant(static_cast<std::int64_t>(stats_.bytes_sent) <= allowed,
                 "membership_byte_budget", self_.name);
  actions_.emplace_back(SendGossip{to, std::move(message)});
  return true;
}

MemberUpdate Membership::UpdateOf(const Member& member, bool whole) const {
  MemberUpdate update;
  update.member = member;
  if (member.state == MemberState::kSuspect) {
    update.whole = whole;
    const auto suspicion = suspicions_.find(member.name);
    update.accuser =
        suspicion == suspicions_.end() ? 0 : suspicion->second.latest_accuser();
  } else {
    update.whole = member.state == MemberState::kAlive || whole;
    update.whole = update.whole && IsLive(member.state);
  }
  return update;
}

void Membership::AddUpdateAbout(std::string_view name,
                                std::uint64_t incarnation,
                                GossipMessage& message) const {
  const MemberRecord* record = table_.Find(name);
  if (record == nullptr) {
    return;
  }
  const Member& member = record->member;
  const bool healthy = member.state == MemberState::kAlive ||
                       member.state == MemberState::kLeaving;
  if (!healthy || member.incarnation > incarnation) {
    message.updates.push_back(UpdateOf(member, false));
  }
}

// Decreases with the length of the queue: many updates at once take fewer bytes
// by anti-entropy, which sends each member only what it lacks.
unsigned Membership::RetransmitLimit() const {
  const auto full =
      static_cast<unsigned>(std::bit_width(table_.live())) + kExtraRetransmits;
  const auto crowd =
      static_cast<unsigned>(queue_.size() / kQueuedPerRetransmit);
  return full > crowd + kMinRetransmits ? full - crowd : kMinRetransmits;
}

void Membership::AddQueued(GossipMessage& message) {
  if (queue_.empty() || budget_.Left(clock_) <= 0) {
    return;
  }
  SetSender(message);
  DatagramSizer sizer(message);
  for (const MemberUpdate& update : message.updates) {
    sizer.Add(update);
  }
  queue_.Drain(RetransmitLimit(), [&](const std::string& name) {
    const MemberRecord* record = table_.Find(name);
    if (record == nullptr) {
      return true;
    }
    MemberUpdate update = UpdateOf(record->member, false);
    if (!sizer.Add(update) && fault_ != MembershipFault::kIgnoreDatagramBound) {
      return false;
    }
    message.updates.push_back(std::move(update));
    return true;
  });
}

// --- Gossip.

const MemberRecord* Membership::RandomLive(std::uint64_t far_one_in) {
  const auto& near = table_.views().neighbours;
  const auto& far = table_.views().distant;
  if (near.empty() && far.empty()) {
    return nullptr;
  }
  const bool pick_far =
      near.empty() || (!far.empty() && random_.Below(far_one_in) == 0);
  const auto& from = pick_far ? far : near;
  return from[random_.Below(from.size())];
}

void Membership::GossipRound(std::size_t fanout) {
  next_gossip_ = clock_ + kGossipInterval;
  if (fault_ == MembershipFault::kFlood) {
    Flood();
  }
  std::vector<const MemberRecord*> recipients;
  for (std::size_t i = 0; i < fanout; ++i) {
    const MemberRecord* peer = RandomLive(kGossipFarOneIn);
    const bool already_chosen = std::find(recipients.begin(), recipients.end(),
                                          peer) != recipients.end();
    if (peer == nullptr || already_chosen) {
      continue;
    }
    recipients.push_back(peer);
    if (budget_.Left(clock_) < static_cast<std::int64_t>(kMaxDatagramBytes)) {
      ++stats_.over_budget;
      return;
    }
    GossipMessage news;
    news.kind = GossipKind::kNews;
    AddQueued(news);
    if (!news.updates.empty()) {
      Send(peer->member.control_address, std::move(news), Priority::kNews);
    }
  }
}

// Announces a planned stop to every member directly, since all must learn of it
// at once. Gossip covers lost datagrams.
void Membership::BroadcastSelf() {
  std::vector<const MemberRecord*> others = table_.views().neighbours;
  const auto& distant = table_.views().distant;
  others.insert(others.end(), distant.begin(), distant.end());
  random_.Shuffle(others);
  for (const MemberRecord* other : others) {
    GossipMessage news;
    news.kind = GossipKind::kNews;
    news.updates.push_back(UpdateOf(self_, false));
    if (!Send(other->member.control_address, std::move(news),
              Priority::kNews)) {
      return;
    }
  }
}

void Membership::Flood() {
  for (const MemberRecord* record : table_.views().neighbours) {
    SendState(record->member.control_address, table_.views().distant);
  }
}

// --- Senders.

// Records contact with the sender. Returns false if the sender is unknown or
// its incarnation is newer than the one in the table.
bool Membership::NoteSender(const SocketAddress& from,
                            const GossipMessage& message) {
  const MemberRecord* record = table_.Find(message.sender);
  if (record == nullptr || record->member.incarnation < message.incarnation) {
    return false;
  }
  if (record->member.control_address == from &&
      record->member.incarnation == message.incarnation) {
    table_.Heard(message.sender, clock_);
  }
  return true;
}

void Membership::SyncWithUnknownSender(const SocketAddress& from,
                                       const GossipMessage& message) {
  const MemberRecord* record = table_.Find(message.sender);
  const bool known_now =
      record != nullptr && record->member.incarnation >= message.incarnation;
  if (known_now || next_unknown_sender_sync_ > clock_) {
    return;
  }
  next_unknown_sender_sync_ = clock_ + kUnknownSenderSyncInterval;
  SendSyncRoot(from);
}

// --- Anti-entropy.

void Membership::SyncSoonWith(const SocketAddress& peer) {
  next_sync_peer_ = peer;
  next_sync_ = clock_;
}

void Membership::StartSync() {
  next_sync_ = clock_ + random_.Jitter10Percent(kSyncInterval);
  if (!quick_sync_due_) {
    quick_syncs_ = 0;
  }
  quick_sync_due_ = false;
  if (next_sync_peer_) {
    SendSyncRoot(*next_sync_peer_);
    next_sync_peer_.reset();
    return;
  }
  if (const MemberRecord* peer = RandomLive(kSyncFarOneIn)) {
    SendSyncRoot(peer->member.control_address);
  }
}

void Membership::SendSyncRoot(const SocketAddress& to) {
  GossipMessage root;
  root.kind = GossipKind::kSyncRoot;
  root.root = table_.root();
  root.updates.push_back(UpdateOf(table_.Find(self_.name)->member, true));
  Send(to, std::move(root), Priority::kAnswer);
}

void Membership::OnSeeds(Time now, std::span<const SocketAddress> seeds) {
  Advance(now);
  std::vector<SocketAddress> others(seeds.begin(), seeds.end());
  std::erase(others, self_.control_address);
  random_.Shuffle(others);
  others.resize(std::min(others.size(), kMaxSeedsAsked));
  for (const SocketAddress& seed : others) {
    SendSyncRoot(seed);
  }
}

void Membership::OnSyncRoot(const SocketAddress& from,
                            const GossipMessage& message) {
  if (name_yielded_ || self_.state == MemberState::kLeft) {
    return;
  }
  GossipMessage reply;
  reply.kind = GossipKind::kNews;
  AddUpdateAbout(message.sender, message.incarnation, reply);
  if (message.root != table_.root()) {
    reply.kind = GossipKind::kSyncDigests;
    reply.digests.assign(table_.buckets().begin(), table_.buckets().end());
  } else if (reply.updates.empty()) {
    return;
  }
  Send(from, std::move(reply), Priority::kNews);
}

void Membership::OnSyncBuckets(const SocketAddress& from,
                               const GossipMessage& message) {
  std::uint64_t different = 0;
  for (std::size_t i = 0; i < message.digests.size(); ++i) {
    const bool differs = message.digests[i] != table_.buckets()[i];
    different |= static_cast<std::uint64_t>(differs) << i;
  }
  if (different == 0) {
    return;
  }
  SendMembers(from, different);
  if (quick_syncs_ < kMaxQuickSyncs) {
    const Duration wait = kQuickSync * (1 << quick_syncs_);
    ++quick_syncs_;
    quick_sync_due_ = true;
    next_sync_ = std::min(next_sync_, clock_ + random_.Jitter10Percent(wait));
  }
}

// Sends the digests of the live members in `buckets`. A bucket is not split
// across datagrams.
void Membership::SendMembers(const SocketAddress& to, std::uint64_t buckets) {
  GossipMessage list;
  list.kind = GossipKind::kSyncMembers;
  for (std::size_t bucket = 0; bucket < kSyncBuckets; ++bucket) {
    if ((buckets >> bucket & 1) == 0) {
      continue;
    }
    const auto records = table_.InBucket(bucket);
    if (list.digests.size() + records.size() > kMaxDigests) {
      if (!Send(to, std::exchange(list, {}), Priority::kNews)) {
        return;
      }
      list.kind = GossipKind::kSyncMembers;
    }
    list.bucket_set |= 1ULL << bucket;
    for (const MemberRecord* record : records) {
      if (IsLive(record->member.state) && list.digests.size() < kMaxDigests) {
        list.digests.push_back(record->digest);
      }
    }
  }
  Send(to, std::move(list), Priority::kNews);
}

// Sends the sender members that are live here but not in its list, and members
// that are not live here but in its list. Requests the members that are in its
// list but unknown here.
void Membership::OnSyncMembers(const SocketAddress& from,
                               const GossipMessage& message) {
  std::vector<std::uint32_t> theirs = message.digests;
  std::sort(theirs.begin(), theirs.end());
  std::vector<const MemberRecord*> to_send;
  for (std::size_t bucket = 0; bucket < kSyncBuckets; ++bucket) {
    if ((message.bucket_set >> bucket & 1) == 0) {
      continue;
    }
    for (const MemberRecord* record : table_.InBucket(bucket)) {
      const auto held =
          std::lower_bound(theirs.begin(), theirs.end(), record->digest);
      const bool listed = held != theirs.end() && *held == record->digest;
      if (listed != IsLive(record->member.state)) {
        to_send.push_back(record);
      }
      if (listed) {
        theirs.erase(held);
      }
    }
  }
  random_.Shuffle(to_send);
  SendState(from, to_send);
  if (!theirs.empty()) {
    GossipMessage want;
    want.kind = GossipKind::kSyncWant;
    want.digests = std::move(theirs);
    Send(from, std::move(want), Priority::kNews);
  }
}

void Membership::OnSyncWant(const SocketAddress& from,
                            const GossipMessage& message) {
  std::vector<std::uint32_t> wanted = message.digests;
  std::sort(wanted.begin(), wanted.end());
  std::vector<const MemberRecord*> records;
  for (std::size_t bucket = 0; bucket < kSyncBuckets; ++bucket) {
    for (const MemberRecord* record : table_.InBucket(bucket)) {
      if (std::binary_search(wanted.begin(), wanted.end(), record->digest)) {
        records.push_back(record);
      }
    }
  }
  SendState(from, records);
}

void Membership::SendNewerState(const SocketAddress& from,
                                const GossipMessage& message) {
  std::vector<const MemberRecord*> newer;
  for (const MemberUpdate& update : message.updates) {
    const MemberRecord* record = table_.Find(update.member.name);
    if (record == nullptr) {
      continue;
    }
    const bool died =
        IsLive(update.member.state) && !IsLive(record->member.state);
    if (record->member.incarnation > update.member.incarnation || died) {
      newer.push_back(record);
    }
  }
  SendState(from, newer);
}

void Membership::SendState(const SocketAddress& to,
                           std::span<const MemberRecord* const> records) {
  GossipMessage empty_state;
  empty_state.kind = GossipKind::kSyncState;
  SetSender(empty_state);
  GossipMessage state = empty_state;
  DatagramSizer sizer(empty_state);
  for (const MemberRecord* record : records) {
    MemberUpdate update = UpdateOf(record->member, true);
    if (!sizer.Add(update)) {
      if (!Send(to, std::exchange(state, empty_state), Priority::kNews)) {
        return;
      }
      sizer = DatagramSizer(empty_state);
      sizer.Add(update);
    }
    state.updates.push_back(std::move(update));
  }
  if (!state.updates.empty()) {
    Send(to, std::move(state), Priority::kNews);
  }
}

}  // namespace verbenastile
