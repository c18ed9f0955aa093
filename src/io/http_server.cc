#include "io/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <restinio/all.hpp>
#include <utility>
#include <variant>

#include "io/http1_syntax.h"
#include "io/server_connections.h"

namespace verbenastile {
namespace {

constexpr int kBadRequest = 400;

// RESTinio reports the reason for closing a connection only to its logger.
class ParseErrorListener {
 public:
  explicit ParseErrorListener(std::shared_ptr<ServerConnections> connections)
      : connections_(std::move(connections)) {}

  // NOLINTBEGIN(readability-identifier-naming): names required by RESTinio.
  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    connections_->RecordParserError(builder());
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  std::shared_ptr<ServerConnections> connections_;
};

// Registers each new connection.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<ServerConnections> connections)
      : connections_(std::move(connections)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): required by RESTinio.
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    ServerSocket* socket = ServerSocket::starting();
    if (socket != nullptr &&
        restinio::holds_alternative<restinio::connection_state::accepted_t>(
            notice.cause())) {
      socket->Register(connections_, notice.connection_id());
    }
  }

 private:
  std::shared_ptr<ServerConnections> connections_;
};

struct ServerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t,
                                ParseErrorListener,
                                restinio::default_request_handler_t,
                                restinio::default_strand_t,
                                ServerSocket> {
  // NOLINTNEXTLINE(readability-identifier-naming): required by RESTinio.
  using connection_state_listener_t = ConnectionListener;
  // NOLINTNEXTLINE(readability-identifier-naming): required by RESTinio.
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;
using ChunkedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;
using SizedResponse =
    restinio::response_builder_t<restinio::user_controlled_output_t>;

restinio::http_status_line_t StatusLine(int status) {
  const auto code =
      restinio::http_status_code_t(static_cast<std::uint16_t>(status));
  return {code, http_status_str(static_cast<http_status>(status))};
}

template <typename Response>
void AppendHeaders(Response& response, std::span<const HttpHeader> headers) {
  for (const HttpHeader& header : headers) {
    const bool is_length = SameHeaderName(header.name, "content-length");
    if (!IsHopByHop(header.name) && !is_length) {
      response.append_header(header.name, header.value);
    }
  }
}

HttpRequest ConvertRequest(const restinio::request_handle_t& handle) {
  HttpRequest request;
  request.method = handle->header().method().c_str();
  request.target = handle->header().request_target();
  handle->header().for_each_field([&](const auto& field) {
    request.headers.push_back({field.name(), field.value()});
  });
  request.body = handle->body();
  request.remote_ip = handle->remote_endpoint().address().to_string();
  return request;
}

// The parser accepts whitespace inside names, which allows request smuggling: a
// Content-Length that the parser does not recognize could still be honored by
// an upstream. It accepts a control byte that begins a value as well.
bool HasInvalidHeader(const HttpRequest& request) {
  return !std::all_of(request.headers.begin(), request.headers.end(),
                      IsValidHeader);
}

bool HasNoBody(const restinio::request_t& request, int status) {
  return request.header().method() == restinio::http_method_head() ||
         IsStatusWithoutBody(status);
}

std::string FormatHeaderLines(const HttpHeaders& headers) {
  std::string lines;
  for (const HttpHeader& header : headers) {
    lines += fmt::format("{}: {}\r\n", header.name, header.value);
  }
  return lines;
}

restinio::incoming_http_msg_limits_t MessageLimits(const HttpServerInit& init) {
  return restinio::incoming_http_msg_limits_t{}
      .max_body_size(init.max_body_bytes)
      .max_field_name_size(init.max_header_bytes)
      .max_field_value_size(init.max_header_bytes)
      .max_field_count(init.max_headers)
      .max_url_size(init.max_header_bytes);
}

}  // namespace

struct HttpReply::State final : public PendingResponse {
  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() { DetachFromConnection(); }

  void OnConnectionClosed() override {
    closed = true;
    if (on_disconnect) {
      asio::post(*io, std::exchange(on_disconnect, nullptr));
    }
  }

  void DetachFromConnection() {
    if (connection) {
      connection->RemovePendingResponse(this);
    }
  }

  template <typename Response>
  void PrepareHead(Response& response, std::span<const HttpHeader> headers) {
    AppendHeaders(response, headers);
    if (*draining) {
      response.connection_close();
    }
  }

  restinio::request_handle_t request;
  std::shared_ptr<ServerConnection> connection;  // Null if already closed.
  std::shared_ptr<const bool> draining;
  asio::io_context* io = nullptr;
  std::variant<std::monostate, SizedResponse, ChunkedResponse> stream;
  bool discard_body = false;
  bool ended = false;  // No more parts will be written.
  bool closed = false;
  std::function<void()> on_disconnect;
};

namespace {

// Returns the callback for the last write. If it runs without an error, the
// complete response has been sent.
auto OnLastWrite(const std::shared_ptr<HttpReply::State>& state) {
  return [state](const asio::error_code& error) {
    if (!error) {
      state->on_disconnect = nullptr;
      state->DetachFromConnection();
    }
  };
}

}  // namespace

HttpReply::HttpReply(std::shared_ptr<State> state) : state_(std::move(state)) {}

HttpReply::~HttpReply() {
  if (!state_) {
    return;
  }
  state_->on_disconnect = nullptr;
  if (!state_->ended) {
    Abort();
  }
}

HttpReply::HttpReply(HttpReply&&) noexcept = default;

HttpReply& HttpReply::operator=(HttpReply&& other) noexcept {
  const HttpReply previous(std::move(*this));
  state_ = std::move(other.state_);
  return *this;
}

void HttpReply::Send(int status,
                     std::span<const HttpHeader> headers,
                     std::string body) {
  state_->ended = true;
  auto response =
      state_->request->create_response<restinio::user_controlled_output_t>(
          StatusLine(status));
  state_->PrepareHead(response, headers);
  response.set_content_length(body.size());
  if (!HasNoBody(*state_->request, status)) {
    response.set_body(std::move(body));
  }
  response.done(OnLastWrite(state_));
}

void HttpReply::StartStream(int status,
                            std::span<const HttpHeader> headers,
                            std::optional<std::uint64_t> length) {
  state_->discard_body = HasNoBody(*state_->request, status);
  if (!length && !state_->discard_body) {
    auto response =
        state_->request->create_response<restinio::chunked_output_t>(
            StatusLine(status));
    state_->PrepareHead(response, headers);
    state_->stream.emplace<ChunkedResponse>(std::move(response)).flush();
    return;
  }
  auto response =
      state_->request->create_response<restinio::user_controlled_output_t>(
          StatusLine(status));
  state_->PrepareHead(response, headers);
  response.set_content_length(length.value_or(0));
  state_->stream.emplace<SizedResponse>(std::move(response));
}

void HttpReply::Write(std::string part, std::function<void(bool)> on_written) {
  if (state_->discard_body || state_->ended) {
    asio::post(*state_->io,
               [on_written = std::move(on_written),
                written = state_->discard_body] { on_written(written); });
    return;
  }
  const auto on_flushed = [on_written = std::move(on_written)](
                              const auto& error) { on_written(!error); };
  if (auto* sized = std::get_if<SizedResponse>(&state_->stream)) {
    sized->append_body(std::move(part)).flush(on_flushed);
  } else if (auto* chunked = std::get_if<ChunkedResponse>(&state_->stream)) {
    chunked->append_chunk(std::move(part)).flush(on_flushed);
  }
}

void HttpReply::Finish() {
  if (std::exchange(state_->ended, true)) {
    return;
  }
  if (auto* sized = std::get_if<SizedResponse>(&state_->stream)) {
    sized->done(OnLastWrite(state_));
  } else if (auto* chunked = std::get_if<ChunkedResponse>(&state_->stream)) {
    chunked->done(OnLastWrite(state_));
  }
}

void HttpReply::Abort() {
  state_->ended = true;
  state_->on_disconnect = nullptr;
  if (state_->connection) {
    state_->connection->CloseNow();
  }
}

bool HttpReply::HasClientLeft() const {
  return !state_->connection || state_->connection->HasPeerClosed();
}

void HttpReply::OnDisconnect(std::function<void()> on_disconnect) {
  state_->on_disconnect = [state = std::weak_ptr<State>(state_),
                           on_disconnect = std::move(on_disconnect)] {
    const auto locked = state.lock();
    if (locked) {
      on_disconnect();
    }
  };
  if (state_->closed || !state_->connection) {
    state_->OnConnectionClosed();
  }
}

struct HttpServer::State {
  std::shared_ptr<ServerConnections> connections;
  std::unique_ptr<RestinioServer> server;
  std::shared_ptr<bool> draining = std::make_shared<bool>(false);
  std::shared_ptr<SocketAddress> address = std::make_shared<SocketAddress>();
  bool open = false;
};

HttpServer::HttpServer(asio::io_context& io,
                       const HttpServerInit& init,
                       HttpHandler handler)
    : state_(std::make_unique<State>()) {
  const auto connections = std::make_shared<ServerConnections>(
      io, init.max_connections, FormatHeaderLines(init.error_headers));
  state_->connections = connections;
  *state_->address = init.address;
  const auto on_request = [connections, draining = state_->draining,
                           error_headers = init.error_headers,
                           handler = std::move(handler)](
                              const restinio::request_handle_t& request) {
    auto state = std::make_shared<HttpReply::State>();
    state->request = request;
    state->draining = draining;
    state->io = &connections->io();
    state->connection = connections->Find(request->connection_id());
    if (state->connection) {
      state->connection->AddPendingResponse(state.get());
    }
    HttpRequest parsed = ConvertRequest(request);
    if (HasInvalidHeader(parsed)) {
      connections->CountBadRequest();
      state->draining = std::make_shared<bool>(true);
      HttpReply(std::move(state)).Send(kBadRequest, error_headers, {});
      return restinio::request_accepted();
    }
    handler(std::move(parsed), HttpReply(std::move(state)));
    return restinio::request_accepted();
  };
  state_->server = std::make_unique<RestinioServer>(
      restinio::external_io_context(io), [&](auto& settings) {
        settings.address(init.address.ip)
            .port(init.address.port)
            .logger(connections)
            .connection_state_listener(
                std::make_shared<ConnectionListener>(connections))
            .request_handler(on_request)
            .incoming_http_msg_limits(MessageLimits(init))
            .max_pipelined_requests(init.max_pipelined)
            .max_parallel_connections(init.max_connections)
            .read_next_http_message_timelimit(init.read_timeout)
            .write_http_response_timelimit(init.write_timeout)
            .handle_request_timeout(init.handle_timeout)
            .concurrent_accepts_count(1)
            .socket_options_setter([](auto& options) {
              options.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook(
                [address = state_->address](const auto& acceptor) {
                  address->port = acceptor.local_endpoint().port();
                })
            .acceptor_options_setter([](auto& options) {
              options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            });
      });
}

HttpServer::~HttpServer() = default;

void HttpServer::Open(std::function<void(std::string)> on_open) {
  state_->server->open_async(
      [this, on_open] {
        state_->open = true;
        on_open({});
      },
      [on_open](std::exception_ptr failure) {
        try {
          std::rethrow_exception(failure);
        } catch (const std::exception& error) {
          on_open(error.what());
        }
      });
}

void HttpServer::BeginDrain() {
  *state_->draining = true;
}

void HttpServer::Close() {
  BeginDrain();
  if (state_->open) {
    state_->open = false;
    state_->server->close_async([] {}, [](std::exception_ptr) {});
  }
  state_->connections->CloseIdle();
}

SocketAddress HttpServer::address() const {
  return *state_->address;
}

HttpServerStats HttpServer::stats() const {
  const ServerConnections& connections = *state_->connections;
  return {connections.size(), connections.busy(), connections.accepted(),
          connections.bad_requests(), connections.idle_closed()};
}

}  // namespace verbenastile
