// Plain sockets for tests that talk to the code under test byte by byte. The
// code under test runs on a loop of its own thread; the test's thread blocks.
#ifndef TESTS_NET_SUPPORT_H_
#define TESTS_NET_SUPPORT_H_

#include <sys/socket.h>
#include <sys/time.h>
#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <future>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "config/settings.h"

namespace verbenastile {

// A stuck read fails after this, so that a fault shows and does not hang.
constexpr int kSocketPatienceSeconds = 20;

// Loopback address of the tests; ports are chosen by the system.
constexpr const char* kTestIp = "127.0.40.1";

// Runs an io_context on a thread until it is destroyed.
class LoopThread {
 public:
  LoopThread() : thread_([this] { io.run(); }) {}
  ~LoopThread() {
    io.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  // Runs `task` on the loop and returns what it returned.
  template <typename Task>
  auto Call(Task task) -> decltype(task()) {
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto result = packaged.get_future();
    asio::post(io, [&] { packaged(); });
    return result.get();
  }

  asio::io_context io{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> guard_{
      io.get_executor()};
  std::thread thread_;
};

// One connection, read and written in blocking steps.
class RawConnection {
 public:
  explicit RawConnection(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {
    const timeval patience{kSocketPatienceSeconds, 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience,
               sizeof(patience));
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &patience,
               sizeof(patience));
  }

  static RawConnection To(asio::io_context& io, const SocketAddress& address) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    return RawConnection(std::move(socket));
  }

  void Write(std::string_view text) {
    asio::error_code ignored;
    asio::write(socket_, asio::buffer(text), ignored);
  }

  // Reads up to and with `end`; what was read when the connection ends first.
  std::string ReadUntil(std::string_view end) {
    for (;;) {
      const auto found = buffer_.find(end);
      if (found != std::string::npos) {
        return Take(found + end.size());
      }
      if (!Fill()) {
        return Take(buffer_.size());
      }
    }
  }

  // Reads `size` bytes, or fewer when the connection ends first.
  std::string ReadBytes(std::size_t size) {
    while (buffer_.size() < size && Fill()) {
    }
    return Take(std::min(size, buffer_.size()));
  }

  // Reads to the end of the connection.
  std::string ReadAll() {
    while (Fill()) {
    }
    return Take(buffer_.size());
  }

  // A request with its body when it has a Content-Length.
  std::string ReadRequest() {
    std::string request = ReadUntil("\r\n\r\n");
    const auto length = request.find("Content-Length: ");
    if (length != std::string::npos) {
      request += ReadBytes(std::stoul(request.substr(length + 16)));
    }
    return request;
  }

  // Whether the other side has closed, when nothing is left to read.
  bool AtEnd() { return buffer_.empty() && !Fill(); }

  void Close() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

 private:
  bool Fill() {
    char data[16'384];
    asio::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(data), error);
    buffer_.append(data, size);
    return !error && size > 0;
  }

  std::string Take(std::size_t size) {
    std::string taken = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return taken;
  }

  asio::ip::tcp::socket socket_;
  std::string buffer_;
};

// Listens on a free port.
class RawListener {
 public:
  RawListener() : acceptor_(io_, {asio::ip::make_address(kTestIp), 0}, true) {}

  RawConnection Accept() { return RawConnection(acceptor_.accept()); }

  // The next connection that is waiting already; none otherwise.
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

  SocketAddress address() const {
    return {kTestIp, acceptor_.local_endpoint().port()};
  }
  std::string url() const { return "http://" + ToString(address()) + "/"; }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace verbenastile

#endif  // TESTS_NET_SUPPORT_H_
