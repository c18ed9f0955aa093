#include "mesh/room_metrics.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::string_view kOthers = "(others)";
constexpr std::string_view kNoGroup = "(none)";

// `text` as the value of a label in the text format of Prometheus.
std::string LabelValue(std::string_view text) {
  std::string value(text);
  std::replace_if(
      value.begin(), value.end(),
      [](char c) { return c == '"' || c == '\\' || c == '\n'; }, '_');
  return value;
}

Priority PriorityOf(const GateCall& call) {
  return call.group_priority.value_or(call.priority);
}

std::string_view GroupOf(const GateCall& call) {
  return call.group.empty() ? kNoGroup : std::string_view(call.group);
}

}  // namespace

void RoomMetrics::OnStarted(const GateCall& call) {
  Add(started_by_group_, kMaxGroups, "group_started_total", "group",
      GroupOf(call), PriorityOf(call));
}

void RoomMetrics::OnRefused(const GateCall& call) {
  Add(refused_by_group_, kMaxGroups, "group_refused_for_room_total", "group",
      GroupOf(call), PriorityOf(call));
  Add(refused_by_rule_, kMaxRules, "room_refused_total", "rule", call.rule,
      PriorityOf(call));
}

void RoomMetrics::Add(Counters& counters,
                      std::size_t limit,
                      std::string_view metric,
                      std::string_view label,
                      std::string_view value,
                      Priority priority) {
  const char* name = kPriorityNames[static_cast<int>(priority)];
  std::string key = fmt::format("{} {}", name, value);
  if (!counters.contains(key) && counters.size() >= limit) {
    value = kOthers;
    key = fmt::format("{} {}", name, value);
  }
  CounterHandle& counter = counters[key];
  if (counter.index == kInvalidMetric) {
    counter =
        metrics_->Counter(fmt::format("{}{{{}=\"{}\",priority=\"{}\"}}", metric,
                                      label, LabelValue(value), name));
  }
  metrics_->Add(counter);
}

}  // namespace verbenastile
