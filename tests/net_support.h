// Blocking sockets for tests that exchange raw bytes with the code under test,
// which runs on the event loop of a separate thread.
#ifndef TESTS_NET_SUPPORT_H_
#define TESTS_NET_SUPPORT_H_

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <future>
#include <latch>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

#include "config/settings.h"

namespace verbenastile {

// Blocking reads and writes fail after this time, so that a bug makes a test
// fail rather than hang.
constexpr int kSocketTimeoutSeconds = 20;

// Loopback address used by the tests. The system assigns the ports.
constexpr const char* kTestIp = "127.0.40.1";

// Runs an io_context on a separate thread until destroyed.
class LoopThread {
 public:
  LoopThread() : thread_([this] { io.run(); }) {}
  ~LoopThread() {
    io.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  // Runs `task` on the event loop and returns its result.
  template <typename Task>
  auto Call(Task task) -> decltype(task()) {
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto result = packaged.get_future();
    asio::post(io, [&] { packaged(); });
    return result.get();
  }

  asio::io_context io{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_{
      io.get_executor()};
  std::thread thread_;
};

// Keeps an event loop from running until the destructor or `Resume`.
class LoopPause {
 public:
  explicit LoopPause(LoopThread& loop) {
    std::promise<void> paused;
    asio::post(loop.io, [&paused, resumed = resumed_] {
      paused.set_value();
      resumed->wait();
    });
    paused.get_future().wait();
  }
  ~LoopPause() { Resume(); }
  LoopPause(const LoopPause&) = delete;
  LoopPause& operator=(const LoopPause&) = delete;

  void Resume() {
    if (!std::exchange(is_over_, true)) {
      resumed_->count_down();
    }
  }

 private:
  std::shared_ptr<std::latch> resumed_ = std::make_shared<std::latch>(1);
  bool is_over_ = false;
};

// A TCP connection with blocking reads and writes.
class RawConnection {
 public:
  explicit RawConnection(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {
    const timeval timeout{kSocketTimeoutSeconds, 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout,
               sizeof(timeout));
  }

  static RawConnection ConnectTo(asio::io_context& io,
                                 const SocketAddress& address) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    return RawConnection(std::move(socket));
  }

  void Write(std::string_view text) {
    asio::error_code ignored;
    asio::write(socket_, asio::buffer(text), ignored);
  }

  // Returns false if the connection has ended.
  bool TryWrite(std::string_view text) {
    asio::error_code error;
    asio::write(socket_, asio::buffer(text), error);
    return !error;
  }

  // Reads through `end`. Returns what was received if the connection ends
  // first.
  std::string ReadUntil(std::string_view end) {
    for (;;) {
      const auto found = buffer_.find(end);
      if (found != std::string::npos) {
        return TakeFromBuffer(found + end.size());
      }
      if (!ReadMore()) {
        return TakeFromBuffer(buffer_.size());
      }
    }
  }

  // Reads `size` bytes, or fewer if the connection ends first.
  std::string ReadBytes(std::size_t size) {
    while (buffer_.size() < size && ReadMore()) {
    }
    return TakeFromBuffer(std::min(size, buffer_.size()));
  }

  // Reads until the connection ends.
  std::string ReadAll() {
    while (ReadMore()) {
    }
    return TakeFromBuffer(buffer_.size());
  }

  // Reads a request, with its body if it has a Content-Length.
  std::string ReadRequest() {
    std::string request = ReadUntil("\r\n\r\n");
    const auto length = request.find("Content-Length: ");
    if (length != std::string::npos) {
      request += ReadBytes(std::stoul(request.substr(length + 16)));
    }
    return request;
  }

  // Whether the connection ended with a reset, as far as it was read.
  bool was_reset() const { return was_reset_; }

  // Whether the peer has closed the connection and all data was read. Blocks
  // until data arrives or the connection ends.
  bool AtEnd() { return buffer_.empty() && !ReadMore(); }

  void Close() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }
  // Ends the output; input is still received.
  void EndOutput() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  // Closes with a reset.
  void Reset() {
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  bool ReadMore() {
    char data[16'384];
    asio::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(data), error);
    buffer_.append(data, size);
    was_reset_ = was_reset_ || error == asio::error::connection_reset;
    return !error && size > 0;
  }

  std::string TakeFromBuffer(std::size_t size) {
    std::string taken = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return taken;
  }

  asio::ip::tcp::socket socket_;
  std::string buffer_;
  bool was_reset_ = false;
};

// Listening socket on a port assigned by the system.
class RawListener {
 public:
  RawListener() : acceptor_(io_, {asio::ip::make_address(kTestIp), 0}, true) {}

  // Throws if no connection comes in time.
  RawConnection Accept() {
    pollfd state = {acceptor_.native_handle(), POLLIN, 0};
    if (poll(&state, 1, kSocketTimeoutSeconds * 1'000) <= 0) {
      throw std::runtime_error("no connection came to " + ToString(address()));
    }
    return RawConnection(acceptor_.accept());
  }

  // Accepts a connection from the queue without blocking, if there is one.
  std::optional<RawConnection> TryAccept() {
    asio::error_code error;
    acceptor_.non_blocking(true);
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    acceptor_.non_blocking(false);
    if (error) {
      return std::nullopt;
    }
    return RawConnection(std::move(socket));
  }

  // Refuses connections until `Reopen`, which listens on the same port again.
  void Close() { acceptor_.close(); }
  void Reopen() { acceptor_ = asio::ip::tcp::acceptor(io_, endpoint_, true); }

  SocketAddress address() const { return {kTestIp, endpoint_.port()}; }
  std::string url() const { return "http://" + ToString(address()) + "/"; }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint endpoint_ = acceptor_.local_endpoint();
};

}  // namespace verbenastile

#endif  // TESTS_NET_SUPPORT_H_
