// State charts: parsed from YAML, fully validated, then interpreted.
//
//   name: door
//   initial: closed
//   events: [open, close]
//   actions: [ring]
//   states:
//     closed: {on: {open: {to: opened, do: [ring]}}, ignore: [close]}
//     opened: {on: {close: {to: closed}}, ignore: [open]}
#ifndef CORE_STATE_CHART_H_
#define CORE_STATE_CHART_H_

#include <boost/leaf/result.hpp>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// A transition: its target state and the actions to run.
struct Transition {
  std::string target;
  std::vector<std::string> actions;
};

struct ChartState {
  std::map<std::string, Transition, std::less<>> transitions;
  std::vector<std::string> ignored;  // Events that have no effect in the state.
};

struct StateChart {
  std::string name;
  std::string initial;
  std::vector<std::string> events;
  std::vector<std::string> actions;
  std::map<std::string, ChartState, std::less<>> states;
};

// Parses `text`; errors refer to it as `file`. Errors: `ConfigError` for
// unknown events, actions or states, unreachable states, and events that a
// state neither handles nor ignores.
leaf::result<StateChart> ParseStateChart(const std::string& text,
                                         const std::string& file);

// Parses the embedded chart `name`. Errors: `ConfigError` as above, and when
// there is no chart of that name.
leaf::result<StateChart> LoadEmbeddedChart(std::string_view name);

// The result of firing an event.
struct FireResult {
  bool known = false;         // False: the chart has no such event.
  bool transitioned = false;  // False: the event is ignored in this state.
  std::span<const std::string> actions;
};

// Runs a chart and keeps the current state. The chart must outlive the machine.
class ChartMachine {
 public:
  explicit ChartMachine(const StateChart* chart);

  FireResult Fire(std::string_view event);

  std::string_view state() const { return state_; }

 private:
  const StateChart* chart_;
  std::string state_;
};

}  // namespace verbenastile

#endif  // CORE_STATE_CHART_H_
