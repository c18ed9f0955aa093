#include "base/metrics.h"

#include <fmt/format.h>

#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <vector>

namespace verbenastile {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};
constexpr std::string_view kPrefix = "verbenastile_";

using Distribution =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string AddLabel(std::string_view name, std::string_view label) {
  const auto brace = name.find('{');
  if (brace == std::string_view::npos) {
    return fmt::format("{}{{{}}}", name, label);
  }
  const auto labels = name.substr(brace + 1, name.size() - brace - 2);
  return fmt::format("{}{{{},{}}}", name.substr(0, brace), labels, label);
}

std::string AddSuffix(std::string_view name, std::string_view suffix) {
  const auto brace = std::min(name.find('{'), name.size());
  return fmt::format("{}{}{}", name.substr(0, brace), suffix,
                     name.substr(brace));
}

}  // namespace

struct Metrics::State {
  using Index = std::map<std::string, std::uint16_t, std::less<>>;

  template <typename T, typename... Args>
  static std::uint16_t FindOrRegister(Index& index,
                                      std::vector<T>& values,
                                      std::string_view name,
                                      Args&&... args) {
    const auto found = index.find(name);
    if (found != index.end()) {
      return found->second;
    }
    const auto position = static_cast<std::uint16_t>(values.size());
    values.emplace_back(std::forward<Args>(args)...);
    index.emplace(name, position);
    return position;
  }

  Index counter_names;
  Index gauge_names;
  Index summary_names;
  std::vector<std::uint64_t> counters;
  std::vector<double> gauges;
  std::vector<Distribution> summaries;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

CounterHandle Metrics::Counter(std::string_view name) {
  return {State::FindOrRegister(state_->counter_names, state_->counters, name)};
}

GaugeHandle Metrics::Gauge(std::string_view name) {
  return {State::FindOrRegister(state_->gauge_names, state_->gauges, name)};
}

SummaryHandle Metrics::Summary(std::string_view name) {
  return {
      State::FindOrRegister(state_->summary_names, state_->summaries, name,
                            acc::extended_p_square_probabilities = kQuantiles)};
}

void Metrics::Add(CounterHandle counter, std::uint64_t by) {
  if (counter.index != kInvalidMetric) {
    state_->counters[counter.index] += by;
  }
}

void Metrics::Set(GaugeHandle gauge, double value) {
  if (gauge.index != kInvalidMetric) {
    state_->gauges[gauge.index] = value;
  }
}

void Metrics::Observe(SummaryHandle summary, double value) {
  if (summary.index != kInvalidMetric) {
    state_->summaries[summary.index](value);
  }
}

std::uint64_t Metrics::value(CounterHandle counter) const {
  return counter.index == kInvalidMetric ? 0 : state_->counters[counter.index];
}

std::string Metrics::RenderPrometheus() const {
  std::string text;
  for (const auto& [name, index] : state_->counter_names) {
    text += fmt::format("{}{} {}\n", kPrefix, name, state_->counters[index]);
  }
  for (const auto& [name, index] : state_->gauge_names) {
    text += fmt::format("{}{} {}\n", kPrefix, name, state_->gauges[index]);
  }
  for (const auto& [name, index] : state_->summary_names) {
    const Distribution& summary = state_->summaries[index];
    const auto count = acc::count(summary);
    for (const double q : kQuantiles) {
      const double value =
          count == 0 ? 0.0
                     : acc::quantile(summary, acc::quantile_probability = q);
      const std::string label = fmt::format("quantile=\"{}\"", q);
      text += fmt::format("{}{} {}\n", kPrefix, AddLabel(name, label), value);
    }
    text += fmt::format("{}{} {}\n", kPrefix, AddSuffix(name, "_sum"),
                        acc::sum(summary));
    text += fmt::format("{}{} {}\n", kPrefix, AddSuffix(name, "_count"), count);
  }
  return text;
}

}  // namespace verbenastile
