#include "node/admin_server.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxAdminBodyBytes = 65'536;

HttpServerInit MakeServerInit(const SocketAddress& address) {
  HttpServerInit init;
  init.address = address;
  init.max_body_bytes = kMaxAdminBodyBytes;
  return init;
}

void SendText(HttpReply& reply, int status, std::string text) {
  const HttpHeader type{"Content-Type", "text/plain"};
  reply.Send(status, {&type, 1}, std::move(text));
}

}  // namespace

AdminServer::AdminServer(asio::io_context& io,
                         const SocketAddress& address,
                         Metrics& metrics,
                         AdminHooks hooks)
    : metrics_(metrics),
      denied_counter_(metrics.Counter("admin_denied_total")),
      hooks_(std::move(hooks)),
      server_(io,
              MakeServerInit(address),
              [this](HttpRequest request, HttpReply reply) {
                OnRequest(request, std::move(reply));
              }) {}

void AdminServer::Open(std::function<void(std::string)> on_open) {
  server_.Open(std::move(on_open));
}

void AdminServer::Close() {
  server_.Close();
}

bool AdminServer::CheckAccess(const HttpRequest& request, HttpReply& reply) {
  const AccessQuery query{IsLoopback(request.remote_ip),
                          FindHeader(request.headers, "Authorization")};
  switch (CheckAdminAccess(query, hooks_.token)) {
    case AccessVerdict::kAllowed:
      return true;
    case AccessVerdict::kTokenMissing:
      SendText(reply, 401, "a token is needed\n");
      break;
    case AccessVerdict::kTokenWrong:
      SendText(reply, 403, "the token is wrong\n");
      break;
  }
  metrics_.Add(denied_counter_);
  return false;
}

void AdminServer::OnRequest(const HttpRequest& request, HttpReply reply) {
  const auto path = request.path();
  if (path == "/drain") {
    if (request.method != "POST") {
      SendText(reply, 405, "POST is needed\n");
      return;
    }
    if (CheckAccess(request, reply)) {
      SendText(reply, 202, "draining\n");
      hooks_.drain();
    }
  } else if (path == "/metrics") {
    SendText(reply, 200, metrics_.RenderPrometheus());
  } else if (path == "/healthz") {
    SendText(reply, 200, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = hooks_.ready();
    SendText(
        reply, ready ? 200 : 503,
        ready ? "ready\n" : "not ready\n" + hooks_.not_ready_reason() + "\n");
  } else if (path == "/status") {
    const HttpHeader type{"Content-Type", "application/json"};
    reply.Send(200, {&type, 1}, hooks_.status_json());
  } else {
    SendText(reply, 404, "there is no such page\n");
  }
}

}  // namespace verbenastile
