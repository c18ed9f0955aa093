// The settings of a sidecar: one aggregate with defaults, filled from a YAML
// file.
#ifndef CONFIG_SIDECAR_SETTINGS_H_
#define CONFIG_SIDECAR_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "config/settings.h"

namespace verbenastile {

struct SidecarListenSettings {
  SocketAddress callers;  // HTTP, from callers on this machine.
  SocketAddress links;    // From other sidecars.
  // Where others reach `links`, when that is another address.
  SocketAddress links_from_outside;
  SocketAddress control;  // HTTP, from the instance in the slot.
  SocketAddress ready;    // HTTP, from the platform.
  SocketAddress metrics;  // HTTP, from operators.
};

struct SidecarSettings {
  std::string name;
  std::string failure_domain;
  std::string region;
  SidecarListenSettings listen;
  std::string service;     // Of the instance in the slot.
  SocketAddress upstream;  // Where that instance listens.
  SocketAddress platform;  // The platform's store.
  // What the machine's link carries each way.
  std::int64_t link_bytes_per_second = 125'000'000;
  // The platform's bounds by their names.
  std::map<std::string, std::string> bounds;
  LogLevel log_level = LogLevel::kInfo;
};

// Reads the file at `path`. Errors: `ConfigError` with all faults.
leaf::result<SidecarSettings> LoadSidecarSettings(const std::string& path);

// Reads `text`; `file` is named in faults. Errors: as above.
leaf::result<SidecarSettings> ParseSidecarSettings(const std::string& text,
                                                   const std::string& file);

}  // namespace verbenastile

#endif  // CONFIG_SIDECAR_SETTINGS_H_
