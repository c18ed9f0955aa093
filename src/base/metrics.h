// Counters, gauges and summaries of one process, rendered in the Prometheus
// text format. Boost.Accumulators estimates the quantiles of summaries.
#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace verbenastile {

constexpr std::uint16_t kInvalidMetric = 0xffff;

// Handles are valid only for the `Metrics` object that returned them.
struct CounterHandle {
  std::uint16_t index = kInvalidMetric;
};
struct GaugeHandle {
  std::uint16_t index = kInvalidMetric;
};
struct SummaryHandle {
  std::uint16_t index = kInvalidMetric;
};

// Not thread-safe. Used only by the thread that runs the node's event loop.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Returns the metric `name` and registers it if needed. The name may end in
  // Prometheus labels, such as `calls_total{group="a"}`.
  CounterHandle Counter(std::string_view name);
  GaugeHandle Gauge(std::string_view name);
  SummaryHandle Summary(std::string_view name);

  // The three functions below ignore invalid handles.
  void Add(CounterHandle counter, std::uint64_t by = 1);
  void Set(GaugeHandle gauge, double value);
  void Observe(SummaryHandle summary, double value);

  std::uint64_t value(CounterHandle counter) const;

  // Renders all metrics, with the quantiles 0.5, 0.9 and 0.99 of each summary.
  std::string RenderPrometheus() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace verbenastile

#endif  // BASE_METRICS_H_
