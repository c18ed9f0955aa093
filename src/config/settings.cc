#include "config/settings.h"

#include <fmt/format.h>

#include <asio/ip/address.hpp>
#include <charconv>

#include "config/settings_fields.h"
#include "config/yaml_reader.h"

namespace verbenastile {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::size_t kMaxSeedAddresses = 64;

void RejectDuplicateAddresses(YamlReader& reader,
                              const ListenSettings& listen) {
  const std::pair<const char*, SocketAddress> addresses[] = {
      {"callers", listen.callers},
      {"peers", listen.peers},
      {"control", listen.control},
      {"admin", listen.admin}};
  for (const auto& later : addresses) {
    for (const auto& earlier : addresses) {
      if (&earlier == &later) {
        break;
      }
      if (earlier.second == later.second && earlier.second.port != 0) {
        reader.AddFault(later.first,
                        fmt::format("{}: the address is already used by {}",
                                    later.first, earlier.first));
      }
    }
  }
}

ListenSettings ReadListen(YamlReader reader) {
  ListenSettings listen;
  listen.callers = ReadAddress(reader, "callers");
  listen.peers = ReadAddress(reader, "peers");
  listen.control = ReadAddress(reader, "control");
  listen.admin = ReadAddress(reader, "admin");
  RejectDuplicateAddresses(reader, listen);
  reader.RejectUnknownKeys();
  return listen;
}

UpstreamSettings ReadUpstream(YamlReader reader) {
  UpstreamSettings upstream;
  upstream.service = ReadName(reader, "service");
  upstream.address = ReadAddress(reader, "address");
  upstream.slots = static_cast<std::uint32_t>(
      reader.Integer("slots", 1, kMaxSlots, upstream.slots));
  upstream.connections = static_cast<std::uint32_t>(
      reader.Integer("connections", 1, kMaxConnections, upstream.connections));
  reader.RejectUnknownKeys();
  return upstream;
}

PlatformSettings ReadPlatform(YamlReader reader) {
  PlatformSettings platform;
  platform.url = reader.RequiredString("url");
  const bool is_http = platform.url.starts_with("http://") ||
                       platform.url.starts_with("https://");
  if (!platform.url.empty() && !is_http) {
    reader.AddFault("url", "url: http://IP:PORT is expected");
  }
  platform.name_space = reader.String("namespace", platform.name_space);
  if (!IsValidName(platform.name_space)) {
    reader.AddFault("namespace", "namespace: not a valid name");
  }
  platform.timeout = reader.DurationValue("timeout", milliseconds(10),
                                          seconds(60), platform.timeout);
  reader.RejectUnknownKeys();
  return platform;
}

CallSettings ReadCalls(YamlReader reader) {
  CallSettings calls;
  calls.observe = reader.Boolean("observe", calls.observe);
  calls.limits = reader.Boolean("limits", calls.limits);
  calls.retry_budget = reader.Boolean("retry_budget", calls.retry_budget);
  reader.RejectUnknownKeys();
  return calls;
}

std::vector<SocketAddress> ReadSeeds(YamlReader reader) {
  std::vector<SocketAddress> seeds;
  for (const std::string& text : reader.Strings("seeds")) {
    const auto address = ParseSocketAddress(text);
    if (address) {
      seeds.push_back(*address);
    } else {
      reader.AddFault(
          "seeds", fmt::format("seeds: IP:PORT is expected, not \"{}\"", text));
    }
  }
  if (seeds.size() > kMaxSeedAddresses) {
    reader.AddFault("seeds", fmt::format("seeds: at most {} are allowed",
                                         kMaxSeedAddresses));
  }
  reader.RejectUnknownKeys();
  return seeds;
}

Settings ReadSettings(YamlReader& reader) {
  Settings settings;
  YamlReader node = reader.Section("node");
  settings.name = ReadName(node, "name");
  settings.failure_domain = ReadName(node, "failure_domain");
  settings.region = node.Has("region") ? ReadName(node, "region") : "default";
  node.RejectUnknownKeys();
  settings.listen = ReadListen(reader.Section("listen"));
  settings.upstream = ReadUpstream(reader.Section("upstream"));
  settings.platform = ReadPlatform(reader.Section("platform"));
  settings.calls = ReadCalls(reader.Section("calls"));
  settings.membership_seeds = ReadSeeds(reader.Section("membership"));
  YamlReader distribution = reader.Section("distribution");
  settings.policy = static_cast<DistributionPolicy>(
      distribution.Choice("policy",
                          {std::begin(kDistributionPolicyNames),
                           std::end(kDistributionPolicyNames)},
                          static_cast<std::size_t>(settings.policy)));
  distribution.RejectUnknownKeys();
  settings.drain_timeout = reader.DurationValue(
      "drain_timeout", seconds(1), hours(24), settings.drain_timeout);
  settings.default_deadline = reader.DurationValue(
      "default_deadline", milliseconds(1), hours(1), settings.default_deadline);
  settings.log_level = static_cast<LogLevel>(
      reader.Choice("log_level", {"debug", "info", "warning", "error"},
                    static_cast<std::size_t>(settings.log_level)));
  settings.end_on_violation =
      reader.Boolean("end_on_violation", settings.end_on_violation);
  settings.admin_token_file = reader.String("admin_token_file", "");
  if (!settings.listen.admin.ip.empty() &&
      !IsLoopback(settings.listen.admin.ip) &&
      settings.admin_token_file.empty()) {
    reader.AddFault("admin_token_file",
                    "admin_token_file: the key is missing; it is required "
                    "because listen.admin is not a loopback address");
  }
  reader.RejectUnknownKeys();
  return settings;
}

}  // namespace

bool IsLoopback(std::string_view ip) {
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(ip), error);
  if (error) {
    return false;
  }
  if (address.is_v6() && address.to_v6().is_v4_mapped()) {
    return asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6())
        .is_loopback();
  }
  return address.is_loopback();
}

std::string ToString(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", address.ip, address.port)
               : fmt::format("{}:{}", address.ip, address.port);
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(ip), error);
  if (error) {
    return std::nullopt;
  }
  return SocketAddress{address.to_string(), port};
}

leaf::result<Settings> LoadSettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  return ParseSettings(text, path);
}

leaf::result<Settings> ParseSettings(const std::string& text,
                                     const std::string& file) {
  BOOST_LEAF_AUTO(root, LoadYamlMapping(text, file));
  ConfigError error;
  YamlReader reader(root, file, &error.faults);
  Settings settings = ReadSettings(reader);
  if (!error.faults.empty()) {
    return leaf::new_error(std::move(error));
  }
  return settings;
}

}  // namespace verbenastile
