// The sidecar: the process in the slot beside one upstream instance. Joins the
// call path with what the platform's store, the instance and the other sidecars
// say.
#ifndef MESH_SIDECAR_H_
#define MESH_SIDECAR_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "base/metrics.h"
#include "config/sidecar_settings.h"
#include "core/config_apply.h"
#include "core/configuration_archive.h"
#include "core/configuration_source.h"
#include "core/instance_tracker.h"
#include "core/member_registry.h"
#include "core/node_charts.h"
#include "core/state_chart.h"
#include "io/http1_server.h"
#include "mesh/gate.h"
#include "mesh/link_hub.h"
#include "mesh/origin.h"
#include "mesh/paced_sender.h"
#include "mesh/record_publisher.h"
#include "mesh/store_follower.h"
#include "platform/bounds.h"
#include "platform/control_call.h"
#include "platform/store_client.h"

namespace verbenastile {

class Sidecar {
 public:
  // `path` is the file that `settings` came from, which may change.
  Sidecar(const SidecarSettings& settings,
          const platform::Bounds& bounds,
          NodeCharts charts,
          std::string path);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Serves until a graceful shutdown is over. Returns the exit code: 0, or 1
  // when an address cannot be listened on.
  int Run();

 private:
  LinkPacerInit PacerInit() const;
  Gate::Init GateInit();
  LinkHub::Init HubInit();
  Origin::Init OriginInit();
  StoreFollower::Init FollowerInit(std::string_view kind);
  StoreFollower::Init ConfigurationInit();
  StoreFollower::Init MembersInit();

  bool Open();
  void OnSignal(int number);
  void Fire(std::string_view event);
  void RunAction(std::string_view action);
  void BeginLeaving();
  void WaitForCalls();
  void Stop();
  void Reload(std::string_view why);
  void WatchSettingsFile();

  void OnControl(const ExchangePointer& exchange);
  void OnReady(const ExchangePointer& exchange);
  void OnHeartbeat(const ExchangePointer& exchange,
                   const InstanceReport& report);
  void OnDeregister(const ExchangePointer& exchange, const std::string& id);
  // Answers once what the report binds is known to others, or soon.
  void AcknowledgeLater(const ExchangePointer& exchange);
  void OnMetrics(const ExchangePointer& exchange);

  void OnInstanceChanged(std::string_view why);
  MemberRecord Self() const;
  // Writes the node's record when the store does not have what it needs: who
  // the instance is, where the node takes links, and whether the instance
  // leaves. All else peers hear by links.
  void PublishSelf(std::function<void()> on_written);

  void OnConfigurationObject(const StoreObject& object);
  void OfferConfiguration(std::string text, std::string_view source);
  void OnConfigurationDelta(const ConfigurationDelta& delta);
  // Follows the store or leaves it to the peers, and asks one that is ahead.
  void CheckConfigurationSource(Time now);
  // What is in force here, as peers are told.
  PeerConfiguration InForce() const;
  void OnMemberObject(const StoreObject& object);
  void OnMembersListed(const std::vector<StoreObject>& items);
  void OnRecord(const MemberRecord& record);
  Duration ConfigurationAge() const;
  RetryAllowanceLimits AllowanceLimits() const;
  void ObserveLag(Duration lag);
  void ScheduleFlush();

  SidecarSettings settings_;
  platform::Bounds bounds_;
  NodeCharts charts_;
  std::string settings_path_;
  std::string settings_text_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer drain_timer_;
  asio::steady_timer file_timer_;
  asio::steady_timer flush_timer_;
  Metrics metrics_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 1;
  ConfigApplier applier_;
  ChartMachine lifecycle_;
  InstanceTracker tracker_;
  MemberRegistry member_registry_;
  platform::StoreClient store_;
  ConfigurationArchive archive_;
  ConfigurationSource source_;
  PacedSender sender_;
  Gate gate_;
  LinkHub links_;
  Origin origin_;
  StoreFollower configuration_;
  StoreFollower members_;
  RecordPublisher publisher_;
  Http1Server callers_;
  Http1Server control_;
  Http1Server ready_;
  Http1Server metrics_server_;
  bool follows_store_ = false;  // For its configuration.
  // What the store was told last of the instance in the slot.
  std::string published_;
  Time leaving_since_;
  bool leaving_ = false;  // Takes no calls any more.
  int exit_code_ = 0;
};

}  // namespace verbenastile

#endif  // MESH_SIDECAR_H_
