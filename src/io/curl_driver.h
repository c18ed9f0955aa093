// Runs libcurl's multi interface on an Asio event loop and tracks the sockets
// that libcurl has open.
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

// Not thread-safe: use only on the thread that runs its `io_context`.
class CurlDriver {
 public:
  // `on_done` is called for each finished transfer and may remove its handle.
  CurlDriver(asio::io_context& io,
             std::size_t max_idle,
             std::function<void(CURL*, CURLcode)> on_done);
  ~CurlDriver();
  CurlDriver(const CurlDriver&) = delete;
  CurlDriver& operator=(const CurlDriver&) = delete;

  CURLM* multi() const { return multi_.get(); }

  // Makes `easy` close its sockets through the driver. Its sockets must be
  // opened with `OpenSocket`.
  void SetCloseCallback(CURL* easy);
  curl_socket_t OpenSocket(const curl_sockaddr& address);

  // Runs `task`, which calls into libcurl, and then reports finished transfers.
  // Adding and removing handles does not need it.
  template <typename Task>
  void CallCurl(Task task) {
    in_curl_ = true;
    task();
    in_curl_ = false;
    ReportFinishedTransfers();
  }

  // Runs `task` now, or posts it to the event loop if called from within
  // libcurl.
  void RunOrDefer(std::function<void()> task);

  // Whether the idle connection on `local_port` can carry a new request: it is
  // open, and no unsolicited data has arrived on it.
  bool IsReusable(int local_port);

 private:
  // A libcurl socket on which Asio waits for events.
  struct Watch {
    Watch(asio::io_context& io, curl_socket_t fd) : descriptor(io, fd) {}
    asio::posix::stream_descriptor descriptor;
    int events = 0;  // CURL_POLL_IN and CURL_POLL_OUT.
    bool read_pending = false;
    bool write_pending = false;
    bool removed = false;
  };

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* user, void*);
  static int OnTimer(CURLM*, long milliseconds, void* user);
  static int OnCloseSocket(void* user, curl_socket_t fd);

  void RemoveWatch(curl_socket_t fd);
  void StartWaits(curl_socket_t fd, const std::shared_ptr<Watch>& watch);
  void OnReady(curl_socket_t fd,
               const std::shared_ptr<Watch>& watch,
               int flag,
               const asio::error_code& error);
  void RunSocketAction(curl_socket_t fd, int flags);
  void ReportFinishedTransfers();
  void ResolveLocalPorts();

  asio::io_context& io_;
  asio::steady_timer timer_;
  std::function<void(CURL*, CURLcode)> on_done_;
  std::unique_ptr<CURLM, MultiDeleter> multi_;
  std::map<curl_socket_t, std::shared_ptr<Watch>> watches_;
  std::set<curl_socket_t> sockets_without_port_;  // Local port not yet known.
  std::map<int, curl_socket_t> socket_by_port_;   // Keyed by local port.
  std::map<curl_socket_t, int> port_by_socket_;
  bool in_curl_ = false;
  // Set to false on destruction, for pending handlers that outlive the driver.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace verbenastile

#endif  // IO_CURL_DRIVER_H_
