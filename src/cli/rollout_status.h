// Shows operators the roll-outs that a sidecar knows of, from its metrics.
#ifndef CLI_ROLLOUT_STATUS_H_
#define CLI_ROLLOUT_STATUS_H_

#include <string>
#include <string_view>

namespace verbenastile {

// Formats the roll-outs in `metrics`, the response of a sidecar to GET
// /metrics, as one line for each service.
std::string RenderRollouts(std::string_view metrics);

}  // namespace verbenastile

#endif  // CLI_ROLLOUT_STATUS_H_
