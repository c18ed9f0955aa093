// Wires the distribution of generations to the platform, the control
// connections and time.
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

// What the service works with; everything must outlive it.
struct DistributionServiceInit {
  const Settings* settings = nullptr;
  const MemberDirectory* directory = nullptr;
  ConfigApplier* applier = nullptr;
  PlatformClient* platform = nullptr;
  const StateChart* session_chart = nullptr;
  Metrics* metrics = nullptr;
  Member self;
  std::uint32_t seed = 0;
  // A generation was offered to the applier.
  std::function<void(const OfferedAction&)> on_offered;
};

class DistributionService {
 public:
  DistributionService(asio::io_context& io, DistributionServiceInit init);
  DistributionService(const DistributionService&) = delete;
  DistributionService& operator=(const DistributionService&) = delete;

  // Returns what went wrong; empty when the control address is listened on.
  std::string Start();
  void Stop();

  // "listing", "watching", "waiting", or "not following".
  std::string_view session_state() const;
  const Distribution& distribution() const { return distribution_; }
  // The own failure domain as far as it is known here.
  FleetView fleet() const { return distribution_.fleet(SteadyNow()); }
  // Why nothing is in force yet; empty once something is.
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
