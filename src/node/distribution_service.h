// Connects the distribution state machine to the platform client, the control
// connections between nodes, and the event loop's timer.
#ifndef NODE_DISTRIBUTION_SERVICE_H_
#define NODE_DISTRIBUTION_SERVICE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <span>
#include <string>

#include "base/metrics.h"
#include "core/distribution.h"
#include "io/control_transport.h"
#include "io/platform_client.h"
#include "node/fleet_status_writer.h"
#include "node/platform_source.h"
#include "wire/control_codec.h"

namespace verbenastile {

// The dependencies of the service. All pointers must outlive it.
struct DistributionServiceInit {
  const Settings* settings = nullptr;
  const MemberDirectory* directory = nullptr;
  ConfigApplier* applier = nullptr;
  PlatformClient* platform = nullptr;
  const StateChart* session_chart = nullptr;
  Metrics* metrics = nullptr;
  Member self;
  std::uint32_t seed = 0;
  // Called for each OfferedAction.
  std::function<void(const OfferedAction&)> on_offered;
};

class DistributionService {
 public:
  DistributionService(asio::io_context& io, DistributionServiceInit init);
  DistributionService(const DistributionService&) = delete;
  DistributionService& operator=(const DistributionService&) = delete;

  // Starts the service. Returns an error message if it cannot listen on the
  // control address, otherwise an empty string.
  std::string Start();
  void Stop();

  // The state of the platform session: "listing", "watching", "waiting" or
  // "not following".
  std::string_view session_state() const;
  const Distribution& distribution() const { return distribution_; }
  // The status of this node's failure domain as known here.
  FleetView fleet() const { return distribution_.fleet(SteadyNow()); }
  // Why no generation is in force yet; empty once one is.
  std::string waiting_for() const { return distribution_.waiting_for(); }

 private:
  struct ActionRunner;

  void OnFrame(ConnectionHandle connection,
               std::span<const std::uint8_t> frame);
  void OnDecoded(ConnectionHandle connection, ControlFrame frame);
  void Refuse(ConnectionHandle connection, std::string_view kind);
  void RunActions();
  void ScheduleNext();
  void UpdateMetrics();
  void SetCounter(std::string_view name, std::uint64_t value);

  DistributionServiceInit init_;
  asio::steady_timer timer_;
  PlatformSource source_;
  FleetStatusWriter status_writer_;
  ControlTransport transport_;
  Distribution distribution_;
  std::map<ConnectionHandle, PeerIdentity> identities_;
  bool stopped_ = false;
  bool running_actions_ = false;
};

}  // namespace verbenastile

#endif  // NODE_DISTRIBUTION_SERVICE_H_
