// Decentralized fleet membership and failure detection.
//
// Implements SWIM with the Lifeguard extensions: direct and indirect probes,
// suspicion timeouts that shorten with each independent accuser, refutation by
// incarnation number, and local health awareness. Most probes stay within the
// local failure domain. Updates are piggybacked on probes and sent in gossip
// rounds; anti-entropy by digest comparison repairs what gossip missed.
// Performs no I/O: takes events and the current time, returns actions.
#ifndef CORE_MEMBERSHIP_H_
#define CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "core/broadcast_queue.h"
#include "core/byte_budget.h"
#include "core/gossip.h"
#include "core/member_table.h"
#include "core/suspicion.h"

namespace verbenastile {

// Sustained rate and burst of sent bytes. The burst is what a node's control
// traffic limit of 4 KB/s allows in one minute.
constexpr std::int64_t kMembershipBytesPerSecond = 2'000;
constexpr std::int64_t kMembershipBurstBytes = 240'000;
// How far high-priority messages (`Priority::kAnswer`) may overdraw the budget.
constexpr std::int64_t kMembershipReserveBytes = 16'384;
// A tick later than this is treated as a pause of the process and lowers local
// health.
constexpr Duration kLateTickTolerance = std::chrono::milliseconds(500);
// How long dead members are kept in the table.
constexpr Duration kForgetGoneAfter = std::chrono::hours(6);

// Requests that `message` be sent to `to`.
struct SendGossip {
  SocketAddress to;
  GossipMessage message;
};
// `member` was added or changed.
struct MemberChanged {
  Member member;
};
// A member that is no longer live was removed from the table, because of its
// age or to make room.
struct MemberForgotten {
  std::string name;
};
// No member has been heard from: seed addresses are needed to join. Repeated
// while the node is isolated.
struct NeedSeeds {};
// Another live process uses this node's name.
struct NameConflict {
  SocketAddress other;
};

using MembershipAction = std::variant<SendGossip,
                                      MemberChanged,
                                      MemberForgotten,
                                      NeedSeeds,
                                      NameConflict>;

// Deliberate protocol faults, injected by runs that must detect them.
enum class MembershipFault {
  kNone,
  kNeverRefute,
  kIgnorePause,
  kNeverProbeGone,
  kKeepIncarnation,  // A restarted node does not exceed its old incarnation.
  kIgnoreDatagramBound,
  kFlood,  // Sends state to all neighbours; ignores the budget.
  kAcceptOlder,
  kLowerOwnIncarnation,
};

struct MembershipInit {
  Member self;
  std::uint32_t cluster = 0;
  std::uint64_t seed = 0;
  MembershipFault fault = MembershipFault::kNone;
};

struct MembershipStats {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;  // Upper bounds of the encoded sizes.
  std::uint64_t refutations = 0;
  std::uint64_t suspicions = 0;  // Raised by local probes that failed.
  std::uint64_t deaths = 0;      // Suspicions that expired locally.
  std::uint64_t late_ticks = 0;
  std::uint64_t name_conflicts = 0;
  std::uint64_t over_budget = 0;  // Messages dropped by the budget.
  std::uint64_t table_full = 0;
  unsigned local_health = 0;  // 0 is healthy; each point lengthens timeouts.
};

class Membership {
 public:
  Membership(const MembershipInit& init, Time now);

  // Updates the local member's state and raises its incarnation.
  void Announce(Time now, MemberState state, bool serving);
  // Must be called at `next_wake()`.
  void OnTick(Time now);
  void OnMessage(Time now,
                 const SocketAddress& from,
                 const GossipMessage& message);
  // Starts a sync with some of `seeds` to join the fleet.
  void OnSeeds(Time now, std::span<const SocketAddress> seeds);

  // Returns the actions queued since the last call, in order.
  std::vector<MembershipAction> TakeActions();

  Time next_wake() const;
  const Member& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  const MembershipStats& stats() const { return stats_; }
  // Whether no member has been heard from recently.
  bool isolated() const;

 private:
  // kDisputed: other members report as dead a member that is live locally.
  enum class ProbeKind { kNear, kFar, kGone, kDisputed };
  enum class Via { kGossip, kSync };
  enum class Priority { kAnswer, kNews };

  struct Probe {
    ProbeKind kind = ProbeKind::kNear;
    std::string name;
    SocketAddress address;
    Time helpers_due;  // Indirect probes start without an ack.
    Time deadline;
    bool helpers_asked = false;
    unsigned nacks_expected = 0;
    unsigned nacks = 0;
  };
  // An indirect probe performed for another member.
  struct Relay {
    SocketAddress asker;
    std::uint32_t asker_sequence = 0;
    std::string target;
    Time deadline;
  };

  // Time and health.
  void Advance(Time now);
  void OnWake();
  Time NextDue() const;
  Duration ScaledByHealth(Duration duration) const;
  void AddHealth(int points);

  // Member state.
  void Apply(const MemberUpdate& update, Via via);
  void Accept(const MemberUpdate& update, const MemberRecord& known, Via via);
  void AddUnknown(const MemberUpdate& update);
  void SetMember(const Member& member, std::uint32_t accuser);
  void ConfirmSuspicion(const std::string& name, std::uint32_t accuser);
  void Accuse(const std::string& name, std::uint32_t accuser);
  void ExpireSuspicions();
  void ForgetGone();
  bool HeardRecently(const MemberRecord& record) const;

  // The local member.
  void OnUpdateOfSelf(const MemberUpdate& update);
  void OnForeignClaim(const MemberUpdate& update);
  void OnUpdateOfYieldedName(const MemberUpdate& update);
  void RaiseIncarnationAbove(std::uint64_t incarnation);
  void PublishSelf();
  void ReportConflict(const SocketAddress& other);

  // Probes.
  void StartDueProbes();
  void ProbeNear();
  void ProbeFar();
  void ProbeGone();
  void StartProbe(const MemberRecord& record, ProbeKind kind);
  void ProbeDisputed(const MemberRecord& record);
  void ExpireProbes();
  void AskHelpers(std::uint32_t sequence, Probe& probe);
  void OnProbeFailed(const Probe& probe);
  void ExpireRelays();
  void OnPing(const SocketAddress& from, const GossipMessage& message);
  void OnPingRequest(const SocketAddress& from, const GossipMessage& message);
  void OnAck(const GossipMessage& message);
  void OnNack(const GossipMessage& message);
  const MemberRecord* NextProbeTarget();
  void InsertIntoProbeOrder(const std::string& name);

  // Gossip and anti-entropy.
  void GossipRound(std::size_t fanout);
  void StartSync();
  void SyncSoonWith(const SocketAddress& peer);
  const MemberRecord* RandomLive(std::uint64_t far_one_in);
  void BroadcastSelf();
  void Flood();
  void SendSyncRoot(const SocketAddress& to);
  void OnSyncRoot(const SocketAddress& from, const GossipMessage& message);
  void OnSyncBuckets(const SocketAddress& from, const GossipMessage& message);
  void OnSyncMembers(const SocketAddress& from, const GossipMessage& message);
  // Sends the sender the members for which its state is older.
  void SendNewerState(const SocketAddress& from, const GossipMessage& message);
  void OnSyncWant(const SocketAddress& from, const GossipMessage& message);
  void SendMembers(const SocketAddress& to, std::uint64_t buckets);
  // Sends `records` until the budget is exhausted.
  void SendState(const SocketAddress& to,
                 std::span<const MemberRecord* const> records);
  bool NoteSender(const SocketAddress& from, const GossipMessage& message);
  void SyncWithUnknownSender(const SocketAddress& from,
                             const GossipMessage& message);
  void Dispatch(const SocketAddress& from, const GossipMessage& message);
  // `whole` requests a complete update for live members, also in states whose
  // updates carry only name, incarnation and state.
  MemberUpdate UpdateOf(const Member& member, bool whole) const;
  // Adds the local view of `name` if it is suspect or not live, or if its
  // incarnation is higher than `incarnation`.
  void AddUpdateAbout(std::string_view name,
                      std::uint64_t incarnation,
                      GossipMessage& message) const;
  void AddQueued(GossipMessage& message);
  unsigned RetransmitLimit() const;
  // Fills in the cluster tag and the sender.
  void SetSender(GossipMessage& message) const;
  bool Send(const SocketAddress& to, GossipMessage message, Priority priority);

  Member self_;
  std::uint32_t cluster_;
  MembershipFault fault_;
  Random random_;
  MemberTable table_;
  BroadcastQueue queue_;
  std::map<std::string, Suspicion, std::less<>> suspicions_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, Relay> relays_;
  std::vector<std::string>
      probe_order_;  // Probe order within the local failure domain.
  std::size_t next_in_probe_order_ = 0;
  std::vector<MembershipAction> actions_;
  MembershipStats stats_;
  ByteBudget budget_;

  // Protocol time. It does not advance while the process is paused.
  Time clock_;
  Time caller_time_;  // The caller's time that corresponds to `clock_`.
  Time start_;
  Time last_contact_;
  Time next_near_;
  Time next_far_;
  Time next_gone_;
  Time next_gossip_;
  Time next_sync_;
  Time next_unknown_sender_sync_;
  Time next_seeds_;
  Time next_forget_;
  unsigned urgent_far_probes_ = 0;  // Remaining accelerated far probes.
  unsigned quick_syncs_ = 0;        // Consecutive syncs with a difference.
  bool quick_sync_due_ = false;
  std::optional<SocketAddress> next_sync_peer_;  // Peer of the next sync.
  std::uint32_t sequence_ = 0;
  std::uint64_t foreign_claims_ = 0;
  bool name_yielded_ = false;  // Another process now holds the name.
};

}  // namespace verbenastile

#endif  // CORE_MEMBERSHIP_H_
