// Proxies calls in both directions: from local callers to upstream instances,
// and from other nodes to this node's own upstream.
#ifndef NODE_CALL_PROXY_H_
#define NODE_CALL_PROXY_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/metrics.h"
#include "config/settings.h"
#include "core/config_apply.h"
#include "core/member_directory.h"
#include "core/state_chart.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "node/caller_side.h"
#include "node/peer_link.h"
#include "node/upstream_gate.h"

namespace verbenastile {

// Dependencies of the proxy. All of them must outlive it.
struct CallProxyParts {
  asio::io_context* io = nullptr;
  const Settings* settings = nullptr;
  const ConfigApplier* applier = nullptr;
  const MemberDirectory* directory = nullptr;
  const StateChart* health_chart = nullptr;  // State chart "upstream_health".
  HttpClient* http = nullptr;
  Metrics* metrics = nullptr;
  // Called when the upstream announces that it is leaving.
  std::function<void()> on_upstream_leaving;
};

class CallProxy {
 public:
  CallProxy(const CallProxyParts& parts, std::uint64_t seed);
  ~CallProxy() { *alive_ = false; }
  CallProxy(const CallProxy&) = delete;
  CallProxy& operator=(const CallProxy&) = delete;

  // Handles a request from a local caller.
  void OnCallerRequest(HttpRequest request, HttpReply reply);
  // Handles a request that another node routed to this node's upstream.
  void OnPeerRequest(HttpRequest request, HttpReply reply);

  // Stops sending new calls to the local upstream. Local callers are still
  // served, by other instances.
  void BeginLeaving() { gate_.BeginLeaving(); }

  // Returns the number of calls in progress.
  std::size_t active() const { return caller_side_.active() + gate_.active(); }
  // Returns the number of refused requests from local callers.
  std::uint64_t refused() const { return caller_side_.refused(); }
  // Returns whether this node has ejected that member from load balancing.
  bool IsEjected(std::string_view member) const {
    return caller_side_.IsEjected(member);
  }

 private:
  struct PeerCall;

  // Returns whether the client has left, so that its request is dropped.
  bool DropAbandoned(HttpReply& reply);
  UpstreamRequest MakeUpstreamRequest(HttpRequest request) const;
  void StartPeerCall(const std::shared_ptr<PeerCall>& call,
                     UpstreamRequest request);
  void RefusePeer(PeerCall& call, const AttemptEnd& end);

  CallProxyParts deps_;
  UpstreamGate gate_;
  PeerLink peer_link_;
  CallerSide caller_side_;
  CounterHandle peer_requests_counter_;
  CounterHandle callers_gone_unread_;
  // Set to false on destruction, for callbacks that outlive the proxy.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenastile

#endif  // NODE_CALL_PROXY_H_
