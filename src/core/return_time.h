// When refused callers are asked to come back. While few are refused, room is
// as near as the instance says, and a caller that comes back soon is still in
// time. In a lasting overload those who come back soon meet the same crowd and
// use up their tries: they are spread over the time that they have left.
#ifndef CORE_RETURN_TIME_H_
#define CORE_RETURN_TIME_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/time.h"

namespace verbenastile {

struct RefusedCaller {
  std::string_view rule;  // That decided its request.
  Duration hint{0};  // When room is likely, as an instance said; 0: none did.
  Duration left{0};  // What the caller will wait in all from now on.
};

class ReturnTimes {
 public:
  // A request that `rule` decided was refused, or has ended otherwise.
  void OnOutcome(std::string_view rule, bool refused, Time now);

  // How long the refused caller should wait: at most a third of what it has
  // left, which is as long as callers go by it.
  Duration For(const RefusedCaller& caller, Time now, Random& random) const;

 private:
  struct Crowd {
    double asked = 0;  // Requests lately, fading.
    double refused = 0;
    Time counted;
  };

  static double Fade(const Crowd& crowd, Time now);
  bool IsCrowded(std::string_view rule, Time now) const;

  // Rules that are watched; callers of others are asked back soon.
  static constexpr std::size_t kMaxRules = 20'000;

  std::map<std::string, Crowd, std::less<>> rules_;
};

}  // namespace verbenastile

#endif  // CORE_RETURN_TIME_H_
