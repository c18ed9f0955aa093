// Average cost of the requests of each rule: service time at an instance and
// size of the response.
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
  Duration service_time{0};  // 0: no sample yet.
  std::int64_t response_bytes = 0;
};

class RuleProfiles {
 public:
  // Adds a sample: an instance took `time` for a request of the rule and
  // responded with `bytes`.
  void AddSample(std::string_view rule, Duration time, std::size_t bytes);
  // All fields are zero if there is no sample.
  RuleProfile Find(std::string_view rule) const;

 private:
  // Number of rules that are tracked; samples of further ones are ignored.
  static constexpr std::size_t kMaxRules = 20'000;

  std::map<std::string, RuleProfile, std::less<>> profiles_;
};

}  // namespace verbenastile

#endif  // CORE_RULE_PROFILE_H_
