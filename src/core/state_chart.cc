#include "core/state_chart.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "config/yaml_reader.h"
#include "core/embedded_charts.h"

namespace verbenastile {
namespace {

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Parses one chart and collects its errors.
class ChartReader {
 public:
  ChartReader(const YAML::Node& root, const std::string& file)
      : root_(root), reader_(root, file, &faults_) {}

  StateChart Read() {
    chart_.name = reader_.RequiredString("name");
    chart_.initial = reader_.RequiredString("initial");
    chart_.events = reader_.Strings("events");
    chart_.actions = reader_.Strings("actions");
    ReadStates();
    reader_.RejectUnknownKeys();
    CheckTargets();
    CheckReachable();
    return std::move(chart_);
  }

  std::vector<ConfigFault>& faults() { return faults_; }

 private:
  void ReadStates() {
    YamlReader states = reader_.Section("states");
    const YAML::Node node = root_["states"];
    if (!node.IsDefined() || !node.IsMap()) {
      reader_.AddFault("states", "states: a mapping is expected");
      return;
    }
    for (const auto& entry : node) {
      if (!entry.first.IsScalar()) {
        continue;  // `RejectUnknownKeys` reports it.
      }
      const std::string& name = entry.first.Scalar();
      chart_.states[name] = ReadState(name, states.Section(name), entry.second);
    }
    states.RejectUnknownKeys();
  }

  ChartState ReadState(const std::string& name,
                       YamlReader reader,
                       const YAML::Node& node) {
    ChartState state;
    state.ignored = reader.Strings("ignore");
    YamlReader on = reader.Section("on");
    const YAML::Node transitions = node.IsMap() ? node["on"] : YAML::Node();
    if (transitions.IsDefined() && transitions.IsMap()) {
      for (const auto& entry : transitions) {
        if (!entry.first.IsScalar()) {
          continue;  // `RejectUnknownKeys` reports it.
        }
        const std::string& event = entry.first.Scalar();
        state.transitions[event] = ReadTransition(on.Section(event));
      }
    }
    on.RejectUnknownKeys();
    reader.RejectUnknownKeys();
    CheckEvents(name, state, reader);
    return state;
  }

  Transition ReadTransition(YamlReader reader) {
    Transition transition;
    transition.target = reader.RequiredString("to");
    transition.actions = reader.Strings("do");
    for (const std::string& action : transition.actions) {
      if (!Contains(chart_.actions, action)) {
        reader.AddFault("do", fmt::format("unknown action {}", action));
      }
    }
    reader.RejectUnknownKeys();
    return transition;
  }

  void CheckEvents(const std::string& name,
                   const ChartState& state,
                   YamlReader& reader) {
    for (const std::string& event : chart_.events) {
      const bool handled = state.transitions.contains(event);
      if (handled == Contains(state.ignored, event)) {
        reader.AddFault(
            "on", fmt::format("state {} must either handle or ignore event {}",
                              name, event));
      }
    }
    for (const auto& [event, transition] : state.transitions) {
      CheckKnownEvent(event, reader);
    }
    for (const std::string& event : state.ignored) {
      CheckKnownEvent(event, reader);
    }
  }

  void CheckKnownEvent(const std::string& event, YamlReader& reader) {
    if (!Contains(chart_.events, event)) {
      reader.AddFault("on", fmt::format("unknown event {}", event));
    }
  }

  void CheckTargets() {
    if (!chart_.states.contains(chart_.initial)) {
      reader_.AddFault("initial",
                       fmt::format("unknown state {}", chart_.initial));
    }
    for (const auto& [name, state] : chart_.states) {
      for (const auto& [event, transition] : state.transitions) {
        if (!chart_.states.contains(transition.target)) {
          reader_.AddFault(
              "states", fmt::format("state {} leads to unknown state {}", name,
                                    transition.target));
        }
      }
    }
  }

  void CheckReachable() {
    std::set<std::string, std::less<>> reached;
    CollectReachable(chart_.initial, reached);
    for (const auto& [name, state] : chart_.states) {
      if (!reached.contains(name)) {
        reader_.AddFault("states",
                         fmt::format("state {} cannot be reached", name));
      }
    }
  }

  void CollectReachable(const std::string& start,
                        std::set<std::string, std::less<>>& reached) const {
    std::vector<std::string> pending = {start};
    while (!pending.empty()) {
      const std::string name = std::move(pending.back());
      pending.pop_back();
      const auto state = chart_.states.find(name);
      if (state == chart_.states.end() || !reached.insert(name).second) {
        continue;
      }
      for (const auto& [event, transition] : state->second.transitions) {
        pending.push_back(transition.target);
      }
    }
  }

  const YAML::Node root_;
  std::vector<ConfigFault> faults_;
  YamlReader reader_;
  StateChart chart_;
};

}  // namespace

leaf::result<StateChart> ParseStateChart(const std::string& text,
                                         const std::string& file) {
  BOOST_LEAF_AUTO(root, LoadYamlMapping(text, file));
  ChartReader reader(root, file);
  StateChart chart = reader.Read();
  if (!reader.faults().empty()) {
    return leaf::new_error(ConfigError{std::move(reader.faults())});
  }
  return chart;
}

leaf::result<StateChart> LoadEmbeddedChart(std::string_view name) {
  for (const EmbeddedChart& chart : EmbeddedCharts()) {
    if (chart.name == name) {
      return ParseStateChart(std::string(chart.text),
                             fmt::format("charts/{}.yaml", name));
    }
  }
  return leaf::new_error(ConfigError{{{fmt::format("charts/{}.yaml", name),
                                       {},
                                       "no embedded chart of this name"}}});
}

ChartMachine::ChartMachine(const StateChart* chart)
    : chart_(chart), state_(chart->initial) {}

FireResult ChartMachine::Fire(std::string_view event) {
  const ChartState& state = chart_->states.find(state_)->second;
  const auto transition = state.transitions.find(event);
  if (transition == state.transitions.end()) {
    return {Contains(chart_->events, event), false, {}};
  }
  state_ = transition->second.target;
  return {true, true, transition->second.actions};
}

}  // namespace verbenastile
