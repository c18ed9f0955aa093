// The state charts that control a node's process.
#ifndef CORE_NODE_CHARTS_H_
#define CORE_NODE_CHARTS_H_

#include <boost/leaf/result.hpp>

#include "core/state_chart.h"

namespace verbenastile {

struct NodeCharts {
  StateChart lifecycle;
  StateChart config_apply;
  StateChart platform_session;
  StateChart upstream_health;
};

// Errors: `ConfigError` when an embedded chart is invalid.
leaf::result<NodeCharts> LoadNodeCharts();

}  // namespace verbenastile

#endif  // CORE_NODE_CHARTS_H_
