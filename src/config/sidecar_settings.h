// The settings of a sidecar: defaults that a YAML file overrides.
#ifndef CONFIG_SIDECAR_SETTINGS_H_
#define CONFIG_SIDECAR_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "config/settings.h"
#include "core/digest.h"
#include "core/domain_spill.h"

namespace verbenastile {

struct SidecarListenSettings {
  SocketAddress callers;  // HTTP: calls of callers on this machine.
  SocketAddress links;    // Links of other sidecars.
  // The address of `links` as other sidecars reach it, such as behind a proxy
  // or address translation. Default: `links`.
  SocketAddress links_from_outside;
  SocketAddress control;  // HTTP: heartbeats of the local instance.
  SocketAddress ready;    // HTTP: readiness probes of the platform.
  SocketAddress metrics;  // HTTP: metrics for operators.

  bool operator==(const SidecarListenSettings&) const = default;
};

// What an operator decided about a request that may end instances.
enum class RequestOverride : std::uint8_t { kCleared = 0, kBlocked };

struct SidecarSettings {
  std::string name;
  std::string failure_domain;
  std::string region;
  SidecarListenSettings listen;
  std::string service;     // The service of the local instance.
  SocketAddress upstream;  // The address of the local instance.
  SocketAddress platform;  // The object store of the platform.
  // Capacity of the network link of this machine, per direction.
  std::int64_t link_bytes_per_second = 125'000'000;
  // Limits set by the platform, by name; see platform/bounds.h.
  std::map<std::string, std::string> bounds;
  // Operators' decisions, by the digest of the request's content.
  std::map<Digest, RequestOverride> requests;
  DomainPrice domain_price;
  bool copies = true;  // Late requests are sent to a second instance.
  LogLevel log_level = LogLevel::kInfo;
  std::string text;  // That these were parsed from.
};

// Reads the settings file at `path`. Errors: `ConfigError` with all faults.
leaf::result<SidecarSettings> LoadSidecarSettings(const std::string& path);

// Parses `text`. `file` is the file name in errors. Errors: as
// `LoadSidecarSettings`.
leaf::result<SidecarSettings> ParseSidecarSettings(const std::string& text,
                                                   const std::string& file);

}  // namespace verbenastile

#endif  // CONFIG_SIDECAR_SETTINGS_H_
