// A node: the small process in the slot beside each upstream instance.
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
  // `admin_token` as `AdminHooks` has it.
  Node(const Settings& settings, NodeCharts charts, std::string admin_token);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Serves until a graceful shutdown is over. Returns the exit code: 0, or 1
  // when an address cannot be listened on.
  int Run();

 private:
  void Open();
  void OnOpened(std::string_view what, const std::string& error);
  DistributionServiceInit DistributionInit();
  void OnOffered(const OfferedAction& action);
  void Fire(std::string_view event);
  void RunAction(std::string_view action);
  void BeginLeaving();
  void OnUpstreamLeaving();
  void WaitForCalls(Time earliest_end);
  void WaitForLastCalls(Time earliest_end);
  bool HasCalls() const;
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
  HttpClient control_http_;  // To the platform.
  HttpClient call_http_;     // To upstreams and other nodes.
  PlatformClient platform_;
  MembershipService membership_;
  DistributionService distribution_;
  CallProxy proxy_;
  AdminServer admin_;
  HttpServer peers_;
  HttpServer callers_;
  Time drain_expiry_;
  int exit_code_ = 0;
};

}  // namespace verbenastile

#endif  // NODE_NODE_H_
