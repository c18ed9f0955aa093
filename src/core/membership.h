// Membership of the fleet: who lives, found out by the nodes themselves.
//
// A SWIM protocol with the additions of Lifeguard: direct and indirect probes,
// suspicion that accusers shorten, refutation by incarnation, local health.
// Probes stay mostly inside the own failure domain. News rides on probes and
// on short rounds of gossip; what gossip missed is mended by comparing digests.
// Pure: events and the time in, actions out.
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

// Sent bytes: on the long run, and at once. At once may be sent what 4 KB/s,
// the bound of a node's control traffic, allow in a minute.
constexpr std::int64_t kMembershipBytesPerSecond = 2'000;
constexpr std::int64_t kMembershipBurstBytes = 240'000;
// How far answers to probes may overdraw the budget.
constexpr std::int64_t kMembershipReserveBytes = 16'384;
// A tick that comes later than this makes the node doubt itself.
constexpr Duration kLateTickTolerance = std::chrono::milliseconds(500);
// How long the dead are remembered.
constexpr Duration kForgetGoneAfter = std::chrono::hours(6);

// Send `message` to `to`.
struct SendGossip {
  SocketAddress to;
  GossipMessage message;
};
// `member` is new or has changed.
struct MemberChanged {
  Member member;
};
// The member is dead for so long that it is no longer remembered.
struct MemberForgotten {
  std::string name;
};
// Nobody answers: addresses to join by are needed. Repeated while it lasts.
struct NeedSeeds {};
// Another live process claims the own name.
struct NameConflict {
  SocketAddress other;
};

using MembershipAction = std::variant<SendGossip,
                                      MemberChanged,
                                      MemberForgotten,
                                      NeedSeeds,
                                      NameConflict>;

// Deliberately broken policies, for runs that must catch them.
enum class MembershipFault {
  kNone,
  kNeverRefute,
  kIgnorePause,
  kNeverProbeGone,
  kKeepIncarnation,  // A restarted node does not go above what is remembered.
  kIgnoreDatagramBound,
  kFlood,  // Sends all it knows to all, whatever the budget.
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
  std::uint64_t suspicions = 0;  // Begun by an own probe.
  std::uint64_t deaths = 0;      // Suspicions that ran out here.
  std::uint64_t late_ticks = 0;
  std::uint64_t name_conflicts = 0;
  std::uint64_t over_budget = 0;  // Messages that were not sent.
  std::uint64_t table_full = 0;
  unsigned local_health = 0;  // 0: good; each point stretches timeouts.
};

class Membership {
 public:
  Membership(const MembershipInit& init, Time now);

  // What the own member says of itself changes; its incarnation is raised.
  void Announce(Time now, MemberState state, bool serving);
  // Call it at `next_wake()`.
  void OnTick(Time now);
  void OnMessage(Time now,
                 const SocketAddress& from,
                 const GossipMessage& message);
  // Asks some of `seeds` to be let in.
  void OnSeeds(Time now, std::span<const SocketAddress> seeds);

  // What is to be done since the last call, in order.
  std::vector<MembershipAction> TakeActions();

  Time next_wake() const;
  const Member& self() const { return self_; }
  const MemberTable& table() const { return table_; }
  const MembershipStats& stats() const { return stats_; }
  // Whether nobody has answered for a while.
  bool isolated() const;

 private:
  // kDoubt: others hold a member dead that is not dead here.
  enum class ProbeKind { kNear, kFar, kGone, kDoubt };
  enum class Via { kGossip, kSync };
  enum class Priority { kAnswer, kNews };

  struct Probe {
    ProbeKind kind = ProbeKind::kNear;
    std::string name;
    SocketAddress address;
    Time helpers_due;  // Ask helpers unless there is an answer.
    Time deadline;
    bool helpers_asked = false;
    unsigned nacks_expected = 0;
    unsigned nacks = 0;
  };
  // A ping in another's place.
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
  Duration Stretched(Duration duration) const;
  void AddHealth(int points);

  // What is known of members.
  void Apply(const MemberUpdate& update, Via via);
  void Accept(const MemberUpdate& update, const MemberRecord& known, Via via);
  void AddUnknown(const MemberUpdate& update);
  void SetMember(const Member& member, std::uint32_t accuser);
  void ConfirmSuspicion(const std::string& name, std::uint32_t accuser);
  void Accuse(const std::string& name, std::uint32_t accuser);
  void ExpireSuspicions();
  void ForgetGone();
  bool HeardRecently(const MemberRecord& record) const;

  // The own member.
  void OnNewsOfSelf(const MemberUpdate& update);
  void OnForeignClaim(const MemberUpdate& update);
  void OnNewsWhileYielded(const MemberUpdate& update);
  void GoAbove(std::uint64_t incarnation);
  void PublishSelf();
  void ReportConflict(const SocketAddress& other);

  // Probes.
  void StartDueProbes();
  void ProbeNear();
  void ProbeFar();
  void ProbeGone();
  void StartProbe(const MemberRecord& record, ProbeKind kind);
  void ProbeDoubted(const MemberRecord& record);
  void ExpireProbes();
  void AskHelpers(std::uint32_t sequence, Probe& probe);
  void OnProbeFailed(const Probe& probe);
  void ExpireRelays();
  void OnPing(const SocketAddress& from, const GossipMessage& message);
  void OnPingRequest(const SocketAddress& from, const GossipMessage& message);
  void OnAck(const GossipMessage& message);
  void OnNack(const GossipMessage& message);
  const MemberRecord* NextNeighbour();
  void InsertNeighbour(const std::string& name);

  // Gossip and anti-entropy.
  void GossipRound(std::size_t fanout);
  void StartSync();
  void SyncSoonWith(const SocketAddress& peer);
  const MemberRecord* RandomLive(std::uint64_t far_one_in);
  void TellAll();
  void Flood();
  void SendSyncRoot(const SocketAddress& to);
  void OnSyncRoot(const SocketAddress& from, const GossipMessage& message);
  void OnSyncBuckets(const SocketAddress& from, const GossipMessage& message);
  void OnSyncMembers(const SocketAddress& from, const GossipMessage& message);
  // Tells the sender where its state is behind.
  void Correct(const SocketAddress& from, const GossipMessage& message);
  void OnSyncWant(const SocketAddress& from, const GossipMessage& message);
  void SendMembers(const SocketAddress& to, std::uint64_t buckets);
  // Sends `records` as far as the budget goes.
  void SendState(const SocketAddress& to,
                 std::span<const MemberRecord* const> records);
  bool NoteSender(const SocketAddress& from, const GossipMessage& message);
  void MeetStranger(const SocketAddress& from, const GossipMessage& message);
  void Dispatch(const SocketAddress& from, const GossipMessage& message);
  // `whole`: also for states that need the name alone.
  MemberUpdate UpdateOf(const Member& member, bool whole) const;
  // Adds what is said of `name`, unless it is well and itself says
  // `incarnation`.
  void AddNewsOf(std::string_view name,
                 std::uint64_t incarnation,
                 GossipMessage& message) const;
  void AddQueued(GossipMessage& message);
  unsigned RetransmitLimit() const;
  // Puts in whom the message comes from.
  void Sign(GossipMessage& message) const;
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
  std::vector<std::string> neighbours_;  // The order of probes.
  std::size_t neighbour_ = 0;
  std::vector<MembershipAction> actions_;
  MembershipStats stats_;
  ByteBudget budget_;

  // The protocol's own time: it stands still while the process is paused.
  Time clock_;
  Time real_;  // The outer time of `clock_`.
  Time start_;
  Time last_contact_;
  Time next_near_;
  Time next_far_;
  Time next_gone_;
  Time next_gossip_;
  Time next_sync_;
  Time next_stranger_;
  Time next_seeds_;
  Time next_forget_;
  unsigned far_alarm_ = 0;    // Hurried probes of other domains to come.
  unsigned quick_syncs_ = 0;  // Syncs in a row that found a difference.
  bool quick_sync_due_ = false;
  std::optional<SocketAddress> sync_with_;  // The next sync's peer.
  std::uint32_t sequence_ = 0;
  std::uint64_t foreign_claims_ = 0;
  bool yielded_ = false;  // A later process of the own name has it.
};

}  // namespace verbenastile

#endif  // CORE_MEMBERSHIP_H_
