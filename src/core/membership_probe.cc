// Probes of the membership protocol: direct and indirect, to the local and to
// other failure domains, and to members considered dead.
#include <algorithm>

#include "core/membership.h"
#include "core/membership_timing.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kMaxProbes = 64;

}  // namespace

void Membership::InsertIntoProbeOrder(const std::string& name) {
  if (std::find(probe_order_.begin(), probe_order_.end(), name) !=
      probe_order_.end()) {
    return;
  }
  const auto position = random_.Below(probe_order_.size() + 1);
  probe_order_.insert(
      probe_order_.begin() + static_cast<std::ptrdiff_t>(position), name);
}

// Returns the next live member of the local failure domain. Each member is
// returned once per round; the order is shuffled between rounds.
const MemberRecord* Membership::NextProbeTarget() {
  while (!probe_order_.empty()) {
    if (next_in_probe_order_ >= probe_order_.size()) {
      next_in_probe_order_ = 0;
      random_.Shuffle(probe_order_);
    }
    const MemberRecord* record =
        table_.Find(probe_order_[next_in_probe_order_]);
    if (record != nullptr && IsLive(record->member.state) &&
        record->member.failure_domain == self_.failure_domain) {
      ++next_in_probe_order_;
      return record;
    }
    probe_order_.erase(probe_order_.begin() +
                       static_cast<std::ptrdiff_t>(next_in_probe_order_));
  }
  return nullptr;
}

void Membership::StartDueProbes() {
  if (next_near_ <= clock_) {
    ProbeNear();
  }
  if (next_far_ <= clock_) {
    ProbeFar();
  }
  if (next_gone_ <= clock_) {
    ProbeGone();
  }
}

void Membership::ProbeNear() {
  next_near_ = clock_ + ScaledByHealth(kProbeInterval);
  if (const MemberRecord* record = NextProbeTarget()) {
    StartProbe(*record, ProbeKind::kNear);
  }
}

void Membership::ProbeFar() {
  const bool alone = table_.views().neighbours.empty();
  if (urgent_far_probes_ > 0 || alone) {
    next_far_ = clock_ + kProbeInterval;
    urgent_far_probes_ -= urgent_far_probes_ > 0 ? 1 : 0;
  } else {
    next_far_ = clock_ + random_.Jitter10Percent(kFarProbeInterval);
  }
  const auto& distant = table_.views().distant;
  if (!distant.empty()) {
    StartProbe(*distant[random_.Below(distant.size())], ProbeKind::kFar);
  }
}

// Probes a dead member with a probability that makes the fleet as a whole probe
// each dead member about once per interval, whatever the fleet's size.
void Membership::ProbeGone() {
  next_gone_ = clock_ + random_.Jitter10Percent(kGoneProbeInterval);
  std::vector<const MemberRecord*> dead;
  for (const MemberRecord* record : table_.views().gone) {
    if (record->member.state == MemberState::kDead) {
      dead.push_back(record);
    }
  }
  if (dead.empty() || fault_ == MembershipFault::kNeverProbeGone ||
      random_.Below(table_.live()) >= dead.size()) {
    return;
  }
  StartProbe(*dead[random_.Below(dead.size())], ProbeKind::kGone);
}

void Membership::StartProbe(const MemberRecord& record, ProbeKind kind) {
  const Member& member = record.member;
  const auto same = [&](const auto& probe) {
    return probe.second.name == member.name;
  };
  if (std::any_of(probes_.begin(), probes_.end(), same)) {
    return;
  }
  GossipMessage ping;
  ping.kind = GossipKind::kPing;
  ping.sequence = ++sequence_;
  ping.target = member.name;
  if (kind == ProbeKind::kDisputed) {
    MemberUpdate death_report;
    death_report.member = member;
    death_report.member.state = MemberState::kDead;
    ping.updates.push_back(std::move(death_report));
  } else {
    AddUpdateAbout(member.name, member.incarnation, ping);
  }
  if (kind != ProbeKind::kGone) {
    AddQueued(ping);
  }
  Probe probe;
  probe.kind = kind;
  probe.name = member.name;
  probe.address = member.control_address;
  probe.helpers_due = clock_ + ScaledByHealth(kProbeTimeout);
  probe.deadline = clock_ + ScaledByHealth(kProbeInterval);
  probe.helpers_asked = kind == ProbeKind::kGone;
  if (Send(probe.address, std::move(ping), Priority::kAnswer)) {
    probes_.emplace(sequence_, std::move(probe));
  }
}

// Probes a member that others report as dead. The ping carries that report, so
// that the member can refute it; without an ack it is suspected here too.
// Members skipped by the limits are reported again by the next sync.
void Membership::ProbeDisputed(const MemberRecord& record) {
  if (probes_.size() < kMaxProbes &&
      !suspicions_.contains(record.member.name)) {
    StartProbe(record, ProbeKind::kDisputed);
  }
}

void Membership::ExpireProbes() {
  std::vector<Probe> failed;
  for (auto& [sequence, probe] : probes_) {
    if (!probe.helpers_asked && probe.helpers_due <= clock_) {
      AskHelpers(sequence, probe);
    }
    if (probe.deadline <= clock_) {
      failed.push_back(probe);
    }
  }
  std::erase_if(probes_, [&](const auto& entry) {
    return entry.second.deadline <= clock_;
  });
  for (const Probe& probe : failed) {
    OnProbeFailed(probe);
  }
}

void Membership::AskHelpers(std::uint32_t sequence, Probe& probe) {
  probe.helpers_asked = true;
  const MemberRecord* target = table_.Find(probe.name);
  if (target == nullptr) {
    return;
  }
  std::vector<const MemberRecord*> helpers = table_.views().neighbours;
  if (target->member.failure_domain != self_.failure_domain) {
    for (const MemberRecord* record : table_.views().distant) {
      if (record->member.failure_domain == target->member.failure_domain) {
        helpers.push_back(record);
      }
    }
  }
  std::erase(helpers, target);
  random_.Shuffle(helpers);
  helpers.resize(std::min(helpers.size(), kHelpers));
  for (const MemberRecord* helper : helpers) {
    GossipMessage request;
    request.kind = GossipKind::kPingRequest;
    request.sequence = sequence;
    request.target = probe.name;
    request.target_address = probe.address;
    Send(helper->member.control_address, std::move(request), Priority::kAnswer);
  }
  probe.nacks_expected = static_cast<unsigned>(helpers.size());
}

void Membership::OnProbeFailed(const Probe& probe) {
  if (probe.kind == ProbeKind::kGone) {
    return;
  }
  // Missing nacks from helpers suggest that the fault is on this node.
  const bool nacks_missing =
      probe.nacks_expected == 0 || probe.nacks < probe.nacks_expected;
  if (probe.kind == ProbeKind::kNear && nacks_missing) {
    AddHealth(1);
  }
  if (probe.kind == ProbeKind::kFar) {
    urgent_far_probes_ = kUrgentFarProbes;
    next_far_ = std::min(next_far_, clock_ + kProbeInterval);
  }
  const MemberRecord* record = table_.Find(probe.name);
  if (record != nullptr && record->member.control_address == probe.address) {
    ++stats_.suspicions;
    Accuse(probe.name, AccuserTag(self_.name));
  }
}

void Membership::ExpireRelays() {
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    if (relay->second.deadline > clock_) {
      ++relay;
      continue;
    }
    GossipMessage nack;
    nack.kind = GossipKind::kNack;
    nack.sequence = relay->second.asker_sequence;
    nack.target = relay->second.target;
    Send(relay->second.asker, std::move(nack), Priority::kAnswer);
    relay = relays_.erase(relay);
  }
}

void Membership::OnPing(const SocketAddress& from,
                        const GossipMessage& message) {
  const bool addressed_to_self =
      message.target.empty() || message.target == self_.name;
  if (!addressed_to_self || name_yielded_ ||
      self_.state == MemberState::kLeft) {
    return;
  }
  GossipMessage ack;
  ack.kind = GossipKind::kAck;
  ack.sequence = message.sequence;
  ack.target = self_.name;
  const bool carries_update_of_self =
      std::any_of(message.updates.begin(), message.updates.end(),
                  [&](const MemberUpdate& update) {
                    return update.member.name == self_.name;
                  });
  if (carries_update_of_self) {
    ack.updates.push_back(UpdateOf(self_, true));
  }
  AddUpdateAbout(message.sender, message.incarnation, ack);
  AddQueued(ack);
  Send(from, std::move(ack), Priority::kAnswer);
}

void Membership::OnPingRequest(const SocketAddress& from,
                               const GossipMessage& message) {
  if (relays_.size() >= kMaxRelays) {
    return;
  }
  GossipMessage ping;
  ping.kind = GossipKind::kPing;
  ping.sequence = ++sequence_;
  ping.target = message.target;
  if (!Send(message.target_address, std::move(ping), Priority::kAnswer)) {
    return;
  }
  Relay relay;
  relay.asker = from;
  relay.asker_sequence = message.sequence;
  relay.target = message.target;
  relay.deadline = clock_ + kProbeTimeout;
  relays_.emplace(sequence_, std::move(relay));
}

void Membership::OnAck(const GossipMessage& message) {
  const auto relay = relays_.find(message.sequence);
  if (relay != relays_.end() && relay->second.target == message.target) {
    GossipMessage ack;
    ack.kind = GossipKind::kAck;
    ack.sequence = relay->second.asker_sequence;
    ack.target = message.target;
    Send(relay->second.asker, std::move(ack), Priority::kAnswer);
    relays_.erase(relay);
    return;
  }
  const auto probe = probes_.find(message.sequence);
  if (probe == probes_.end() || probe->second.name != message.target) {
    return;
  }
  AddHealth(-1);
  if (probe->second.kind == ProbeKind::kGone) {
    SyncSoonWith(probe->second.address);
  }
  const MemberRecord* record = table_.Find(message.target);
  if (record != nullptr && record->member.state == MemberState::kLeaving) {
    suspicions_.erase(message.target);
  }
  probes_.erase(probe);
}

void Membership::OnNack(const GossipMessage& message) {
  const auto probe = probes_.find(message.sequence);
  if (probe != probes_.end() && probe->second.name == message.target) {
    ++probe->second.nacks;
  }
}

}  // namespace verbenastile
