// Distributes the requests of a rule over its target services by weight, with
// smooth weighted round robin: the targets are interleaved, so that the weights
// also hold over short times.
#ifndef CORE_WEIGHTED_ROUND_ROBIN_H_
#define CORE_WEIGHTED_ROUND_ROBIN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/rules.h"

namespace verbenastile {

class WeightedRoundRobin {
 public:
  // Returns the service for the next request of rule `id`, empty if `route` has
  // no targets. Valid while `route` is.
  std::string_view Next(std::string_view id, const RouteAction& route);

 private:
  struct RuleState {
    std::vector<std::string> services;
    // The current weight of each service, as the algorithm calls it.
    std::vector<std::int64_t> current_weights;
  };

  std::map<std::string, RuleState, std::less<>> states_;
};

}  // namespace verbenastile

#endif  // CORE_WEIGHTED_ROUND_ROBIN_H_
