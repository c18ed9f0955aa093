// A sidecar process on a thread, with its control calls, for tests.
#ifndef TESTS_SIDECAR_SUPPORT_H_
#define TESTS_SIDECAR_SUPPORT_H_

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "core/node_charts.h"
#include "mesh/sidecar.h"
#include "net_support.h"
#include "support.h"

namespace verbenastile {

inline SocketAddress FreeAddress() {
  return RawListener().address();
}

// A sidecar process on a thread. The store takes its calls and answers none.
struct RunningSidecar {
  RunningSidecar()
      : sidecar(
            MustSucceed([&] { return LoadSidecarSettings(settings.path()); }),
            MakeBounds(),
            MustSucceed([] { return LoadNodeCharts(); }),
            settings.path()),
        thread([this] { sidecar.Run(); }) {}
  ~RunningSidecar() {
    std::raise(SIGTERM);
    thread.join();
  }

  static platform::Bounds MakeBounds() {
    platform::Bounds bounds;
    bounds.termination_grace = std::chrono::milliseconds(600);
    return bounds;
  }

  // Returns the head of the response.
  std::string Control(std::string_view path, std::string_view body) {
    std::optional<RawConnection> connection;
    for (const Time end = SteadyNow() + std::chrono::seconds(20);
         !connection;) {
      try {
        connection = RawConnection::ConnectTo(io, control);
      } catch (const asio::system_error&) {
        REQUIRE(SteadyNow() < end);  // It does not listen yet.
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    connection->Write(
        fmt::format("POST /api/Instances.{} HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                    path, body.size(), body));
    return connection->ReadAll();
  }
  std::string Heartbeat(std::string_view state,
                        int sequence,
                        std::string_view id = "i-1",
                        std::string_view service = "s") {
    return Control(fmt::format("Heartbeat/{}", id),
                   fmt::format(R"({{"address": "{}", "info": {{"service": "{}",
                     "version": "v1", "zone": "a", "slots": 4}}, "status":
                     {{"state": "{}", "sequence": {}, "warmup_left_ms": 0}}}})",
                               ToString(instance), service, state, sequence));
  }
  // The settings file is replaced, and names `service`.
  void ChangeService(std::string_view service) {
    std::ifstream stream(settings.path());
    std::string text(std::istreambuf_iterator<char>(stream), {});
    const std::string key = "service: ";
    const std::size_t at = text.find(key) + key.size();
    text.replace(at, text.find(',', at) - at, service);
    ReplaceSettings(text);
  }
  void ReplaceSettings(std::string_view text) {
    const std::string fresh = settings.path() + ".new";
    std::ofstream(fresh, std::ios::binary) << text;
    std::filesystem::rename(fresh, settings.path());
  }
  std::string Deregister() { return Control("Deregister/i-1", "{}"); }

  RawListener store;
  SocketAddress links = FreeAddress();
  SocketAddress control = FreeAddress();
  SocketAddress instance = FreeAddress();
  ScratchFile settings{
      fmt::format("node: {{name: self, failure_domain: a, region: r}}\n"
                  "listen:\n"
                  "  callers: {}\n  links: {}\n  control: {}\n  ready: {}\n"
                  "  metrics: {}\n"
                  "upstream: {{service: s, address: \"{}\"}}\n"
                  "platform: {{address: \"{}\"}}\n",
                  ToString(FreeAddress()),
                  ToString(links),
                  ToString(control),
                  ToString(FreeAddress()),
                  ToString(FreeAddress()),
                  ToString(instance),
                  ToString(store.address()))};
  asio::io_context io;
  Sidecar sidecar;
  std::thread thread;
};

inline bool IsAcknowledged(const std::string& response) {
  return response.starts_with("HTTP/1.1 200 ");
}

}  // namespace verbenastile

#endif  // TESTS_SIDECAR_SUPPORT_H_
