#include "io/http1_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "io/shared_read.h"

namespace verbenastile {
namespace {

using Tcp = asio::ip::tcp;

constexpr int kMissedProbes = 2;
// Part of the server's announced idle time for which a connection is used.
constexpr int kIdleNumerator = 7;
constexpr int kIdleDenominator = 10;

std::string FormatRequest(const Http1Call& call) {
  std::string text;
  text.reserve(512 + call.body.size());
  text.append(call.method).append(" ").append(call.target);
  text.append(" HTTP/1.1\r\n");
  for (const HttpHeader& header : call.headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD")) {
    text.append("Content-Length: ")
        .append(std::to_string(call.body.size()))
        .append("\r\n");
  }
  text.append("\r\n").append(call.body);
  return text;
}

// The whole seconds in a Keep-Alive header's "timeout="; 0 when there are none.
int KeepAliveSeconds(const HttpHeaders& headers) {
  constexpr std::string_view kKey = "timeout=";
  const auto text = FindHeader(headers, "keep-alive");
  const auto at = text.find(kKey);
  int seconds = 0;
  if (at != std::string_view::npos) {
    const auto digits = text.substr(at + kKey.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  }
  return std::max(seconds, 0);
}

}  // namespace

class Http1ClientConnection
    : public std::enable_shared_from_this<Http1ClientConnection> {
 public:
  Http1ClientConnection(Http1Client* owner, const SocketAddress& address)
      : owner_(owner),
        key_(ToString(address)),
        socket_(owner->io_),
        timer_(owner->io_),
        parser_(Http1Parser::Role::kAnswer, {}) {}

  void Connect(const SocketAddress& address);
  void Begin(Http1CallId id, Http1Call call, bool kept);
  void Abandon();
  void Pause() { paused_ = true; }
  void Resume();

  const std::string& key() const { return key_; }
  Time idle_since() const { return idle_since_; }
  Duration announced_idle() const { return announced_idle_; }
  bool open() const { return socket_.is_open(); }

 private:
  void OnConnected(const asio::error_code& error);
  void Write();
  void Read();
  void OnRead(const asio::error_code& error, std::string_view bytes);
  void Parse();
  bool SkipStray();
  void DeliverBody();
  void OnWhole();
  void End(Http1End end, std::string_view detail, bool keep);
  void SetKeepAlive();
  void Close();

  Http1Client* owner_;
  std::string key_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  Http1Parser parser_;
  Http1CallId id_ = 0;
  Http1Call call_;
  std::string out_;
  std::string in_;
  Time idle_since_;
  Duration announced_idle_{0};
  bool connected_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool writing_ = false;
  bool sent_ = false;
  bool head_told_ = false;
  bool stray_ = false;
  bool ended_stream_ = false;
};

void Http1ClientConnection::Connect(const SocketAddress& address) {
  asio::error_code error;
  const Tcp::endpoint endpoint(asio::ip::make_address(address.ip, error),
                               address.port);
  if (!error) {
    socket_.open(endpoint.protocol(), error);
  }
  if (error) {
    asio::post(owner_->io_, [self = shared_from_this(), error] {
      self->OnConnected(error);
    });
    return;
  }
  timer_.expires_after(call_.connect_timeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& gone) {
    if (!gone && !self->connected_) {
      self->OnConnected(asio::error::timed_out);
    }
  });
  socket_.async_connect(
      endpoint, [self = shared_from_this()](const asio::error_code& failed) {
        if (failed != asio::error::operation_aborted) {
          self->OnConnected(failed);
        }
      });
}

void Http1ClientConnection::OnConnected(const asio::error_code& error) {
  if (id_ == 0 || connected_) {
    return;
  }
  timer_.cancel();
  if (error) {
    End(Http1End::kNotSent, error.message(), false);
    return;
  }
  connected_ = true;
  SetKeepAlive();
  Write();
  Read();
}

void Http1ClientConnection::SetKeepAlive() {
  asio::error_code ignored;  // Options only tune the connection.
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const int seconds = owner_->init_.keep_alive_s;
  if (seconds > 0) {
    using Idle =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using UserTimeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    constexpr int kMsPerSecond = 1000;
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    socket_.set_option(Idle(seconds), ignored);
    socket_.set_option(Interval(seconds), ignored);
    socket_.set_option(Count(kMissedProbes), ignored);
    socket_.set_option(
        UserTimeout(seconds * (kMissedProbes + 1) * kMsPerSecond), ignored);
  }
}

void Http1ClientConnection::Begin(Http1CallId id, Http1Call call, bool kept) {
  id_ = id;
  call_ = std::move(call);
  parser_.Reset();
  parser_.SetLimits(call_.limits);
  if (call_.method == "HEAD") {
    parser_.ExpectNoBody();
  }
  sent_ = false;
  head_told_ = false;
  stray_ = false;
  paused_ = false;
  out_ = FormatRequest(call_);
  if (kept) {
    Write();
    Read();
  }
}

void Http1ClientConnection::Write() {
  sent_ = true;
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(out_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        self->writing_ = false;
        // A failed write shows at the read too, after what was answered.
        if (error && self->id_ != 0 && !self->reading_) {
          self->End(Http1End::kBroken, error.message(), false);
        }
      });
}

void Http1ClientConnection::Read() {
  if (reading_ || paused_ || !socket_.is_open()) {
    return;
  }
  reading_ = true;
  ReadShared(socket_, [self = shared_from_this()](const asio::error_code& error,
                                                  std::string_view bytes) {
    self->reading_ = false;
    self->OnRead(error, bytes);
  });
}

void Http1ClientConnection::OnRead(const asio::error_code& error,
                                   std::string_view bytes) {
  if (id_ == 0) {
    // Nothing is expected on an idle connection: it closes, or its bytes
    // belong to no request.
    if (error != asio::error::operation_aborted) {
      const auto self = shared_from_this();
      owner_->Drop(self);
      Close();
    }
    return;
  }
  if (error) {
    const bool clean_end = error == asio::error::eof;
    if (clean_end && !stray_ && parser_.FeedEnd()) {
      ended_stream_ = true;
      OnWhole();
      return;
    }
    End(Http1End::kBroken, error.message(), false);
    return;
  }
  in_.append(bytes);
  Parse();
  if (id_ != 0) {
    Read();
  }
}

void Http1ClientConnection::Parse() {
  while (id_ != 0 && !in_.empty() && !parser_.done()) {
    const std::size_t used = parser_.Feed(in_);
    in_.erase(0, used);
    if (parser_.error() != Http1Error::kNone) {
      End(Http1End::kBroken, "the answer is malformed or too large", false);
      return;
    }
    if (!parser_.head_done()) {
      continue;
    }
    if (SkipStray()) {
      continue;
    }
    if (!head_told_) {
      head_told_ = true;
      if (call_.on_head) {
        const auto on_head = call_.on_head;
        on_head(parser_.head());
      }
    }
    DeliverBody();
  }
  if (id_ != 0 && parser_.done()) {
    OnWhole();
  }
}

// Whether the message is an interim answer or one to an earlier request; once
// whole it is dropped.
bool Http1ClientConnection::SkipStray() {
  if (!head_told_ && !stray_) {
    const Http1Head& head = parser_.head();
    const auto id = FindHeader(head.headers, call_.echo.header);
    const bool other =
        !call_.echo.value.empty() && !id.empty() && id != call_.echo.value;
    constexpr int kFirstFinal = 200;
    stray_ = other || head.status < kFirstFinal;
  }
  if (!stray_) {
    return false;
  }
  parser_.TakeBody();
  if (parser_.done()) {
    stray_ = false;
    parser_.Reset();
  }
  return true;
}

void Http1ClientConnection::DeliverBody() {
  std::string part = parser_.TakeBody();
  if (!part.empty() && call_.on_data && id_ != 0) {
    const auto on_data = call_.on_data;
    on_data(std::move(part));
  }
}

void Http1ClientConnection::OnWhole() {
  DeliverBody();
  if (id_ == 0) {
    return;
  }
  const Http1Head& head = parser_.head();
  const int seconds = KeepAliveSeconds(head.headers);
  announced_idle_ = std::chrono::milliseconds(
      std::int64_t{seconds} * 1000 * kIdleNumerator / kIdleDenominator);
  // An answer that came before the request was written, or bytes after it,
  // leave the connection in doubt.
  const bool keep =
      head.keep_alive && in_.empty() && !writing_ && !ended_stream_;
  End(Http1End::kWhole, {}, keep);
}

void Http1ClientConnection::End(Http1End end,
                                std::string_view detail,
                                bool keep) {
  const auto self = shared_from_this();
  const auto on_end = std::move(call_.on_end);
  owner_->calls_.erase(std::exchange(id_, 0));
  call_ = {};
  if (keep) {
    idle_since_ = SteadyNow();
    owner_->Keep(self);
    Read();
  } else {
    Close();
  }
  if (on_end) {
    on_end(end, detail);
  }
}

void Http1ClientConnection::Resume() {
  paused_ = false;
  if (connected_) {
    Read();
  }
}

void Http1ClientConnection::Abandon() {
  id_ = 0;
  call_ = {};
  Close();
}

void Http1ClientConnection::Close() {
  timer_.cancel();
  asio::error_code ignored;  // The connection is given up either way.
  socket_.close(ignored);
}

Http1Client::Http1Client(asio::io_context& io, const Http1ClientInit& init)
    : io_(io), init_(init) {}

Http1Client::~Http1Client() {
  for (const auto& [id, connection] : std::exchange(calls_, {})) {
    connection->Abandon();
  }
  for (const auto& [key, connections] : std::exchange(idle_, {})) {
    for (const auto& connection : connections) {
      connection->Abandon();
    }
  }
}

Http1CallId Http1Client::Start(Http1Call call) {
  const Http1CallId id = ++last_id_;
  if (const auto kept = TakeIdle(call)) {
    calls_[id] = kept;
    kept->Begin(id, std::move(call), true);
    return id;
  }
  ++connects_;
  const auto connection =
      std::make_shared<Http1ClientConnection>(this, call.address);
  calls_[id] = connection;
  const SocketAddress address = call.address;
  connection->Begin(id, std::move(call), false);
  connection->Connect(address);
  return id;
}

Http1Client::ConnectionPointer Http1Client::TakeIdle(const Http1Call& call) {
  const auto found = idle_.find(ToString(call.address));
  if (found == idle_.end()) {
    return nullptr;
  }
  const Time now = SteadyNow();
  auto& connections = found->second;
  while (!connections.empty()) {
    ConnectionPointer connection = connections.back();
    connections.pop_back();
    const Duration idle = now - connection->idle_since();
    const Duration announced = connection->announced_idle();
    const bool fresh = idle <= call.max_idle &&
                       (announced == Duration::zero() || idle <= announced);
    if (connection->open() && fresh) {
      return connection;
    }
    connection->Abandon();
  }
  return nullptr;
}

void Http1Client::Keep(const ConnectionPointer& connection) {
  auto& connections = idle_[connection->key()];
  if (connections.size() >= init_.max_idle_connections) {
    connections.front()->Abandon();
    connections.erase(connections.begin());
  }
  connections.push_back(connection);
}

void Http1Client::Drop(const ConnectionPointer& connection) {
  const auto found = idle_.find(connection->key());
  if (found != idle_.end()) {
    std::erase(found->second, connection);
  }
}

void Http1Client::Cancel(Http1CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    const ConnectionPointer connection = found->second;
    calls_.erase(found);
    connection->Abandon();
  }
}

void Http1Client::Pause(Http1CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    found->second->Pause();
  }
}

void Http1Client::Resume(Http1CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    const ConnectionPointer connection = found->second;
    connection->Resume();
  }
}

void Http1Client::CloseIdle(const SocketAddress& address) {
  const auto found = idle_.find(ToString(address));
  if (found != idle_.end()) {
    for (const auto& connection : std::exchange(found->second, {})) {
      connection->Abandon();
    }
  }
}

}  // namespace verbenastile
