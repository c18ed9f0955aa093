// The address for operators and monitoring: /metrics, /healthz, /readyz,
// /status and /drain.
#ifndef NODE_ADMIN_SERVER_H_
#define NODE_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "base/metrics.h"
#include "io/http_server.h"

namespace verbenastile {

// What the server asks of the node.
struct AdminHooks {
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
              const Metrics& metrics,
              AdminHooks hooks);

  void Open(std::function<void(std::string)> on_open);
  void Close();

 private:
  void OnRequest(const HttpRequest& request, HttpReply reply);

  const Metrics& metrics_;
  AdminHooks hooks_;
  HttpServer server_;
};

}  // namespace verbenastile

#endif  // NODE_ADMIN_SERVER_H_
