// Runs libcurl's multi interface on an Asio loop, and knows the sockets that
// libcurl has open.
#ifndef IO_CURL_DRIVER_H_
#define IO_CURL_DRIVER_H_

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace verbenastile {

struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

// Belongs to the thread of its `io_context`.
class CurlDriver {
 public:
  // `on_done` gets each transfer that has ended; it may remove the handle.
  CurlDriver(asio::io_context& io,
             std::size_t max_idle,
             std::function<void(CURL*, CURLcode)> on_done);
  ~CurlDriver();
  CurlDriver(const CurlDriver&) = delete;
  CurlDriver& operator=(const CurlDriver&) = delete;

  CURLM* multi() const { return multi_.get(); }

  // Makes `easy` close its sockets through the driver; it has to open them by
  // `OpenSocket`.
  void Adopt(CURL* easy);
  curl_socket_t OpenSocket(const curl_sockaddr& address);

  // Runs `task`, which enters libcurl other than by adding or removing.
  template <typename Task>
  void Enter(Task task) {
    inside_ = true;
    task();
    inside_ = false;
    ReportDone();
  }

  // Runs `task` now, or from the loop when libcurl is running.
  void RunOutside(std::function<void()> task);

  // Whether the kept connection on `local_port` can carry a new request: it is
  // open, and nothing that nobody asked for has arrived on it.
  bool IsQuiet(int local_port);

 private:
  // A socket of libcurl that Asio waits for.
  struct Watch {
    Watch(asio::io_context& io, curl_socket_t fd) : descriptor(io, fd) {}
    asio::posix::stream_descriptor descriptor;
    int wanted = 0;  // CURL_POLL_IN and CURL_POLL_OUT.
    bool waits_in = false;
    bool waits_out = false;
    bool removed = false;
  };

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* user, void*);
  static int OnTimer(CURLM*, long milliseconds, void* user);
  static int OnCloseSocket(void* user, curl_socket_t fd);

  void RemoveWatch(curl_socket_t fd);
  void Arm(curl_socket_t fd, const std::shared_ptr<Watch>& watch);
  void OnReady(curl_socket_t fd,
               const std::shared_ptr<Watch>& watch,
               int flag,
               const asio::error_code& error);
  void Act(curl_socket_t fd, int flags);
  void ReportDone();
  void LearnPorts();

  asio::io_context& io_;
  asio::steady_timer timer_;
  std::function<void(CURL*, CURLcode)> on_done_;
  std::unique_ptr<CURLM, MultiDeleter> multi_;
  std::map<curl_socket_t, std::shared_ptr<Watch>> watches_;
  std::set<curl_socket_t> unnamed_;       // Without a known port.
  std::map<int, curl_socket_t> by_port_;  // By local port.
  std::map<curl_socket_t, int> port_of_;
  bool inside_ = false;
  // Handlers that outlive the driver see false here.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenastile

#endif  // IO_CURL_DRIVER_H_
