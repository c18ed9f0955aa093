#include "core/node_charts.h"

namespace verbenastile {

leaf::result<NodeCharts> LoadNodeCharts() {
  NodeCharts charts;
  BOOST_LEAF_ASSIGN(charts.lifecycle, LoadEmbeddedChart("node_lifecycle"));
  BOOST_LEAF_ASSIGN(charts.config_apply, LoadEmbeddedChart("config_apply"));
  BOOST_LEAF_ASSIGN(charts.platform_session,
                    LoadEmbeddedChart("platform_session"));
  BOOST_LEAF_ASSIGN(charts.upstream_health,
                    LoadEmbeddedChart("upstream_health"));
  return charts;
}

}  // namespace verbenastile
