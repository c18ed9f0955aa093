// Sends attempts of calls to the upstreams of other nodes.
#ifndef NODE_PEER_LINK_H_
#define NODE_PEER_LINK_H_

#include <string>

#include "config/settings.h"
#include "core/attempt_registry.h"
#include "node/attempt.h"
#include "node/upstream_gate.h"

namespace verbenastile {

// A request for the upstream of another node.
struct PeerRequest {
  // Name of the node. The receiver compares it with its own name, which detects
  // an address that now belongs to another node.
  std::string node;
  SocketAddress address;  // Where the node accepts calls from other nodes.
  UpstreamRequest request;
};

class PeerLink {
 public:
  // `http` must outlive the link.
  explicit PeerLink(HttpClient* http) : http_(http) {}

  HttpCallHandle Start(PeerRequest peer, AttemptEvents events);
  void Cancel(HttpCallHandle handle) { http_->Cancel(handle); }
  void Pause(HttpCallHandle handle) { http_->Pause(handle); }
  void Resume(HttpCallHandle handle) { http_->Resume(handle); }

 private:
  HttpClient* http_;
};

}  // namespace verbenastile

#endif  // NODE_PEER_LINK_H_
