// Decides, by the key that a caller presents, whether its request may be sent
// and for which group.
#ifndef CORE_KEY_CHECK_H_
#define CORE_KEY_CHECK_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "config/rules.h"
#include "core/configuration_belief.h"
#include "core/digest.h"
#include "core/route_table.h"

namespace verbenastile {

enum class KeyVerdict {
  kNotNeeded,   // The rule needs no key, and none that is known was presented.
  kAccepted,    // `group` has the key.
  kNoKey,       // The rule needs a key and the caller presented none.
  kUnknownKey,  // No group of the newest configuration known has the key.
  kInDoubt,     // A newer configuration may say otherwise.
};

constexpr std::size_t kKeyVerdictCount = 5;

// Whether the request may be sent to an instance.
constexpr bool MaySend(KeyVerdict verdict) {
  return verdict == KeyVerdict::kNotNeeded || verdict == KeyVerdict::kAccepted;
}

// For logs and metrics.
std::string_view ToString(KeyVerdict verdict);

struct KeyLimits {
  // Whether requests on rules that need a key are refused once the belief is
  // older than `revoke_period`. Else known keys are accepted at any age.
  bool fail_closed = false;
  // A withdrawn key may be accepted this long by a node that cannot learn of
  // its withdrawal.
  Duration revoke_period = std::chrono::seconds(5);
  // An unknown key is refused for good only up to this age of the belief: it
  // may have been added since, and have to be known.
  Duration apply_period = ConfigurationLimits().apply_period;
};

// Returns the key in the value of a credentials header, such as "Token KEY";
// empty when there is none or it belongs to another scheme. Schemes are
// compared without regard to case.
std::optional<std::string_view> KeyInCredentials(std::string_view credentials,
                                                 std::string_view scheme);

struct KeyDecision {
  KeyVerdict verdict = KeyVerdict::kNotNeeded;
  // Of the caller; null: none. Points into the table.
  const Group* group = nullptr;
};

// `key` is the digest, under the seed of the table's keys, of what the caller
// presented; empty when it presented none.
KeyDecision CheckKey(const RouteTable& table,
                     const RouteAction& route,
                     const std::optional<Digest>& key,
                     const ConfigurationBelief& belief,
                     const KeyLimits& limits);

// The verdict on a further attempt of a request that was accepted for `group`:
// it is not sent in the name of a group that the key does not belong to any
// more, also where the rule needs no key.
KeyVerdict VerdictForGroup(const KeyDecision& decision, std::string_view group);

}  // namespace verbenastile

#endif  // CORE_KEY_CHECK_H_
