// The address for operators and monitoring: /metrics, /healthz, /readyz,
// /status and /drain.
#ifndef NODE_ADMIN_SERVER_H_
#define NODE_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "base/metrics.h"
#include "core/admin_access.h"
#include "io/http_server.h"

namespace verbenastile {

// What the server asks of the node.
struct AdminHooks {
  std::string token;  // For changing calls; empty: from loopback only.
  std::function<std::string()> status_json;
  std::function<bool()> ready;
  std::function<void()> drain;
  // Why the node is not ready, in a line.
  std::function<std::string()> not_ready_reason;
};

class AdminServer {
 public:
  AdminServer(asio::io_context& io,
              const SocketAddress& address,
              Metrics& metrics,
              AdminHooks hooks);

  void Open(std::function<void(std::string)> on_open);
  void Close();

 private:
  void OnRequest(const HttpRequest& request, HttpReply reply);

  // Answers a changing call that is not allowed; false then.
  bool Allow(const HttpRequest& request, HttpReply& reply);

  Metrics& metrics_;
  CounterHandle denied_;
  AdminHooks hooks_;
  HttpServer server_;
};

}  // namespace verbenastile

#endif  // NODE_ADMIN_SERVER_H_
