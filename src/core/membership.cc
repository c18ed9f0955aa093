#include "core/membership.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/invariant.h"
#include "core/membership_timing.h"

namespace verbenastile {
namespace {

constexpr unsigned kMaxHealthPenalty = 7;
constexpr int kWakePenalty = 3;
// How long after its start a process claims its name from any other holder.
constexpr Duration kClaimTime = std::chrono::seconds(30);
constexpr Duration kIsolatedAfter = std::chrono::seconds(5);
constexpr Duration kSeedsInterval = std::chrono::seconds(1);
constexpr Duration kForgetInterval = std::chrono::minutes(1);
constexpr std::size_t kAnnounceFanout = 8;

}  // namespace

Membership::Membership(const MembershipInit& init, Time now)
    : self_(init.self),
      cluster_(init.cluster),
      fault_(init.fault),
      random_(init.seed),
      table_(init.self.name, init.self.failure_domain),
      budget_(kMembershipBytesPerSecond, kMembershipBurstBytes, now),
      clock_(now),
      caller_time_(now),
      start_(now),
      last_contact_(now - kIsolatedAfter),
      next_near_(now + random_.UpTo(kProbeInterval)),
      next_far_(now + random_.UpTo(kFarProbeInterval)),
      next_gone_(now + random_.UpTo(kGoneProbeInterval)),
      next_gossip_(now),
      next_sync_(now + random_.UpTo(kSyncInterval)),
      next_unknown_sender_sync_(now),
      next_seeds_(now),
      next_forget_(now + kForgetInterval) {
  sequence_ = static_cast<std::uint32_t>(random_.Below(1U << 31));
  PublishSelf();
}

void Membership::Announce(Time now, MemberState state, bool serving) {
  Advance(now);
  self_.state = state;
  self_.serving = serving;
  if (name_yielded_) {
    return;
  }
  if (fault_ == MembershipFault::kLowerOwnIncarnation) {
    self_.incarnation -= 2;
  }
  ++self_.incarnation;
  PublishSelf();
  if (state == MemberState::kLeaving) {
    BroadcastSelf();
  } else {
    GossipRound(kAnnounceFanout);
  }
}

void Membership::PublishSelf() {
  SetMember(self_, 0);
}

std::vector<MembershipAction> Membership::TakeActions() {
  return std::exchange(actions_, {});
}

// --- Time and local health.

Duration Membership::ScaledByHealth(Duration duration) const {
  return duration * (stats_.local_health + 1);
}

void Membership::AddHealth(int points) {
  const int health = static_cast<int>(stats_.local_health) + points;
  stats_.local_health = static_cast<unsigned>(
      std::clamp(health, 0, static_cast<int>(kMaxHealthPenalty)));
}

Time Membership::NextDue() const {
  Time due =
      std::min({next_near_, next_far_, next_gone_, next_sync_, next_forget_});
  if (!queue_.empty()) {
    due = std::min(due, next_gossip_);
  }
  for (const auto& [sequence, probe] : probes_) {
    due =
        std::min(due, probe.helpers_asked ? probe.deadline : probe.helpers_due);
  }
  for (const auto& [sequence, relay] : relays_) {
    due = std::min(due, relay.deadline);
  }
  for (const auto& [name, suspicion] : suspicions_) {
    due = std::min(due, suspicion.deadline());
  }
  return due;
}

Time Membership::next_wake() const {
  return caller_time_ + std::max(NextDue() - clock_, Duration(0));
}

void Membership::Advance(Time now) {
  const Duration passed = std::max(now - caller_time_, Duration(0));
  const Duration expected =
      std::max(NextDue() - clock_, Duration(0)) + kLateTickTolerance;
  caller_time_ = std::max(caller_time_, now);
  if (passed <= expected || fault_ == MembershipFault::kIgnorePause) {
    clock_ += passed;
    return;
  }
  clock_ += expected;
  ++stats_.late_ticks;
  OnWake();
}

// The process was paused: its view is stale, and timers that expired meanwhile
// are no evidence of failure.
void Membership::OnWake() {
  AddHealth(kWakePenalty);
  probes_.clear();
  relays_.clear();
  for (auto& [name, suspicion] : suspicions_) {
    suspicion.Restart(clock_);
  }
  next_near_ = clock_ + random_.UpTo(kProbeInterval);
  next_sync_ = clock_;
  quick_syncs_ = 0;
}

void Membership::OnTick(Time now) {
  Advance(now);
  ExpireRelays();
  ExpireProbes();
  ExpireSuspicions();
  StartDueProbes();
  if (next_sync_ <= clock_) {
    StartSync();
  }
  if (!queue_.empty() && next_gossip_ <= clock_) {
    GossipRound(kGossipFanout);
  }
  if (next_forget_ <= clock_) {
    ForgetGone();
  }
  if (isolated() && next_seeds_ <= clock_) {
    next_seeds_ = clock_ + kSeedsInterval;
    actions_.emplace_back(NeedSeeds{});
  }
}

bool Membership::isolated() const {
  return clock_ - last_contact_ >= kIsolatedAfter;
}

void Membership::OnMessage(Time now,
                           const SocketAddress& from,
                           const GossipMessage& message) {
  Advance(now);
  if (message.sender == self_.name) {
    if (from != self_.control_address &&
        message.incarnation >= self_.incarnation) {
      ReportConflict(from);
    }
    return;
  }
  last_contact_ = clock_;
  const bool known = NoteSender(from, message);
  const bool is_sync = message.kind >= GossipKind::kSyncRoot;
  for (const MemberUpdate& update : message.updates) {
    Apply(update, is_sync ? Via::kSync : Via::kGossip);
  }
  if (!known) {
    SyncWithUnknownSender(from, message);
  }
  if (message.kind == GossipKind::kSyncState) {
    SendNewerState(from, message);
  }
  Dispatch(from, message);
}

void Membership::Dispatch(const SocketAddress& from,
                          const GossipMessage& message) {
  switch (message.kind) {
    case GossipKind::kPing:
      OnPing(from, message);
      break;
    case GossipKind::kPingRequest:
      OnPingRequest(from, message);
      break;
    case GossipKind::kAck:
      OnAck(message);
      break;
    case GossipKind::kNack:
      OnNack(message);
      break;
    case GossipKind::kNews:
      break;
    case GossipKind::kSyncRoot:
      OnSyncRoot(from, message);
      break;
    case GossipKind::kSyncDigests:
      OnSyncBuckets(from, message);
      break;
    case GossipKind::kSyncMembers:
      OnSyncMembers(from, message);
      break;
    case GossipKind::kSyncWant:
      OnSyncWant(from, message);
      break;
    case GossipKind::kSyncState:
      break;
  }
}

// --- Member state.

void Membership::Apply(const MemberUpdate& update, Via via) {
  const Member& reported = update.member;
  if (reported.name == self_.name) {
    OnUpdateOfSelf(update);
    return;
  }
  const MemberRecord* known = table_.Find(reported.name);
  if (known == nullptr) {
    AddUnknown(update);
    return;
  }
  const Member& current = known->member;
  const bool newer = reported.incarnation > current.incarnation ||
                     (reported.incarnation == current.incarnation &&
                      reported.state > current.state);
  if (newer || fault_ == MembershipFault::kAcceptOlder) {
    Accept(update, *known, via);
  } else if (reported.incarnation == current.incarnation &&
             reported.state == MemberState::kSuspect) {
    ConfirmSuspicion(reported.name, update.accuser);
  } else if (reported.incarnation == current.incarnation &&
             reported.state == current.state) {
    queue_.HeardAgain(reported.name, RetransmitLimit());
  }
}

void Membership::AddUnknown(const MemberUpdate& update) {
  if (!update.whole || !IsLive(update.member.state)) {
    return;
  }
  if (table_.size() >= kMaxMembers) {
    const auto evicted = table_.EvictGone();
    if (!evicted) {
      ++stats_.table_full;
      return;
    }
    queue_.Remove(*evicted);
    actions_.emplace_back(MemberForgotten{*evicted});
  }
  SetMember(update.member, update.accuser);
}

bool Membership::HeardRecently(const MemberRecord& record) const {
  return record.last_heard &&
         clock_ - *record.last_heard < ShortestSuspicion(table_.live());
}

void Membership::Accept(const MemberUpdate& update,
                        const MemberRecord& known,
                        Via via) {
  const Member& reported = update.member;
  Member next = update.whole ? reported : known.member;
  // A higher incarnation may come with changed fields that a partial update
  // does not carry. An early sync fetches the complete member.
  const bool missing_fields = !update.whole &&
                              reported.incarnation > next.incarnation &&
                              reported.state <= MemberState::kSuspect;
  if (missing_fields) {
    next_sync_ = std::min(next_sync_, clock_ + random_.UpTo(kQuickSync));
    return;
  }
  next.incarnation = reported.incarnation;
  next.state = reported.state;
  // A death report is disputed if it comes from a sync, since the two sides of
  // a healed partition each consider the other dead, or if the member was heard
  // recently. The member is then suspected or probed, so that it can refute.
  const bool disputed = via == Via::kSync || HeardRecently(known);
  if (reported.state == MemberState::kDead && disputed &&
      IsLive(known.member.state)) {
    if (reported.incarnation > known.member.incarnation) {
      next.state = MemberState::kSuspect;
      SetMember(next, update.accuser);
    } else {
      ProbeDisputed(known);
    }
    return;
  }
  SetMember(next, update.accuser);
}

void Membership::SetMember(const Member& member, std::uint32_t accuser) {
  const MemberRecord* known = table_.Find(member.name);
  const bool was_live = known != nullptr && IsLive(known->member.state);
  if (!table_.Put(member, clock_)) {
    ++stats_.table_full;
    return;
  }
  if (member.state == MemberState::kSuspect) {
    suspicions_.insert_or_assign(
        member.name,
        Suspicion(clock_, table_.live(), member.incarnation, accuser));
  } else {
    suspicions_.erase(member.name);
  }
  const bool is_neighbour = member.name != self_.name &&
                            member.failure_domain == self_.failure_domain;
  if (IsLive(member.state) && !was_live && is_neighbour) {
    InsertIntoProbeOrder(member.name);
  }
  if (queue_.empty()) {
    next_gossip_ = clock_ + random_.UpTo(kGossipInterval);
  }
  queue_.Push(member.name);
  actions_.emplace_back(MemberChanged{member});
}

void Membership::ConfirmSuspicion(const std::string& name,
                                  std::uint32_t accuser) {
  const auto suspicion = suspicions_.find(name);
  if (suspicion != suspicions_.end() && suspicion->second.Confirm(accuser)) {
    queue_.Push(name);
  }
}

// Records that the member did not answer `accuser`.
void Membership::Accuse(const std::string& name, std::uint32_t accuser) {
  const MemberRecord* record = table_.Find(name);
  if (record == nullptr || !IsLive(record->member.state)) {
    return;
  }
  if (suspicions_.contains(name)) {
    ConfirmSuspicion(name, accuser);
    return;
  }
  Member accused = record->member;
  if (accused.state == MemberState::kLeaving) {
    // Suspect does not override leaving, so this suspicion stays local.
    suspicions_.emplace(
        name, Suspicion(clock_, table_.live(), accused.incarnation, accuser));
    return;
  }
  accused.state = MemberState::kSuspect;
  SetMember(accused, accuser);
}

void Membership::ExpireSuspicions() {
  std::vector<std::string> expired;
  for (const auto& [name, suspicion] : suspicions_) {
    if (suspicion.deadline() <= clock_) {
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) {
    Member dead = table_.Find(name)->member;
    dead.state = MemberState::kDead;
    ++stats_.deaths;
    SetMember(dead, 0);
  }
}

void Membership::ForgetGone() {
  next_forget_ = clock_ + kForgetInterval;
  for (std::string& name : table_.ForgetGone(clock_ - kForgetGoneAfter)) {
    queue_.Remove(name);
    actions_.emplace_back(MemberForgotten{std::move(name)});
  }
}

// --- The local member.

void Membership::OnUpdateOfSelf(const MemberUpdate& update) {
  const Member& reported = update.member;
  if (name_yielded_) {
    OnUpdateOfYieldedName(update);
    return;
  }
  if (reported.incarnation < self_.incarnation) {
    return;
  }
  const bool from_other_process =
      update.whole && IsLive(reported.state) &&
      reported.control_address != self_.control_address;
  if (from_other_process) {
    OnForeignClaim(update);
    return;
  }
  Member with_own_state = reported;
  with_own_state.state = self_.state;
  const bool same_state = reported.state == self_.state;
  const bool same = update.whole ? with_own_state == self_ : true;
  if (reported.incarnation == self_.incarnation && same_state && same) {
    return;
  }
  if (self_.state == MemberState::kLeft) {
    return;
  }
  if (fault_ == MembershipFault::kNeverRefute ||
      (fault_ == MembershipFault::kKeepIncarnation &&
       reported.incarnation > self_.incarnation)) {
    return;
  }
  ++stats_.refutations;
  RaiseIncarnationAbove(reported.incarnation);
}

void Membership::RaiseIncarnationAbove(std::uint64_t incarnation) {
  const std::uint64_t before = self_.incarnation;
  self_.incarnation = std::max(self_.incarnation, incarnation) + 1;
  CheckInvariant(self_.incarnation > before, "own_incarnation_rises",
                 self_.name);
  PublishSelf();
}

// Handles a process at another address that uses this node's name. A process
// that started within `kClaimTime` takes the name over from its predecessor; an
// older one yields it.
void Membership::OnForeignClaim(const MemberUpdate& update) {
  ++foreign_claims_;
  if (foreign_claims_ > 1) {
    ReportConflict(update.member.control_address);
  }
  if (clock_ - start_ < kClaimTime) {
    RaiseIncarnationAbove(update.member.incarnation);
    return;
  }
  name_yielded_ = true;
  if (foreign_claims_ == 1) {
    ReportConflict(update.member.control_address);
  }
  SetMember(update.member, 0);
}

void Membership::OnUpdateOfYieldedName(const MemberUpdate& update) {
  const Member& holder = table_.Find(self_.name)->member;
  const Member& reported = update.member;
  if (reported.incarnation < holder.incarnation) {
    return;
  }
  if (!IsLive(reported.state)) {
    name_yielded_ = false;
    RaiseIncarnationAbove(reported.incarnation);
    return;
  }
  if (update.whole && reported.incarnation > holder.incarnation) {
    SetMember(reported, 0);
  }
}

void Membership::ReportConflict(const SocketAddress& other) {
  ++stats_.name_conflicts;
  actions_.emplace_back(NameConflict{other});
}

}  // namespace verbenastile
