// Distributes accepted generations between nodes. A few nodes of each failure
// domain read the platform, a fan-out tree passes generations on to the others,
// and periodic exchanges with random peers repair whatever the tree missed.
#ifndef CORE_DISTRIBUTION_H_
#define CORE_DISTRIBUTION_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "core/byte_budget.h"
#include "core/config_apply.h"
#include "core/content_pull.h"
#include "core/distribution_init.h"
#include "core/distribution_message.h"
#include "core/domain_reports.h"
#include "core/fan_out.h"
#include "core/peer_contacts.h"
#include "core/reader_turn.h"
#include "core/snapshot_history.h"
#include "core/start_gate.h"

namespace verbenastile {

// Sends `message` to the peer at `to`.
struct SendAction {
  SocketAddress to;
  DistributionMessage message;
};

// Closes the connection to a peer that violated the protocol.
struct CloseAction {
  SocketAddress peer;
  std::string reason;
};

// Starts or stops following the platform.
struct FollowAction {
  bool follow = false;
};

// Reads the content of the platform's most recent head.
struct FetchAction {};

// Reports, for the log, that a generation was offered to the applier or that
// the platform's head was rejected as older or forked.
struct OfferedAction {
  ApplyOutcome outcome = ApplyOutcome::kUnchanged;
  Version offered;
};

// Writes the failure domain's status to the platform.
struct WriteStatusAction {
  DomainView view;
};

using DistributionAction = std::variant<SendAction,
                                        CloseAction,
                                        FollowAction,
                                        FetchAction,
                                        OfferedAction,
                                        WriteStatusAction>;

struct DistributionStats {
  std::uint64_t deltas_applied = 0;
  std::uint64_t wholes_applied = 0;
  std::uint64_t assembled = 0;   // From item digests and fetched items.
  std::uint64_t duplicates = 0;  // Content that is already in force.
  std::uint64_t stale = 0;       // Older than the generation in force.
  std::uint64_t forked = 0;      // Same generation, different content.
  std::uint64_t bad_content = 0;
  std::uint64_t unknown_base = 0;
  std::uint64_t over_budget = 0;  // Messages dropped.
  std::uint64_t pulls_failed = 0;
  std::uint64_t sent_bytes = 0;  // As estimated by `WireBytes`.
};

// A state machine without I/O or a clock of its own: callers pass in events and
// the time and carry out the actions that it returns. Only the applier decides
// which generation is put into force.
class Distribution {
 public:
  // The pointers must outlive the distribution.
  Distribution(const DistributionInit& init,
               const Member& self,
               const MemberDirectory* directory,
               ConfigApplier* applier);

  // Events.
  void Start(Time now);
  void OnTime(Time now);
  void OnMessage(Time now,
                 const PeerIdentity& peer,
                 DistributionMessage message);
  // Reports that `peer` is unreachable.
  void OnPeerFailed(Time now, const SocketAddress& peer);
  // The platform's head names `version`, which is a default-constructed Version
  // if the platform has no head.
  void OnPlatformHead(Time now, const Version& version);
  void OnPlatformSnapshot(Time now, SnapshotPointer snapshot);
  void OnStatusWritten(Time now, bool written);

  // Returns the pending actions in order and clears them.
  std::vector<DistributionAction> TakeActions();

  // The time by which `OnTime` must be called next.
  Time next_time() const;

  // Whether the platform names a generation older than the one in force, or
  // different content for the same generation.
  bool other_history() const { return other_history_; }
  bool following() const { return turn_.following(); }
  // One line that tells operators why no generation is in force yet; empty once
  // one is.
  std::string waiting_for() const;
  const TreePlace& place() const { return place_; }
  const DistributionStats& stats() const { return stats_; }
  // The status of this node's failure domain as known here. Only the domain's
  // writer has the status of all its nodes.
  FleetView fleet(Time now) const;

 private:
  struct Handler;

  bool empty() const { return applier_->generation() == 0; }
  bool relays() const { return Relays(init_.policy); }
  Version held() const;

  void Send(Time now, const SocketAddress& to, DistributionMessage message);
  void CheckBudget(Time now, std::size_t bytes);

  void OnSummary(Time now, const PeerIdentity& peer, const SummaryMessage& m);
  void OnAsk(Time now, const PeerIdentity& peer, const AskMessage& m);
  void OnDelta(Time now, const PeerIdentity& peer, const Delta& delta);
  void OnDigests(Time now, const PeerIdentity& peer, DigestsMessage m);
  void OnItemsAsk(Time now, const PeerIdentity& peer, const ItemsAskMessage& m);
  void OnItems(Time now, const PeerIdentity& peer, const ItemsMessage& m);

  void SendContacts(Time now, const SocketAddress& to);

  bool IsWanted(const Version& version);
  void Pull(Time now, const SocketAddress& from, const Version& wanted);
  void Ask(Time now, ContentPull pull);
  void EndPull(Time now, bool failed);
  void OnBadContent(Time now, const PeerIdentity& peer, const Version& version);
  std::optional<Snapshot> Assemble(const Snapshot* base, const Delta& delta);

  void OnContent(Time now, SnapshotPointer snapshot);
  void Offer(Time now, SnapshotPointer snapshot);
  void PushToPeers(Time now, const SnapshotPointer& previous);
  void TryStart(Time now);
  void MaybeFetch(Time now);

  void UpdatePlace(Time now);
  void UpdateTurn(Time now);
  void Exchange(Time now);
  void ScheduleReport(Time now, Duration delay);
  void Report(Time now);
  void WriteStatus(Time now);
  DomainView OwnView() const;

  DistributionInit init_;
  Member self_;
  const MemberDirectory* directory_;
  ConfigApplier* applier_;
  Random random_;
  PeerContacts contacts_;
  ReaderTurn turn_;
  StartGate gate_;
  SnapshotHistory history_;
  DomainReports reports_;
  std::optional<ByteBudget> node_budget_;  // Set by `Start`.
  std::map<std::pair<std::string, std::uint16_t>, ByteBudget> peer_budgets_;
  std::vector<DistributionAction> actions_;
  DistributionStats stats_;

  TreePlace place_;
  std::optional<std::uint64_t> place_revision_;
  std::optional<ContentPull> pull_;
  SnapshotPointer staged_;  // Awaiting the start gate's decision.
  std::optional<Version> refused_;
  std::optional<Version> platform_version_;
  std::optional<Time> fetch_since_;  // Set during a fetch.
  Version fetching_;                 // Version of the last fetch.
  Time last_fetch_;
  std::optional<Time> fetch_not_before_;  // Before the first generation.
  bool other_history_ = false;

  Time started_;
  std::size_t largest_message_ = 0;
  Time next_exchange_;
  Time next_check_;
  Time next_report_;
  Time last_report_;
  std::optional<DomainView> last_view_;
  Time next_status_;
  std::optional<DomainView> written_view_;
  std::optional<DomainView> writing_view_;
};

}  // namespace verbenastile

#endif  // CORE_DISTRIBUTION_H_
