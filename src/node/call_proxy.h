// Serves callers and other nodes: joins the caller's side of calls with the way
// to this node's own upstream.
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

// What the proxy works with; all must outlive it.
struct CallProxyParts {
  asio::io_context* io = nullptr;
  const Settings* settings = nullptr;
  const ConfigApplier* applier = nullptr;
  const MemberDirectory* directory = nullptr;
  const StateChart* health_chart = nullptr;  // "upstream_health".
  HttpClient* http = nullptr;
  Metrics* metrics = nullptr;
  // The upstream announced that it is leaving.
  std::function<void()> on_upstream_leaving;
};

class CallProxy {
 public:
  CallProxy(const CallProxyParts& parts, std::uint64_t seed);
  ~CallProxy() { *alive_ = false; }
  CallProxy(const CallProxy&) = delete;
  CallProxy& operator=(const CallProxy&) = delete;

  // A request from a caller.
  void OnCallerRequest(HttpRequest request, HttpReply reply);
  // A request that another node chose this node's upstream for.
  void OnPeerRequest(HttpRequest request, HttpReply reply);

  // The upstream gets no new calls from now on; callers are served by others.
  void BeginLeaving() { gate_.BeginLeaving(); }

  // Calls that have not ended.
  std::size_t active() const { return callers_.active() + gate_.active(); }
  // Callers' requests that were refused.
  std::uint64_t refused() const { return callers_.refused(); }
  // Whether this node keeps that member out of its choices.
  bool IsEjected(std::string_view member) const {
    return callers_.IsEjected(member);
  }

 private:
  struct PeerCall;

  UpstreamRequest RequestOf(HttpRequest request) const;
  void StartPeerCall(const std::shared_ptr<PeerCall>& call,
                     UpstreamRequest request);
  void RefusePeer(PeerCall& call, const AttemptEnd& end);

  CallProxyParts parts_;
  UpstreamGate gate_;
  PeerLink peers_;
  CallerSide callers_;
  CounterHandle peer_requests_;
  // Events that outlive the proxy see false here.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenastile

#endif  // NODE_CALL_PROXY_H_
