// The settings of a node: defaults that a YAML file overrides.
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

// Formats as `IP:PORT`; IPv6 addresses are put in brackets.
std::string ToString(const SocketAddress& address);

// Parses `IP:PORT`. Returns nullopt unless it is a numeric IP address and a
// port above 0; host names are not resolved.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

// Returns whether `ip` is a loopback address, also one mapped into IPv6.
bool IsLoopback(std::string_view ip);

// How accepted generations of the configuration are distributed to the nodes.
enum class DistributionPolicy {
  kDeltaTree,   // A few readers per failure domain; deltas to the others.
  kRelayFull,   // The same readers; full snapshots to the others.
  kDirectFull,  // Each node watches the platform and reads full snapshots.
};

// Names of the policies in settings, in the order of the enumeration.
constexpr const char* kDistributionPolicyNames[] = {"delta_tree", "relay_full",
                                                    "direct_full"};

struct ListenSettings {
  SocketAddress callers;  // HTTP: calls of callers.
  SocketAddress peers;    // HTTP: calls forwarded by other nodes.
  SocketAddress control;  // UDP and TCP: membership, configuration.
  SocketAddress admin;    // HTTP: admin API and metrics.
};

// The local instance, to which this node forwards the calls of its peers.
struct UpstreamSettings {
  std::string service;
  SocketAddress address;
  std::uint32_t slots = 10;         // Requests that may run concurrently.
  std::uint32_t connections = 100;  // Limit on connections to the upstream.
};

struct PlatformSettings {
  std::string url;  // http://IP:PORT
  std::string name_space = "default";
  Duration timeout = std::chrono::seconds(2);
};

// Parts of the call handling that can be switched off for comparative
// measurements. In production all of them stay on.
struct CallSettings {
  // Off: round robin over the members of a service, regardless of their
  // observed health and load.
  bool observe = true;
  // Off: neither a concurrency limit nor fair shares at the upstream.
  bool limits = true;
  // Off: each call may use a fixed number of retries (`kUnboundRetries`),
  // regardless of the retry budget.
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
  // Control addresses of nodes through which this node joins the fleet while
  // the platform is unavailable.
  std::vector<SocketAddress> membership_seeds;
  DistributionPolicy policy = DistributionPolicy::kDeltaTree;
  Duration drain_timeout = std::chrono::seconds(30);
  Duration default_deadline = std::chrono::seconds(10);
  LogLevel log_level = LogLevel::kInfo;
  // Whether an invariant violation ends the process; for test runs.
  bool end_on_violation = false;
  // If empty, admin calls that change state are accepted from loopback only.
  std::string admin_token_file;
};

// Reads the settings file at `path`. Errors: `ConfigError` with all faults.
leaf::result<Settings> LoadSettings(const std::string& path);

// Parses `text`. `file` is the file name in errors. Errors: as `LoadSettings`.
leaf::result<Settings> ParseSettings(const std::string& text,
                                     const std::string& file);

}  // namespace verbenastile

#endif  // CONFIG_SETTINGS_H_
