#include "cli/rollout_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

#include "core/rollout_messages.h"

namespace verbenastile {
namespace {

constexpr std::string_view kPrefix = "verbenastile_rollout_";
constexpr std::string_view kService = "{service=\"";
constexpr std::string_view kAfterService = "\"} ";

using Values = std::map<std::string, double, std::less<>>;
using ValuesByService = std::map<std::string, Values, std::less<>>;

// Ignores lines about anything else.
void ReadLine(std::string_view line, ValuesByService& services) {
  const std::size_t label = line.find(kService);
  if (!line.starts_with(kPrefix) || label == std::string_view::npos) {
    return;
  }
  const std::size_t service_at = label + kService.size();
  const std::size_t service_end = line.find(kAfterService, service_at);
  if (service_end == std::string_view::npos) {
    return;
  }
  const std::string_view text = line.substr(service_end + kAfterService.size());
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  const std::string service(line.substr(service_at, service_end - service_at));
  const std::string_view name =
      line.substr(kPrefix.size(), label - kPrefix.size());
  services[service][std::string(name)] = value;
}

std::string RenderRollout(const std::string& service, Values& values) {
  if (values["ordered"] == 0) {
    return fmt::format("{}: the order was removed\n", service);
  }
  const auto state =
      static_cast<RolloutState>(static_cast<int>(values["state"]));
  const std::string_view stored =
      values["settled"] != 0 ? " (stored)" : " (not stored yet)";
  std::string line = fmt::format(
      "{}: {}{}, {:.0f} s until the deadline, this node exposed {:.0f} of "
      "{:.0f} calls",
      service, ToString(state), state == RolloutState::kRunning ? "" : stored,
      std::max(0.0, values["seconds_left"]), values["exposed_calls"],
      values["answered_calls"]);
  if (values.contains("judged_nodes")) {
    line += fmt::format(
        ", judged by it: {:.0f} answers of {:.0f} nodes, {:.0f} "
        "of them bad",
        values["judged_responses"], values["judged_nodes"],
        values["judged_bad"]);
  }
  return line + "\n";
}

}  // namespace

std::string RenderRollouts(std::string_view metrics) {
  ValuesByService services;
  while (!metrics.empty()) {
    const std::size_t end = std::min(metrics.find('\n'), metrics.size());
    ReadLine(metrics.substr(0, end), services);
    metrics.remove_prefix(std::min(end + 1, metrics.size()));
  }
  std::string text;
  for (auto& [service, values] : services) {
    text += RenderRollout(service, values);
  }
  return text.empty() ? "no roll-outs\n" : text;
}

}  // namespace verbenastile
