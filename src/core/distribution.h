// How accepted generations reach this node and leave it for others: a few
// readers of the platform in each failure domain, a fan-out tree below them,
// and random exchanges that find whatever the tree missed.
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

// Send `message` to the peer at `to`.
struct SendAction {
  SocketAddress to;
  DistributionMessage message;
};

// The peer broke the protocol; close the connection to it.
struct CloseAction {
  SocketAddress peer;
  std::string reason;
};

// Begin or stop to follow the platform.
struct FollowAction {
  bool follow = false;
};

// Read the content of the last head that the platform gave.
struct FetchAction {};

// A generation was offered to the applier, for the log.
struct OfferedAction {
  ApplyOutcome outcome = ApplyOutcome::kUnchanged;
  Version offered;
};

// Write this status of the failure domain to the platform.
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
  std::uint64_t assembled = 0;   // From item digests and missing items.
  std::uint64_t duplicates = 0;  // Content that was in force already.
  std::uint64_t stale = 0;       // Content older than what is in force.
  std::uint64_t forked = 0;      // Other content for the one in force.
  std::uint64_t bad_content = 0;
  std::uint64_t unknown_base = 0;
  std::uint64_t over_budget = 0;  // Messages not sent.
  std::uint64_t pulls_failed = 0;
  std::uint64_t sent_bytes = 0;  // As `WireBytes` counts.
};

// Pure: events and the time come in, actions are taken out. Only the applier
// decides what comes into force.
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
  // `peer` cannot be reached.
  void OnPeerFailed(Time now, const SocketAddress& peer);
  // The platform's head names `version`; the default: it has none.
  void OnPlatformHead(Time now, const Version& version);
  void OnPlatformSnapshot(Time now, SnapshotPointer snapshot);
  void OnStatusWritten(Time now, bool written);

  // What to do now, in order; empty afterwards.
  std::vector<DistributionAction> TakeActions();

  // When `OnTime` has something to do at the latest.
  Time next_time() const;

  // Whether the platform names an older generation than the one in force, or
  // other content for it.
  bool other_history() const { return other_history_; }
  bool following() const { return turn_.following(); }
  // One line for operators while nothing is in force.
  std::string waiting_for() const;
  const TreePlace& place() const { return place_; }
  const DistributionStats& stats() const { return stats_; }
  // What is known here of the own failure domain: all of it at its writer.
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

  bool IsNews(const Version& version);
  void Pull(Time now, const SocketAddress& from, const Version& wanted);
  void Ask(Time now, ContentPull pull);
  void EndPull(Time now, bool failed);
  void OnBadContent(Time now, const PeerIdentity& peer, const Version& version);
  std::optional<Snapshot> Assemble(const Snapshot* base, const Delta& delta);

  void OnContent(Time now, SnapshotPointer snapshot);
  void Offer(Time now, SnapshotPointer snapshot);
  void Spread(Time now, const SnapshotPointer& previous);
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
  std::optional<ByteBudget> node_budget_;  // From the start on.
  std::map<std::pair<std::string, std::uint16_t>, ByteBudget> peer_budgets_;
  std::vector<DistributionAction> actions_;
  DistributionStats stats_;

  TreePlace place_;
  std::optional<std::uint64_t> place_revision_;
  std::optional<ContentPull> pull_;
  SnapshotPointer staged_;  // Content that a starting node holds back.
  std::optional<Version> refused_;
  std::optional<Version> platform_version_;
  std::optional<Time> fetch_since_;  // While a fetch is under way.
  Version fetching_;                 // By the last fetch.
  Time last_fetch_;
  std::optional<Time> fetch_not_before_;  // While nothing is in force.
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
