#include "io/http1_server.h"

#include <asio/write.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "io/listen.h"
#include "io/shared_read.h"

namespace verbenastile {
namespace {

using Tcp = asio::ip::tcp;

// Bytes read ahead while a request is being answered.
constexpr std::size_t kMaxReadAhead = 65'536;
// How often timeouts of connections are looked at.
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// How long a closed connection is read on, so that the answer is not lost to a
// reset.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

int StatusOf(Http1Error error) {
  switch (error) {
    case Http1Error::kHeaderTooLarge:
      return kHeaderTooLarge;
    case Http1Error::kBodyTooLarge:
      return kTooLarge;
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
        since_(SteadyNow()) {
    asio::error_code error;
    socket_.set_option(Tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    const auto remote = socket_.remote_endpoint(error);
    remote_ip_ = error ? std::string() : remote.address().to_string();
  }

  void Read();
  void Send(std::string bytes, bool ends_answer);
  void EndAnswer();
  void Close();
  void Sweep(Time now);

  bool busy() const { return answering_; }
  bool idle() const { return !answering_ && !parser_.begun() && in_.empty(); }
  std::size_t unsent() const { return out_.size() + writing_.size(); }
  bool closes() const { return closes_ || server_->draining_; }
  void MarkClosing() { closes_ = closes_ || server_->draining_; }

  std::function<void()> on_gone;
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
  void CountBuffered(std::size_t size);
  void Forget();

  Http1Server* server_;
  Tcp::socket socket_;
  Http1Parser parser_;
  Time since_;  // When the present wait began.
  std::string remote_ip_;
  std::string in_;       // Read and not parsed.
  std::string body_;     // Of the request being read.
  std::string out_;      // Not handed to the socket.
  std::string writing_;  // Being written.
  std::size_t buffered_ = 0;
  State state_ = State::kOpen;
  bool reading_ = false;
  bool answering_ = false;
  bool answer_ended_ = false;
  bool closes_ = false;
};

void Http1Connection::Read() {
  if (reading_ || state_ == State::kClosed || in_.size() > kMaxReadAhead) {
    return;
  }
  reading_ = true;
  ReadShared(socket_, [self = shared_from_this()](const asio::error_code& error,
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
    in_.append(bytes);
    if (!answering_) {
      Parse();
    }
  }
  Read();
}

void Http1Connection::Parse() {
  if (!parser_.begun() && !in_.empty()) {
    since_ = SteadyNow();
  }
  const std::size_t used = parser_.Feed(in_);
  in_.erase(0, used);
  body_ += parser_.TakeBody();
  CountBuffered(body_.size());
  if (parser_.error() != Http1Error::kNone) {
    Reject(StatusOf(parser_.error()));
  } else if (parser_.done()) {
    Dispatch();
  } else if (server_->buffered_ > server_->limits_.max_buffered_bytes) {
    Reject(kUnavailable);
  }
}

void Http1Connection::Dispatch() {
  answering_ = true;
  answer_ended_ = false;
  closes_ = !parser_.head().keep_alive;
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
  Log(LogLevel::kWarning, "http", "A request was rejected.",
      {{"status", status}, {"client", remote_ip_}});
  answering_ = true;
  closes_ = true;
  const HttpHeaders headers = {{"Content-Type", "text/plain"}};
  Send(FormatAnswerHead(status, headers, 0, true), true);
}

void Http1Connection::Send(std::string bytes, bool ends_answer) {
  if (state_ != State::kOpen) {
    return;
  }
  out_ += bytes;
  answer_ended_ = answer_ended_ || ends_answer;
  Flush();
}

void Http1Connection::Flush() {
  if (!writing_.empty() || out_.empty()) {
    return;
  }
  writing_.swap(out_);
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
  if (answer_ended_) {
    EndAnswer();
  } else if (on_drained) {
    const auto call = on_drained;
    call();
  }
}

void Http1Connection::EndAnswer() {
  answering_ = false;
  answer_ended_ = false;
  on_gone = nullptr;
  on_drained = nullptr;
  since_ = SteadyNow();
  CountBuffered(0);
  if (closes_) {
    Linger();
    return;
  }
  if (!in_.empty()) {
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
  in_.clear();
  Read();
}

void Http1Connection::Close() {
  if (std::exchange(state_, State::kClosed) == State::kClosed) {
    return;
  }
  asio::error_code ignored;  // The connection is given up either way.
  socket_.close(ignored);
  CountBuffered(0);
  const bool cut = std::exchange(answering_, false);
  const auto gone = std::exchange(on_gone, nullptr);
  on_drained = nullptr;
  Forget();
  if (cut && gone) {
    gone();
  }
}

void Http1Connection::CountBuffered(std::size_t size) {
  server_->buffered_ += size;
  server_->buffered_ -= buffered_;
  buffered_ = size;
}

void Http1Connection::Forget() {
  server_->connections_.erase(shared_from_this());
}

void Http1Connection::Sweep(Time now) {
  const Duration waited = now - since_;
  if (state_ == State::kLingering) {
    if (waited > kLingerTime) {
      Close();
    }
    return;
  }
  if (answering_) {
    return;
  }
  const Duration allowed = idle() || parser_.head_done()
                               ? server_->limits_.idle_timeout
                               : server_->limits_.header_timeout;
  if (waited <= allowed) {
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
  if (!ended_) {
    Abort();
  }
}

void Http1Exchange::Send(int status,
                         const HttpHeaders& headers,
                         std::string_view body) {
  ended_ = true;
  if (const auto connection = connection_.lock()) {
    connection->MarkClosing();
    std::string text =
        FormatAnswerHead(status, headers, body.size(), connection->closes());
    if (head_.method != "HEAD") {
      text.append(body);
    }
    connection->Send(std::move(text), true);
  }
}

void Http1Exchange::Start(int status,
                          const HttpHeaders& headers,
                          std::optional<std::uint64_t> length) {
  chunked_ = !length.has_value();
  if (const auto connection = connection_.lock()) {
    connection->MarkClosing();
    connection->Send(
        FormatAnswerHead(status, headers, length, connection->closes()), false);
  }
}

void Http1Exchange::Write(std::string_view part) {
  const auto connection = connection_.lock();
  if (connection && !part.empty()) {
    connection->Send(chunked_ ? FormatChunk(part) : std::string(part), false);
  }
}

void Http1Exchange::Finish() {
  ended_ = true;
  if (const auto connection = connection_.lock()) {
    if (chunked_) {
      connection->Send(FormatChunk({}), true);
    } else if (connection->unsent() == 0) {
      connection->EndAnswer();
    } else {
      connection->Send({}, true);
    }
  }
}

void Http1Exchange::Abort() {
  ended_ = true;
  if (const auto connection = connection_.lock()) {
    connection->on_gone = nullptr;
    connection->Close();
  }
}

std::size_t Http1Exchange::unsent() const {
  const auto connection = connection_.lock();
  return connection ? connection->unsent() : 0;
}

void Http1Exchange::OnGone(std::function<void()> on_gone) {
  if (const auto connection = connection_.lock()) {
    connection->on_gone = std::move(on_gone);
  }
}

void Http1Exchange::OnDrained(std::function<void()> on_drained) {
  if (const auto connection = connection_.lock()) {
    connection->on_drained = std::move(on_drained);
  }
}

Http1Server::Http1Server(asio::io_context& io, ExchangeHandler handler)
    : io_(io), acceptor_(io), sweep_timer_(io), handler_(std::move(handler)) {}

Http1Server::~Http1Server() {
  for (const auto& connection : std::set(connections_)) {
    connection->on_gone = nullptr;
    connection->Close();
  }
}

std::string Http1Server::Open(const SocketAddress& address) {
  std::string error = Listen(acceptor_, address);
  if (!error.empty()) {
    return error;
  }
  Accept();
  ScheduleSweep();
  return {};
}

void Http1Server::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error,
                                Tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      Log(LogLevel::kWarning, "http", "A connection cannot be accepted.",
          {{"error", error.message()}});
      const auto timer = std::make_shared<asio::steady_timer>(io_);
      timer->expires_after(kAcceptPause);
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
  asio::error_code ignored;  // It may not be open.
  acceptor_.close(ignored);
  for (const auto& connection : std::set(connections_)) {
    if (connection->idle()) {
      connection->Close();
    }
  }
}

void Http1Server::Sweep() {
  const Time now = SteadyNow();
  for (const auto& connection : std::set(connections_)) {
    connection->Sweep(now);
  }
}

void Http1Server::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Sweep();
      ScheduleSweep();
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
