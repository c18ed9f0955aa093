// HTTP endpoint for operators and monitoring: /metrics, /healthz, /readyz,
// /status and /drain.
#ifndef NODE_ADMIN_SERVER_H_
#define NODE_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "base/metrics.h"
#include "core/admin_access.h"
#include "io/http_server.h"

namespace verbenastile {

// Callbacks and credentials that the node supplies to its admin endpoint.
struct AdminHooks {
  // Token required by requests that change state. If empty, such requests are
  // accepted only from loopback addresses.
  std::string token;
  std::function<std::string()> status_json;
  std::function<bool()> ready;
  std::function<void()> drain;
  // One line that says why the node is not ready.
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

  // Returns whether the request may change state. If not, sends the error
  // response.
  bool CheckAccess(const HttpRequest& request, HttpReply& reply);

  Metrics& metrics_;
  CounterHandle denied_counter_;
  AdminHooks hooks_;
  HttpServer server_;
};

}  // namespace verbenastile

#endif  // NODE_ADMIN_SERVER_H_
