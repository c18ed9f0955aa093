// The sidecar process that runs next to one upstream instance. Connects the
// inbound and the outbound proxy with the platform's store, with the control
// calls of the instance, and with the links to other sidecars.
#ifndef MESH_SIDECAR_H_
#define MESH_SIDECAR_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "config/sidecar_settings.h"
#include "core/config_apply.h"
#include "core/configuration_archive.h"
#include "core/configuration_source.h"
#include "core/crash_suspects.h"
#include "core/instance_tracker.h"
#include "core/join_requests.h"
#include "core/leaving_confirmations.h"
#include "core/member_registry.h"
#include "core/node_charts.h"
#include "core/state_chart.h"
#include "io/http1_server.h"
#include "io/watched_file.h"
#include "mesh/inbound_proxy.h"
#include "mesh/link_hub.h"
#include "mesh/outbound_proxy.h"
#include "mesh/paced_sender.h"
#include "mesh/quota_service.h"
#include "mesh/record_publisher.h"
#include "mesh/rollout_service.h"
#include "mesh/store_follower.h"
#include "platform/bounds.h"
#include "platform/control_call.h"
#include "platform/store_client.h"

namespace verbenastile {

class Sidecar {
 public:
  // `path` is the file that `settings` were read from. It is read again when it
  // changes.
  Sidecar(const SidecarSettings& settings,
          const platform::Bounds& bounds,
          NodeCharts charts,
          std::string path);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Runs until a graceful shutdown has completed. Returns the exit code: 0, or
  // 1 if a listening address cannot be opened.
  int Run();

 private:
  // The source of what the platform's store reported, in log lines.
  static constexpr std::string_view kStoreSource = "store";

  LinkPacerOptions PacerInit() const;
  InboundProxy::Init InboundProxyInit();
  LinkHub::Init HubInit();
  std::unique_ptr<RolloutService> MakeRollouts();
  QuotaService::Init QuotasInit();
  OutboundProxy::Init OutboundProxyInit();
  StoreFollower::Init FollowerInit(std::string_view kind);
  StoreFollower::Init ConfigurationInit();
  StoreFollower::Init MembersInit();

  bool Listen();
  void OnSignal(int number);
  void FireEvent(std::string_view event);
  void RunAction(std::string_view action);
  void BeginLeaving();
  void CheckDrain();
  void Stop();
  // Applies the settings file if it has changed; with `kAlways`, also if its
  // time of change has not. Returns whether it has.
  bool CheckSettings(std::string_view why, WatchedFile::When when);
  void ApplySettings(const std::string& text, std::string_view why);

  void OnControlCall(const ExchangePointer& exchange);
  void OnReadyCheck(const ExchangePointer& exchange);
  void OnHeartbeat(const ExchangePointer& exchange,
                   const InstanceReport& report);
  void OnDeregister(const ExchangePointer& exchange, const InstanceRun& run);
  // Acknowledges a control call by which the instance leaves once the store has
  // recorded it, or enough peers know it, so that a process that replaces this
  // one hears of it.
  void AcknowledgeLeaving(const ExchangePointer& exchange);
  void AnswerLeaving(std::uint64_t call, int status);
  void OnMemberKnown(std::string_view member, std::uint64_t sequence);
  void OnInstanceNotice(std::string_view member, const InstanceNotice& notice);
  void OnMetrics(const ExchangePointer& exchange);

  void OnInstanceChanged(std::string_view why);
  // Tells the peers and the store that the node's record has changed.
  void AnnounceRecord(std::string_view why);
  void UpdateStanding(const MemberRecord& self);
  void UpdateAskedMembers();
  // Notes which members `record` asks to count its node, and which it confirms.
  void OnJoinRequest(const MemberRecord& record);
  QuotaStanding Standing() const;
  std::set<std::string, std::less<>> ConfirmedBy() const;
  // Finds out which members there are, if the store does not tell.
  void RequestMembers(Time now);
  LinkMembers Members(std::string_view asked_by) const;
  void OnMembers(std::string_view member, const LinkMembers& message);
  MemberRecord OwnRecord() const;
  // Writes the node's record to the store if something that the store needs has
  // changed: the instance, the node's address for links, or whether the
  // instance is leaving. Peers get all other changes over links. `on_written`
  // runs when the store has the record, at once if nothing needs to be written.
  void PublishOwnRecord(std::function<void()> on_written);

  void OnConfigurationObject(const StoreObject& object);
  void ApplyConfiguration(std::string text, std::string_view source);
  void OnConfigurationDelta(const ConfigurationDelta& delta);
  // Starts or stops following the store, depending on whether peers do, and
  // requests the configuration from a peer that has a newer one.
  void UpdateConfigurationSource(Time now);
  // The configuration in force on this node, as peers are told.
  PeerConfiguration ConfigurationInForce() const;
  // The store was restored from a backup and is in `era` now. `source` says
  // who reported it: the store or the name of a peer.
  void OnStoreRestored(StoreEra era,
                       StoreEra previous,
                       std::string_view source);
  // Adds what a peer or the store (`source`) knows of requests that ended
  // instances.
  void MergeCrashEvidence(std::string_view source,
                          std::span<const CrashEvidence> evidence);
  // This node has found evidence, which peers should hear.
  void OnCrashEvidence(std::vector<CrashEvidence> evidence);
  void PublishCrashEvidence();
  // Applies the operators' decisions that `settings_` has and `before` has not.
  // A clearance only counts when it is new: the request may have ended more
  // instances since.
  void ApplyRequestOverrides(const std::map<Digest, RequestOverride>& before);
  void LogVerdict(std::string_view source, const CrashEvidence& evidence) const;
  void OnMemberObject(const StoreObject& object);
  void OnMembersListed(const std::vector<StoreObject>& items);
  // Stores the record if it is newer than the known one, and updates the links.
  void MergeRecord(const MemberRecord& record);
  // Like `MergeRecord`, but leaves the links as they are. Returns whether the
  // record was stored.
  bool StoreRecord(const MemberRecord& record);
  // When the store last confirmed the configuration to any node.
  std::optional<Time> ConfigurationConfirmed() const;
  ConfigurationBelief Belief() const;
  // How long input that is read now may have waited in this process.
  Duration ReadDelay() const;
  FleetRetryBudgetLimits AllowanceLimits() const;
  QuotaLimits RequestQuotaLimits() const;
  void RecordLoopLag(Duration lag);
  void SchedulePeriodicWork();

  SidecarSettings settings_;
  platform::Bounds bounds_;
  NodeCharts charts_;
  WatchedFile settings_file_;
  Time settings_read_at_;  // Whether or not they had changed.
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer drain_timer_;
  asio::steady_timer periodic_timer_;
  Metrics metrics_;
  const Time started_ = SteadyNow();
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 1;
  ConfigApplier applier_;
  ChartMachine lifecycle_;
  InstanceTracker tracker_;
  LeavingConfirmations leaving_confirmations_;
  // The calls by which the instance leaves that were not answered yet.
  std::map<std::uint64_t, ExchangePointer> leaving_calls_;
  std::uint64_t last_leaving_call_ = 0;
  MemberRegistry member_registry_;
  JoinRequests join_requests_;
  CrashSuspects suspects_;
  platform::StoreClient store_;
  ConfigurationArchive configuration_archive_;
  ConfigurationSource configuration_source_;
  PacedSender sender_;
  InboundProxy inbound_;
  LinkHub links_;
  QuotaService quotas_;
  std::unique_ptr<RolloutService> rollouts_;  // Null: exposure is unbounded.
  OutboundProxy outbound_;
  StoreFollower configuration_follower_;
  StoreFollower member_follower_;
  RecordPublisher publisher_;
  Http1Server caller_server_;
  Http1Server control_server_;
  Http1Server ready_server_;
  Http1Server metrics_server_;
  bool follows_store_ = false;  // For the configuration.
  // State of the instance that was last written to the store.
  std::string published_state_;
  bool has_listed_members_ = false;
  // Whether a list of the store has shown a record of this process.
  bool is_stored_ = false;
  // Whether a list of the store has shown the record by which this node joins
  // the owners of parts of quotas.
  bool is_listed_ = false;
  // Whether a list was requested because the own record was written.
  bool requested_own_record_ = false;
  // Any member has told this node the members, and one that owns parts of
  // quotas has.
  bool heard_members_ = false;
  bool was_told_members_ = false;
  // An earlier process of this node owned parts of quotas.
  bool was_owner_ = false;
  // The first record by which this node joins the owners; empty: it does not.
  std::optional<std::uint64_t> joins_since_;
  bool is_leaving_ = false;  // The instance, by the last record.
  // The members that this node asks through the store to count it as an owner,
  // with the sequence of the first record that asked.
  std::map<std::string, std::uint64_t, std::less<>> asked_since_;
  // The process of each member that confirmed through the store, and which
  // record of this node.
  RecordVersions counted_by_;
  // The last record that each member has confirmed.
  std::map<std::string, std::uint64_t, std::less<>> known_by_;
  std::uint64_t confirmations_ =
      0;  // Confirmations that were given or received, so far.
  Time requested_members_at_;
  Random members_random_{NondeterministicSeed()};
  // Runs when the first record is written, which awaits the first list.
  std::function<void()> on_first_publish_;
  // When periodic work last ran, latest first.
  std::array<Time, 2> last_ticks_{started_, started_};
  Time leaving_since_;
  bool leaving_ = false;  // Accepts no more calls for the instance.
  int exit_code_ = 0;
};

}  // namespace verbenastile

#endif  // MESH_SIDECAR_H_
