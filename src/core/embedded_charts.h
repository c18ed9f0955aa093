// State charts that are embedded at build time from charts/*.yaml.
#ifndef CORE_EMBEDDED_CHARTS_H_
#define CORE_EMBEDDED_CHARTS_H_

#include <span>
#include <string_view>

namespace verbenastile {

// One chart file: its name without the extension, and its YAML text.
struct EmbeddedChart {
  std::string_view name;
  std::string_view text;
};

// All embedded charts, ordered by name.
std::span<const EmbeddedChart> EmbeddedCharts();

}  // namespace verbenastile

#endif  // CORE_EMBEDDED_CHARTS_H_
