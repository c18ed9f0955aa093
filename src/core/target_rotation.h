// Splits the requests of a rule between its services by weight, evenly also
// over short times: smooth weighted round robin.
#ifndef CORE_TARGET_ROTATION_H_
#define CORE_TARGET_ROTATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/rules.h"

namespace verbenastile {

class TargetRotation {
 public:
  // The service for the next request of the rule `id`. Valid while `route` is.
  std::string_view Next(std::string_view id, const RouteAction& route);

 private:
  struct Turn {
    std::vector<std::string> services;
    std::vector<std::int64_t> credit;
  };

  std::map<std::string, Turn, std::less<>> turns_;
};

}  // namespace verbenastile

#endif  // CORE_TARGET_ROTATION_H_
