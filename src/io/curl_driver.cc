#include "io/curl_driver.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <asio/post.hpp>

namespace verbenastile {
namespace {

// Initializes libcurl once per process.
class CurlGlobal {
 public:
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~CurlGlobal() { curl_global_cleanup(); }
};

void EnsureCurlGlobal() {
  static const CurlGlobal global;
}

// Returns the local port of `fd`, or 0 while none is assigned.
int LocalPort(curl_socket_t fd) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
}

}  // namespace

CurlDriver::CurlDriver(asio::io_context& io,
                       std::size_t max_idle,
                       std::function<void(CURL*, CURLcode)> on_done)
    : io_(io), timer_(io), on_done_(std::move(on_done)) {
  EnsureCurlGlobal();
  multi_.reset(curl_multi_init());
  curl_multi_setopt(multi_.get(), CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_.get(), CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_.get(), CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(multi_.get(), CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(max_idle));
}

CurlDriver::~CurlDriver() {
  *alive_ = false;
  multi_.reset();
  for (auto& [fd, watch] : watches_) {
    watch->descriptor.release();
  }
}

void CurlDriver::SetCloseCallback(CURL* easy) {
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
}

void CurlDriver::RunOrDefer(std::function<void()> task) {
  if (!in_curl_) {
    task();
    return;
  }
  asio::post(io_, [alive = alive_, task = std::move(task)] {
    if (*alive) {
      task();
    }
  });
}

bool CurlDriver::IsReusable(int local_port) {
  ResolveLocalPorts();
  const auto found = socket_by_port_.find(local_port);
  if (found == socket_by_port_.end()) {
    return true;
  }
  char byte = 0;
  const auto size = recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void CurlDriver::ResolveLocalPorts() {
  for (auto it = sockets_without_port_.begin();
       it != sockets_without_port_.end();) {
    const int port = LocalPort(*it);
    if (port == 0) {
      ++it;
      continue;
    }
    socket_by_port_[port] = *it;
    port_by_socket_[*it] = port;
    it = sockets_without_port_.erase(it);
  }
}

curl_socket_t CurlDriver::OpenSocket(const curl_sockaddr& address) {
  const curl_socket_t fd =
      socket(address.family, address.socktype | SOCK_CLOEXEC, address.protocol);
  if (fd != CURL_SOCKET_BAD) {
    sockets_without_port_.insert(fd);
  }
  return fd;
}

int CurlDriver::OnCloseSocket(void* user, curl_socket_t fd) {
  auto* self = static_cast<CurlDriver*>(user);
  self->RemoveWatch(fd);
  self->sockets_without_port_.erase(fd);
  const auto port = self->port_by_socket_.find(fd);
  if (port != self->port_by_socket_.end()) {
    const auto by_port = self->socket_by_port_.find(port->second);
    if (by_port != self->socket_by_port_.end() && by_port->second == fd) {
      self->socket_by_port_.erase(by_port);
    }
    self->port_by_socket_.erase(port);
  }
  return close(fd);
}

int CurlDriver::OnSocket(CURL*, curl_socket_t fd, int what, void* user, void*) {
  auto* self = static_cast<CurlDriver*>(user);
  if (what == CURL_POLL_REMOVE) {
    self->RemoveWatch(fd);
    return 0;
  }
  auto& watch = self->watches_[fd];
  if (!watch) {
    watch = std::make_shared<Watch>(self->io_, fd);
  }
  watch->events = what;
  self->StartWaits(fd, watch);
  return 0;
}

void CurlDriver::RemoveWatch(curl_socket_t fd) {
  const auto found = watches_.find(fd);
  if (found == watches_.end()) {
    return;
  }
  found->second->removed = true;
  found->second->descriptor.release();
  watches_.erase(found);
}

void CurlDriver::StartWaits(curl_socket_t fd,
                            const std::shared_ptr<Watch>& watch) {
  using Descriptor = asio::posix::stream_descriptor;
  if ((watch->events & CURL_POLL_IN) != 0 && !watch->read_pending) {
    watch->read_pending = true;
    watch->descriptor.async_wait(
        Descriptor::wait_read,
        [this, alive = alive_, fd, watch](const asio::error_code& error) {
          watch->read_pending = false;
          if (*alive) {
            OnReady(fd, watch, CURL_CSELECT_IN, error);
          }
        });
  }
  if ((watch->events & CURL_POLL_OUT) != 0 && !watch->write_pending) {
    watch->write_pending = true;
    watch->descriptor.async_wait(
        Descriptor::wait_write,
        [this, alive = alive_, fd, watch](const asio::error_code& error) {
          watch->write_pending = false;
          if (*alive) {
            OnReady(fd, watch, CURL_CSELECT_OUT, error);
          }
        });
  }
}

void CurlDriver::OnReady(curl_socket_t fd,
                         const std::shared_ptr<Watch>& watch,
                         int flag,
                         const asio::error_code& error) {
  if (watch->removed || error == asio::error::operation_aborted) {
    return;
  }
  if ((watch->events &
       (flag == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT)) == 0) {
    return;  // No longer requested, for example after a pause.
  }
  const auto alive = alive_;
  RunSocketAction(fd, error ? CURL_CSELECT_ERR : flag);
  if (*alive && !watch->removed) {
    StartWaits(fd, watch);
  }
}

int CurlDriver::OnTimer(CURLM*, long milliseconds, void* user) {
  auto* self = static_cast<CurlDriver*>(user);
  if (milliseconds < 0) {
    self->timer_.cancel();
    return 0;
  }
  self->timer_.expires_after(std::chrono::milliseconds(milliseconds));
  self->timer_.async_wait(
      [self, alive = self->alive_](const asio::error_code& error) {
        if (!error && *alive) {
          self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
        }
      });
  return 0;
}

void CurlDriver::RunSocketAction(curl_socket_t fd, int flags) {
  CallCurl([&] {
    int running = 0;
    curl_multi_socket_action(multi_.get(), fd, flags, &running);
  });
}

void CurlDriver::ReportFinishedTransfers() {
  int left = 0;
  const auto alive = alive_;
  while (*alive) {
    const CURLMsg* message = curl_multi_info_read(multi_.get(), &left);
    if (message == nullptr) {
      return;
    }
    if (message->msg == CURLMSG_DONE) {
      on_done_(message->easy_handle, message->data.result);
    }
  }
}

}  // namespace verbenastile
