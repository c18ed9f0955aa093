// A node's settings: one aggregate with defaults, filled from a YAML file.
#ifndef CONFIG_SETTINGS_H_
#define CONFIG_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/time.h"
#include "config/config_error.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// An IP address and a TCP or UDP port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
};

// `IP:PORT`; an IPv6 address stands in brackets.
std::string ToString(const SocketAddress& address);

// Reads `IP:PORT`; nothing when it is no IP number with a port above 0.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

// Whether `ip` is an address that only this instance reaches.
bool IsLoopback(std::string_view ip);

// How accepted generations reach this node.
enum class DistributionPolicy {
  kDeltaTree,   // A few readers in each failure domain, deltas to the others.
  kRelayFull,   // The same readers, whole snapshots to the others.
  kDirectFull,  // Each node watches the platform and reads whole snapshots.
};

// The names of the policies in settings, in the order of the enumeration.
constexpr const char* kDistributionPolicyNames[] = {"delta_tree", "relay_full",
                                                    "direct_full"};

struct ListenSettings {
  SocketAddress callers;  // HTTP, from callers.
  SocketAddress peers;    // HTTP, calls forwarded by other nodes.
  SocketAddress control;  // UDP and TCP, membership and configuration.
  SocketAddress admin;    // HTTP, operators and metrics.
};

// The instance whose slot this node sits in.
struct UpstreamSettings {
  std::string service;
  SocketAddress address;
  std::uint32_t slots = 10;         // Requests that run at the same time.
  std::uint32_t connections = 100;  // Open connections to the upstream.
};

struct PlatformSettings {
  std::string url;  // http://IP:PORT
  std::string name_space = "default";
  Duration timeout = std::chrono::seconds(2);
};

// How calls are passed on. All but the defaults are for comparisons.
struct CallSettings {
  // Off: the members of a service in turn, whatever is seen of them.
  bool observe = true;
  // Off: no limit at the upstream's slots, and no fair shares.
  bool limits = true;
  // Off: failed attempts are made again as often as `kUnboundRetries` says.
  bool retry_budget = true;
};

struct Settings {
  std::string name;
  std::string failure_domain;
  std::string region;
  ListenSettings listen;
  UpstreamSettings upstream;
  PlatformSettings platform;
  CallSettings calls;
  // Control addresses to join the fleet by when the platform is down.
  std::vector<SocketAddress> membership_seeds;
  DistributionPolicy policy = DistributionPolicy::kDeltaTree;
  Duration drain_timeout = std::chrono::seconds(30);
  Duration default_deadline = std::chrono::seconds(10);
  LogLevel log_level = LogLevel::kInfo;
  // Whether a violated invariant ends the process; for test runs.
  bool end_on_violation = false;
  std::string admin_token_file;  // Empty: changing admin calls are refused
                                 // from other addresses than loopback.
};

// Reads the file at `path`. Errors: `ConfigError` with all faults.
leaf::result<Settings> LoadSettings(const std::string& path);

// Reads `text`; `file` is named in faults. Errors: as `LoadSettings`.
leaf::result<Settings> ParseSettings(const std::string& text,
                                     const std::string& file);

}  // namespace verbenastile

#endif  // CONFIG_SETTINGS_H_
