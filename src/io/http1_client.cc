#include "io/http1_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "io/http1_syntax.h"
#include "io/shared_read.h"
#include "io/socket_state.h"

namespace verbenastile {
namespace {

using Tcp = asio::ip::tcp;

// Unanswered TCP keepalive probes after which a connection is closed.
constexpr int kMaxUnansweredProbes = 2;
// A connection is reused for only 7/10 of the idle timeout that the server
// announces.
constexpr int kIdleTimeoutNumerator = 7;
constexpr int kIdleTimeoutDenominator = 10;
// Bytes of interim responses and of responses to earlier requests that are
// skipped while a call waits for its response.
constexpr std::size_t kMaxSkippedBytes = 4'194'304;
// Interval at which output that the server has yet to acknowledge is checked
// once the server has ended the connection.
constexpr Duration kAcknowledgementCheckInterval = std::chrono::milliseconds(5);

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

// Returns the "timeout" parameter of the Keep-Alive header in seconds, or 0 if
// it is missing or invalid.
int KeepAliveTimeoutSeconds(const HttpHeaders& headers) {
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const auto text = FindHeader(headers, "keep-alive");
  const auto at = text.find(kTimeoutParameter);
  int seconds = 0;
  if (at != std::string_view::npos) {
    const auto digits = text.substr(at + kTimeoutParameter.size());
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
        parser_(Http1Parser::Role::kResponse, {}) {}

  void Connect(const SocketAddress& address);
  void Begin(Http1CallId id, Http1Call call, bool reused);
  void Abort();
  void Pause() { paused_ = true; }
  void Resume();

  const std::string& key() const { return key_; }
  Time idle_since() const { return idle_since_; }
  Duration server_idle_timeout() const { return server_idle_timeout_; }
  // Whether a request may be sent on the connection, which is idle. Bytes that
  // arrived before the request belong to an earlier one.
  bool IsReusable() { return socket_.is_open() && !HasUnreadInput(socket_); }

 private:
  void OnConnected(const asio::error_code& error);
  void ExpectResponse();
  void Write();
  void Read();
  void OnWritten(const asio::error_code& error);
  void OnRead(const asio::error_code& error, std::string_view bytes);
  void OnEndOfStream();
  void Parse();
  bool LacksRequestId() const;
  bool SkipUnrelatedResponse();
  void DeliverBody();
  void OnResponseComplete();
  void EndCall(Http1CallResult end, std::string_view detail, bool keep);
  void SetSocketOptions();
  void Close();

  Http1Client* owner_;
  std::string key_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  Http1Parser parser_;
  Http1CallId id_ = 0;
  Http1Call call_;
  std::string request_bytes_;
  std::string unparsed_;
  std::size_t skipped_bytes_ = 0;
  Time idle_since_;
  Duration server_idle_timeout_{0};
  bool connected_ = false;
  bool reused_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool writing_ = false;
  bool sent_ = false;
  bool head_delivered_ = false;
  bool skipping_response_ = false;
  bool reached_eof_ = false;
  asio::error_code write_error_;
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
  timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& wait_error) {
        if (!wait_error && !self->connected_) {
          self->OnConnected(asio::error::timed_out);
        }
      });
  socket_.async_connect(endpoint, [self = shared_from_this()](
                                      const asio::error_code& connect_error) {
    if (connect_error != asio::error::operation_aborted) {
      self->OnConnected(connect_error);
    }
  });
}

void Http1ClientConnection::OnConnected(const asio::error_code& error) {
  if (id_ == 0 || connected_) {
    return;
  }
  timer_.cancel();
  if (error) {
    EndCall(Http1CallResult::kNotSent, error.message(), false);
    return;
  }
  connected_ = true;
  SetSocketOptions();
  Write();
  Read();
}

void Http1ClientConnection::SetSocketOptions() {
  asio::error_code ignored;  // The connection works without these options.
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
    socket_.set_option(Count(kMaxUnansweredProbes), ignored);
    socket_.set_option(
        UserTimeout(seconds * (kMaxUnansweredProbes + 1) * kMsPerSecond),
        ignored);
  }
}

void Http1ClientConnection::Begin(Http1CallId id, Http1Call call, bool reused) {
  id_ = id;
  call_ = std::move(call);
  parser_.SetLimits(call_.limits);
  ExpectResponse();
  sent_ = false;
  head_delivered_ = false;
  skipping_response_ = false;
  skipped_bytes_ = 0;
  reused_ = reused;
  paused_ = false;
  request_bytes_ = FormatRequest(call_);
  if (reused) {
    Write();
    Read();
  }
}

// Prepares the parser for a response to the call.
void Http1ClientConnection::ExpectResponse() {
  parser_.Reset();
  if (call_.method == "HEAD") {
    parser_.ExpectNoBody();
  }
}

void Http1ClientConnection::Write() {
  sent_ = true;
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(request_bytes_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        self->writing_ = false;
        self->OnWritten(error);
      });
}

// A failure does not end the call: the read that follows delivers what the
// server sent before, which may be a whole response. The system reports a reset
// only once, so that this read may find an end without an error.
void Http1ClientConnection::OnWritten(const asio::error_code& error) {
  write_error_ = error;
  if (id_ != 0 && reached_eof_) {
    OnEndOfStream();
  }
}

void Http1ClientConnection::Read() {
  if (reading_ || paused_ || reached_eof_ || !socket_.is_open()) {
    return;
  }
  reading_ = true;
  ReadWithSharedBuffer(
      socket_, [self = shared_from_this()](const asio::error_code& error,
                                           std::string_view bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void Http1ClientConnection::OnRead(const asio::error_code& error,
                                   std::string_view bytes) {
  if (id_ == 0) {
    // On an idle connection, the server either closed it or sent bytes that
    // belong to no request. It cannot be reused in either case.
    if (error != asio::error::operation_aborted) {
      const auto self = shared_from_this();
      owner_->RemoveIdle(self);
      Close();
    }
    return;
  }
  if (error) {
    const bool is_eof = error == asio::error::eof;
    if (is_eof && !skipping_response_ && parser_.FeedEnd()) {
      reached_eof_ = true;
      OnEndOfStream();
      return;
    }
    EndCall(Http1CallResult::kIncomplete, error.message(), false);
    return;
  }
  unparsed_.append(bytes);
  Parse();
  if (id_ != 0) {
    Read();
  }
}

// Ends a call whose response has no length. The response is complete only if
// the server got all of the request and then ended the connection without a
// failure; whether it did is not known before it has acknowledged the request.
void Http1ClientConnection::OnEndOfStream() {
  if (!write_error_) {
    write_error_ = TakeSocketError(socket_);
  }
  if (write_error_) {
    EndCall(Http1CallResult::kIncomplete, write_error_.message(), false);
    return;
  }
  if (writing_) {
    return;
  }
  if (!HasUnacknowledgedOutput(socket_)) {
    OnResponseComplete();
    return;
  }
  timer_.expires_after(kAcknowledgementCheckInterval);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && self->id_ != 0) {
      self->OnEndOfStream();
    }
  });
}

void Http1ClientConnection::Parse() {
  while (id_ != 0 && !unparsed_.empty() && !parser_.done()) {
    const std::size_t used = parser_.Feed(unparsed_);
    unparsed_.erase(0, used);
    if (parser_.error() != Http1Error::kNone) {
      const bool malformed = parser_.error() == Http1Error::kMalformed;
      EndCall(Http1CallResult::kIncomplete,
              malformed ? "the response is not valid HTTP/1.1"
                        : "the response is too large",
              false);
      return;
    }
    if (!parser_.head_done()) {
      continue;
    }
    if (LacksRequestId()) {
      EndCall(Http1CallResult::kIncomplete,
              "the answer on a reused connection does not name its request",
              false);
      return;
    }
    if (SkipUnrelatedResponse()) {
      skipped_bytes_ += used;
      if (skipped_bytes_ > kMaxSkippedBytes) {
        EndCall(Http1CallResult::kIncomplete,
                "too many bytes that belong to no call", false);
        return;
      }
      continue;
    }
    if (!head_delivered_) {
      head_delivered_ = true;
      if (call_.on_head) {
        const auto on_head = call_.on_head;
        on_head(parser_.head());
      }
    }
    DeliverBody();
  }
  if (id_ != 0 && parser_.done()) {
    OnResponseComplete();
  }
}

// Whether the current message may be a late copy of the response to an earlier
// request, because it does not say which request it belongs to.
bool Http1ClientConnection::LacksRequestId() const {
  const Http1Head& head = parser_.head();
  return reused_ && !head_delivered_ && !call_.echo.value.empty() &&
         head.status >= kFirstFinalStatus &&
         FindHeader(head.headers, call_.echo.header).empty();
}

// Returns whether the current message is an interim (1xx) response or the
// response to an earlier request. Such a message is discarded, and the parser
// is reset once it is complete.
bool Http1ClientConnection::SkipUnrelatedResponse() {
  if (!head_delivered_ && !skipping_response_) {
    const Http1Head& head = parser_.head();
    const auto id = FindHeader(head.headers, call_.echo.header);
    const bool is_other_request =
        !call_.echo.value.empty() && !id.empty() && id != call_.echo.value;
    skipping_response_ = is_other_request || head.status < kFirstFinalStatus;
  }
  if (!skipping_response_) {
    return false;
  }
  parser_.TakeBody();
  if (parser_.done()) {
    skipping_response_ = false;
    ExpectResponse();
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

void Http1ClientConnection::OnResponseComplete() {
  DeliverBody();
  if (id_ == 0) {
    return;
  }
  const Http1Head& head = parser_.head();
  const int seconds = KeepAliveTimeoutSeconds(head.headers);
  server_idle_timeout_ = std::chrono::milliseconds(
      std::int64_t{seconds} * 1000 * kIdleTimeoutNumerator /
      kIdleTimeoutDenominator);
  // The connection is not reused if the response arrived before the request was
  // fully written or if extra bytes followed it: a later response could then be
  // matched to the wrong request.
  const bool is_written = !writing_ && !write_error_;
  const bool keep =
      head.keep_alive && unparsed_.empty() && is_written && !reached_eof_;
  EndCall(Http1CallResult::kComplete, {}, keep);
}

void Http1ClientConnection::EndCall(Http1CallResult end,
                                    std::string_view detail,
                                    bool keep) {
  const auto self = shared_from_this();
  const auto on_end = std::move(call_.on_end);
  owner_->calls_.erase(std::exchange(id_, 0));
  call_ = {};
  if (keep) {
    idle_since_ = SteadyNow();
    owner_->AddIdle(self);
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

void Http1ClientConnection::Abort() {
  id_ = 0;
  call_ = {};
  Close();
}

void Http1ClientConnection::Close() {
  timer_.cancel();
  asio::error_code ignored;  // The connection is discarded even on failure.
  socket_.close(ignored);
}

Http1Client::Http1Client(asio::io_context& io, const Http1ClientInit& init)
    : io_(io), init_(init) {}

Http1Client::~Http1Client() {
  for (const auto& [id, connection] : std::exchange(calls_, {})) {
    connection->Abort();
  }
  for (const auto& [key, connections] : std::exchange(idle_, {})) {
    for (const auto& connection : connections) {
      connection->Abort();
    }
  }
}

Http1CallId Http1Client::Start(Http1Call call) {
  const Http1CallId id = ++last_id_;
  if (const auto reused = TakeIdle(call)) {
    calls_[id] = reused;
    reused->Begin(id, std::move(call), true);
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
    const Duration server_limit = connection->server_idle_timeout();
    const bool is_recent =
        idle < call.max_idle &&
        (server_limit == Duration::zero() || idle <= server_limit);
    if (is_recent && connection->IsReusable()) {
      return connection;
    }
    connection->Abort();
  }
  return nullptr;
}

void Http1Client::AddIdle(const ConnectionPointer& connection) {
  auto& connections = idle_[connection->key()];
  if (connections.size() >= init_.max_idle_connections) {
    connections.front()->Abort();
    connections.erase(connections.begin());
  }
  connections.push_back(connection);
}

void Http1Client::RemoveIdle(const ConnectionPointer& connection) {
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
    connection->Abort();
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

bool Http1Client::HasIdle(const SocketAddress& address) const {
  const auto found = idle_.find(ToString(address));
  return found != idle_.end() && !found->second.empty();
}

void Http1Client::CloseIdle(const SocketAddress& address) {
  const auto found = idle_.find(ToString(address));
  if (found != idle_.end()) {
    for (const auto& connection : std::exchange(found->second, {})) {
      connection->Abort();
    }
  }
}

}  // namespace verbenastile
