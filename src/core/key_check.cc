#include "core/key_check.h"

#include <algorithm>

#include "base/text.h"

namespace verbenastile {
namespace {

constexpr std::string_view kBlanks = " \t";

bool IsRevokePeriodOver(const ConfigurationBelief& belief,
                        const KeyLimits& limits) {
  const Duration unconfirmed =
      std::max(belief.age, belief.behind.value_or(Duration::zero()));
  return limits.fail_closed && unconfirmed >= limits.revoke_period;
}

}  // namespace

std::string_view ToString(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kNotNeeded:
      return "not_needed";
    case KeyVerdict::kAccepted:
      return "accepted";
    case KeyVerdict::kNoKey:
      return "no_key";
    case KeyVerdict::kUnknownKey:
      return "unknown_key";
    case KeyVerdict::kInDoubt:
      return "in_doubt";
  }
  return "unknown";
}

std::optional<std::string_view> KeyInCredentials(std::string_view credentials,
                                                 std::string_view scheme) {
  const std::size_t begin =
      std::min(credentials.find_first_not_of(kBlanks), credentials.size());
  credentials.remove_prefix(begin);
  const std::size_t end =
      std::min(credentials.find_first_of(kBlanks), credentials.size());
  if (ToLower(credentials.substr(0, end)) != ToLower(scheme)) {
    return std::nullopt;
  }
  credentials.remove_prefix(end);
  const std::size_t first = credentials.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t last = credentials.find_last_not_of(kBlanks);
  return credentials.substr(first, last - first + 1);
}

KeyDecision CheckKey(const RouteTable& table,
                     const RouteAction& route,
                     const std::optional<Digest>& key,
                     const ConfigurationBelief& belief,
                     const KeyLimits& limits) {
  const Group* group = key ? table.FindGroupByKey(*key) : nullptr;
  if (!route.needs_key) {
    return {group == nullptr ? KeyVerdict::kNotNeeded : KeyVerdict::kAccepted,
            group};
  }
  if (IsRevokePeriodOver(belief, limits)) {
    return {KeyVerdict::kInDoubt, nullptr};
  }
  if (group != nullptr) {
    return {KeyVerdict::kAccepted, group};
  }
  if (MayBeOutdated(belief, limits.apply_period)) {
    return {KeyVerdict::kInDoubt, nullptr};
  }
  return {key ? KeyVerdict::kUnknownKey : KeyVerdict::kNoKey, nullptr};
}

KeyVerdict VerdictForGroup(const KeyDecision& decision,
                           std::string_view group) {
  const bool same = decision.group != nullptr && decision.group->name == group;
  return same || !MaySend(decision.verdict) ? decision.verdict
                                            : KeyVerdict::kInDoubt;
}

}  // namespace verbenastile
