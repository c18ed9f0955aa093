#include "config/sidecar_settings.h"

#include <fmt/format.h>

#include <cstdlib>

#include "config/settings_fields.h"
#include "config/yaml_reader.h"

namespace verbenastile {
namespace {

SidecarListenSettings ReadListen(YamlReader reader) {
  SidecarListenSettings listen;
  listen.callers = ReadAddress(reader, "callers");
  listen.links = ReadAddress(reader, "links");
  listen.links_from_outside = reader.Has("links_from_outside")
                                  ? ReadAddress(reader, "links_from_outside")
                                  : listen.links;
  listen.control = ReadAddress(reader, "control");
  listen.ready = ReadAddress(reader, "ready");
  listen.metrics = ReadAddress(reader, "metrics");
  reader.RejectUnknownKeys();
  return listen;
}

void ReadLinkBandwidth(YamlReader& reader, SidecarSettings& settings) {
  constexpr double kBytesPerMegabit = 125'000;
  if (!reader.Has("link_mbps")) {
    return;
  }
  const std::string text = reader.String("link_mbps", "");
  char* end = nullptr;
  const double mbps = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(mbps > 0)) {
    reader.AddFault("link_mbps", "link_mbps: a number above 0 is expected");
    return;
  }
  settings.link_bytes_per_second =
      static_cast<std::int64_t>(mbps * kBytesPerMegabit);
}

// The price of leaving the failure domain.
void ReadDomains(YamlReader domains, SidecarSettings& settings) {
  constexpr Duration kMaxPrice = std::chrono::seconds(10);
  DomainPrice& price = settings.domain_price;
  price.hop =
      domains.DurationValue("hop", Duration::zero(), kMaxPrice, price.hop);
  price.per_kilobyte = domains.DurationValue(
      "price_of_kilobyte", Duration::zero(), kMaxPrice, price.per_kilobyte);
  domains.RejectUnknownKeys();
}

void ReadRequests(YamlReader& reader, SidecarSettings& settings) {
  reader.ForEachPair(
      "requests", [&](const std::string& key, const std::string& value) {
        const auto digest = ParseDigest(key);
        if (!digest) {
          reader.AddFault("requests",
                          fmt::format("requests: {} is not a digest", key));
        } else if (value != "cleared" && value != "blocked") {
          reader.AddFault(
              "requests",
              fmt::format("requests.{}: cleared or blocked is expected", key));
        } else {
          settings.requests[*digest] = value == "cleared"
                                           ? RequestOverride::kCleared
                                           : RequestOverride::kBlocked;
        }
      });
}

SidecarSettings ReadSettings(YamlReader& reader) {
  SidecarSettings settings;
  YamlReader node = reader.Section("node");
  settings.name = ReadName(node, "name");
  settings.failure_domain = ReadName(node, "failure_domain");
  settings.region = ReadName(node, "region");
  node.RejectUnknownKeys();
  settings.listen = ReadListen(reader.Section("listen"));
  YamlReader upstream = reader.Section("upstream");
  settings.service = ReadName(upstream, "service");
  settings.upstream = ReadAddress(upstream, "address");
  upstream.RejectUnknownKeys();
  YamlReader platform = reader.Section("platform");
  settings.platform = ReadAddress(platform, "address");
  platform.ForEachPair("bounds",
                       [&](const std::string& name, const std::string& value) {
                         settings.bounds[name] = value;
                       });
  platform.RejectUnknownKeys();
  ReadLinkBandwidth(reader, settings);
  ReadRequests(reader, settings);
  ReadDomains(reader.Section("domains"), settings);
  YamlReader calls = reader.Section("calls");
  settings.copies = calls.Boolean("copies", settings.copies);
  calls.RejectUnknownKeys();
  settings.log_level = static_cast<LogLevel>(
      reader.Choice("log_level", {"debug", "info", "warning", "error"},
                    static_cast<std::size_t>(settings.log_level)));
  reader.RejectUnknownKeys();
  return settings;
}

}  // namespace

leaf::result<SidecarSettings> LoadSidecarSettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  return ParseSidecarSettings(text, path);
}

leaf::result<SidecarSettings> ParseSidecarSettings(const std::string& text,
                                                   const std::string& file) {
  BOOST_LEAF_AUTO(root, LoadYamlMapping(text, file));
  ConfigError error;
  YamlReader reader(root, file, &error.faults);
  SidecarSettings settings = ReadSettings(reader);
  if (!error.faults.empty()) {
    return leaf::new_error(std::move(error));
  }
  settings.text = text;
  return settings;
}

}  // namespace verbenastile
