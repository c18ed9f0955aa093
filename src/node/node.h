// A node: the proxy process that runs next to each upstream instance.
#ifndef NODE_NODE_H_
#define NODE_NODE_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "base/metrics.h"
#include "config/settings.h"
#include "core/config_apply.h"
#include "core/member_directory.h"
#include "core/node_charts.h"
#include "core/state_chart.h"
#include "io/http_client.h"
#include "io/platform_client.h"
#include "node/admin_server.h"
#include "node/call_proxy.h"
#include "node/distribution_service.h"
#include "node/membership_service.h"
#include "node/status_page.h"

namespace verbenastile {

class Node {
 public:
  // See `AdminHooks::token` for the meaning of `admin_token`.
  Node(const Settings& settings, NodeCharts charts, std::string admin_token);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Runs until a graceful shutdown is complete. Returns the exit code: 0, or 1
  // if the node could not listen on one of its addresses.
  int Run();

 private:
  void Open();
  void OnListenResult(std::string_view address_name, const std::string& error);
  DistributionServiceInit MakeDistributionInit();
  void OnConfigurationOffered(const OfferedAction& action);
  void FireLifecycleEvent(std::string_view event);
  void RunLifecycleAction(std::string_view action);
  void BeginLeaving();
  void OnUpstreamLeaving();
  void WaitForDrain(Time earliest_end);
  void WaitForLastCalls(Time earliest_end);
  bool HasActiveCalls() const;
  void Stop();
  NodeStatus Status() const;
  bool ready() const { return lifecycle_.state() == "serving"; }

  Settings settings_;
  NodeCharts charts_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer drain_timer_;
  Metrics metrics_;
  ConfigApplier applier_;
  MemberDirectory directory_;
  ChartMachine lifecycle_;
  HttpClient control_http_;  // Requests to the platform.
  HttpClient call_http_;     // Calls to upstreams and other nodes.
  PlatformClient platform_;
  MembershipService membership_;
  DistributionService distribution_;
  CallProxy proxy_;
  AdminServer admin_server_;
  HttpServer peer_server_;
  HttpServer caller_server_;
  Time drain_deadline_;
  int exit_code_ = 0;
};

}  // namespace verbenastile

#endif  // NODE_NODE_H_
