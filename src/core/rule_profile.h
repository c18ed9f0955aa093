// What the requests of each rule cost on average: time at an instance and
// bytes of the answer.
#ifndef CORE_RULE_PROFILE_H_
#define CORE_RULE_PROFILE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace verbenastile {

struct RuleProfile {
  Duration service_time{0};  // 0: not known.
  std::int64_t answer_bytes = 0;
};

class RuleProfiles {
 public:
  // An instance took `time` for a request of the rule and answered `bytes`.
  void Learn(std::string_view rule, Duration time, std::size_t bytes);
  // Zeros while nothing is known.
  RuleProfile Find(std::string_view rule) const;

 private:
  // Rules that are remembered; others are not learned any more.
  static constexpr std::size_t kMaxRules = 20'000;

  std::map<std::string, RuleProfile, std::less<>> profiles_;
};

}  // namespace verbenastile

#endif  // CORE_RULE_PROFILE_H_
