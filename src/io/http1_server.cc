#include "io/http1_server.h"

#include <asio/write.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "io/listen.h"
#include "io/shared_read.h"
#include "io/socket_state.h"

namespace verbenastile {
namespace {

using Tcp = asio::ip::tcp;

// Pipelined bytes that are read while a response is pending.
constexpr std::size_t kMaxReadAhead = 65'536;
// Interval at which connection timeouts are checked.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);
// Time for which input is still read after the write side was shut down.
// Closing a socket with unread input resets the connection, and the client
// could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Delay before accepting again after a failed accept.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

int StatusForError(Http1Error error) {
  switch (error) {
    case Http1Error::kHeaderTooLarge:
      return kHeaderTooLarge;
    case Http1Error::kBodyTooLarge:
      return kContentTooLarge;
    default:
      return kBadRequest;
  }
}

}  // namespace

class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Server* server, Tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        parser_(Http1Parser::Role::kRequest, server->limits_.message),
        wait_start_(SteadyNow()) {
    asio::error_code error;
    socket_.set_option(Tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    const auto remote = socket_.remote_endpoint(error);
    remote_ip_ = error ? std::string() : remote.address().to_string();
  }

  void Read();
  void Send(std::string bytes, bool ends_response);
  void OnResponseSent();
  void Close();
  void CheckTimeouts(Time now);

  bool HasPeerLeft() {
    return state_ == State::kClosed || HasPeerClosed(socket_);
  }
  bool busy() const { return responding_; }
  bool idle() const {
    return !responding_ && !parser_.begun() && unparsed_.empty();
  }
  std::size_t unsent() const {
    return pending_output_.size() + writing_.size();
  }
  bool closes_after_response() const {
    return close_after_response_ || server_->draining_;
  }
  void CloseIfDraining() {
    close_after_response_ = close_after_response_ || server_->draining_;
  }
  // The response under way ends with the connection, so that any other end has
  // to be a reset, that of the process as well.
  void EndResponseWithConnection() {
    close_after_response_ = true;
    SetResetOnClose(true);
  }

  std::function<void()> on_disconnect;
  std::function<void()> on_drained;

 private:
  enum class State : std::uint8_t { kOpen, kLingering, kClosed };

  void OnRead(const asio::error_code& error, std::string_view bytes);
  void Parse();
  void Dispatch();
  void Reject(int status);
  void Flush();
  void OnWritten(const asio::error_code& error);
  void Linger();
  void SetResetOnClose(bool reset);
  void SetBufferedBytes(std::size_t size);
  void RemoveFromServer();

  Http1Server* server_;
  Tcp::socket socket_;
  Http1Parser parser_;
  Time wait_start_;  // Start of the current wait, for timeouts.
  std::string remote_ip_;
  std::string unparsed_;        // Received, not yet parsed.
  std::string body_;            // Body of the request being received.
  std::string pending_output_;  // Not yet passed to async_write.
  std::string writing_;         // Passed to the pending async_write.
  std::size_t buffered_bytes_ = 0;
  State state_ = State::kOpen;
  bool reading_ = false;
  bool responding_ = false;
  bool response_complete_ = false;
  bool close_after_response_ = false;
  bool reset_on_close_ = false;
};

void Http1Connection::Read() {
  if (reading_ || state_ == State::kClosed ||
      unparsed_.size() > kMaxReadAhead) {
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

void Http1Connection::OnRead(const asio::error_code& error,
                             std::string_view bytes) {
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (state_ == State::kOpen) {
    unparsed_.append(bytes);
    if (!responding_) {
      Parse();
    }
  }
  Read();
}

void Http1Connection::Parse() {
  if (!parser_.begun() && !unparsed_.empty()) {
    wait_start_ = SteadyNow();
  }
  const std::size_t consumed = parser_.Feed(unparsed_);
  unparsed_.erase(0, consumed);
  body_ += parser_.TakeBody();
  SetBufferedBytes(body_.size());
  if (parser_.error() != Http1Error::kNone) {
    Reject(StatusForError(parser_.error()));
  } else if (parser_.done()) {
    Dispatch();
  } else if (server_->buffered_bytes_ > server_->limits_.max_buffered_bytes) {
    Reject(kUnavailable);
  }
}

void Http1Connection::Dispatch() {
  responding_ = true;
  response_complete_ = false;
  close_after_response_ = !parser_.head().keep_alive;
  ++server_->requests_;
  auto exchange =
      std::make_shared<Http1Exchange>(weak_from_this(), parser_.TakeHead(),
                                      std::exchange(body_, {}), remote_ip_);
  parser_.Reset();
  parser_.SetLimits(server_->limits_.message);
  server_->handler_(std::move(exchange));
}

void Http1Connection::Reject(int status) {
  ++server_->rejected_;
  Log(LogLevel::kWarning, "http", "HTTP request rejected.",
      {{"status", status}, {"client", remote_ip_}});
  responding_ = true;
  close_after_response_ = true;
  const HttpHeaders headers = {{"Content-Type", "text/plain"}};
  Send(FormatResponseHead(status, headers, {.length = 0}, true), true);
}

void Http1Connection::Send(std::string bytes, bool ends_response) {
  if (state_ != State::kOpen) {
    return;
  }
  pending_output_ += bytes;
  response_complete_ = response_complete_ || ends_response;
  Flush();
}

void Http1Connection::Flush() {
  if (!writing_.empty() || pending_output_.empty()) {
    return;
  }
  writing_.swap(pending_output_);
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void Http1Connection::OnWritten(const asio::error_code& error) {
  writing_.clear();
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  Flush();
  if (!writing_.empty()) {
    return;
  }
  if (response_complete_) {
    OnResponseSent();
  } else if (on_drained) {
    const auto drained_callback = on_drained;
    drained_callback();
  }
}

void Http1Connection::OnResponseSent() {
  responding_ = false;
  response_complete_ = false;
  on_disconnect = nullptr;
  on_drained = nullptr;
  wait_start_ = SteadyNow();
  SetBufferedBytes(0);
  if (reset_on_close_) {
    SetResetOnClose(false);
  }
  if (close_after_response_ || server_->closing_) {
    Linger();
    return;
  }
  if (!unparsed_.empty()) {
    Parse();
  }
  Read();
}

void Http1Connection::Linger() {
  state_ = State::kLingering;
  asio::error_code error;
  socket_.shutdown(Tcp::socket::shutdown_send, error);
  if (error) {
    Close();
    return;
  }
  unparsed_.clear();
  Read();
}

void Http1Connection::SetResetOnClose(bool reset) {
  reset_on_close_ = reset;
  asio::error_code ignored;  // The connection may have failed already.
  socket_.set_option(asio::socket_base::linger(reset, 0), ignored);
}

void Http1Connection::Close() {
  if (std::exchange(state_, State::kClosed) == State::kClosed) {
    return;
  }
  asio::error_code ignored;  // The connection is discarded even on failure.
  socket_.close(ignored);
  SetBufferedBytes(0);
  const bool interrupted = std::exchange(responding_, false);
  const auto callback = std::exchange(on_disconnect, nullptr);
  on_drained = nullptr;
  RemoveFromServer();
  if (interrupted && callback) {
    callback();
  }
}

void Http1Connection::SetBufferedBytes(std::size_t size) {
  server_->buffered_bytes_ += size;
  server_->buffered_bytes_ -= buffered_bytes_;
  buffered_bytes_ = size;
}

void Http1Connection::RemoveFromServer() {
  server_->connections_.erase(shared_from_this());
}

void Http1Connection::CheckTimeouts(Time now) {
  const Duration elapsed = now - wait_start_;
  if (state_ == State::kLingering) {
    if (elapsed > kLingerTime) {
      Close();
    }
    return;
  }
  if (responding_) {
    // Reading rests while much was sent ahead, so that it does not find a
    // close.
    if (!reading_ && HasPeerClosed(socket_)) {
      Close();
    }
    return;
  }
  const Duration allowed = idle() || parser_.head_done()
                               ? server_->limits_.idle_timeout
                               : server_->limits_.header_timeout;
  if (elapsed <= allowed) {
    return;
  }
  if (idle()) {
    Close();
  } else {
    Reject(kRequestTimeout);
  }
}

Http1Exchange::Http1Exchange(std::weak_ptr<Http1Connection> connection,
                             Http1Head head,
                             std::string body,
                             std::string remote_ip)
    : connection_(std::move(connection)),
      head_(std::move(head)),
      body_(std::move(body)),
      remote_ip_(std::move(remote_ip)) {}

Http1Exchange::~Http1Exchange() {
  if (!finished_) {
    Abort();
  }
}

void Http1Exchange::Send(int status,
                         const HttpHeaders& headers,
                         std::string_view body) {
  finished_ = true;
  if (const auto connection = connection_.lock()) {
    connection->CloseIfDraining();
    std::string text =
        FormatResponseHead(status, headers, {.length = body.size()},
                           connection->closes_after_response());
    if (head_.method != "HEAD") {
      text.append(body);
    }
    connection->Send(std::move(text), true);
  }
}

void Http1Exchange::Start(int status,
                          const HttpHeaders& headers,
                          std::optional<std::uint64_t> length) {
  chunked_ = !length && head_.minor_version > 0;
  if (const auto connection = connection_.lock()) {
    connection->CloseIfDraining();
    if (!length && !chunked_) {
      connection->EndResponseWithConnection();
    }
    connection->Send(FormatResponseHead(status, headers, {length, chunked_},
                                        connection->closes_after_response()),
                     false);
  }
}

void Http1Exchange::Write(std::string_view part) {
  const auto connection = connection_.lock();
  if (connection && !part.empty()) {
    connection->Send(chunked_ ? FormatChunk(part) : std::string(part), false);
  }
}

void Http1Exchange::Finish() {
  finished_ = true;
  if (const auto connection = connection_.lock()) {
    if (chunked_) {
      connection->Send(FormatChunk({}), true);
    } else if (connection->unsent() == 0) {
      connection->OnResponseSent();
    } else {
      connection->Send({}, true);
    }
  }
}

void Http1Exchange::Abort() {
  finished_ = true;
  if (const auto connection = connection_.lock()) {
    connection->on_disconnect = nullptr;
    connection->Close();
  }
}

bool Http1Exchange::HasClientLeft() const {
  const auto connection = connection_.lock();
  return !connection || connection->HasPeerLeft();
}

std::size_t Http1Exchange::unsent() const {
  const auto connection = connection_.lock();
  return connection ? connection->unsent() : 0;
}

void Http1Exchange::OnDisconnect(std::function<void()> on_disconnect) {
  if (const auto connection = connection_.lock()) {
    connection->on_disconnect = std::move(on_disconnect);
  }
}

void Http1Exchange::OnDrained(std::function<void()> on_drained) {
  if (const auto connection = connection_.lock()) {
    connection->on_drained = std::move(on_drained);
  }
}

Http1Server::Http1Server(asio::io_context& io, ExchangeHandler handler)
    : io_(io),
      acceptor_(io),
      timeout_timer_(io),
      handler_(std::move(handler)) {}

Http1Server::~Http1Server() {
  for (const auto& connection : std::set(connections_)) {
    connection->on_disconnect = nullptr;
    connection->Close();
  }
}

std::string Http1Server::Open(const SocketAddress& address) {
  std::string error = Listen(acceptor_, address);
  if (!error.empty()) {
    return error;
  }
  Accept();
  ScheduleTimeoutCheck();
  return {};
}

void Http1Server::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error,
                                Tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      Log(LogLevel::kWarning, "http", "Failed to accept a connection.",
          {{"error", error.message()}});
      const auto timer = std::make_shared<asio::steady_timer>(io_);
      timer->expires_after(kAcceptRetryDelay);
      timer->async_wait([this, timer](const asio::error_code&) { Accept(); });
      return;
    }
    if (connections_.size() < limits_.max_connections) {
      const auto connection =
          std::make_shared<Http1Connection>(this, std::move(socket));
      connections_.insert(connection);
      connection->Read();
    } else {
      ++rejected_;
    }
    Accept();
  });
}

void Http1Server::SetLimits(const Http1ServerLimits& limits) {
  limits_ = limits;
}

void Http1Server::CloseIdle() {
  asio::error_code ignored;  // The acceptor may not be open.
  acceptor_.close(ignored);
  closing_ = true;
  for (const auto& connection : std::set(connections_)) {
    if (connection->idle()) {
      connection->Close();
    }
  }
}

void Http1Server::CheckTimeouts() {
  const Time now = SteadyNow();
  for (const auto& connection : std::set(connections_)) {
    connection->CheckTimeouts(now);
  }
}

void Http1Server::ScheduleTimeoutCheck() {
  timeout_timer_.expires_after(kTimeoutCheckInterval);
  timeout_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
        if (!error && !alive.expired()) {
          CheckTimeouts();
          ScheduleTimeoutCheck();
        }
      });
}

SocketAddress Http1Server::address() const {
  asio::error_code error;
  const auto endpoint = acceptor_.local_endpoint(error);
  return error ? SocketAddress{}
               : SocketAddress{endpoint.address().to_string(), endpoint.port()};
}

Http1ServerStats Http1Server::stats() const {
  Http1ServerStats stats{connections_.size(), 0, requests_, rejected_};
  for (const auto& connection : connections_) {
    stats.busy += connection->busy() ? 1 : 0;
  }
  return stats;
}

}  // namespace verbenastile
