// The messages by which nodes share the request quota of a group: a node asks
// the group's coordinator for tokens, and the coordinator lends them for a
// time. docs/design/quotas.md describes the protocol.
#ifndef CORE_QUOTA_MESSAGES_H_
#define CORE_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenastile {

// What a node needs of one group's quota.
struct QuotaNeed {
  std::string group;
  // Requests of the group that the node has admitted since it started.
  std::uint64_t admitted = 0;
  // Tokens that the node wants to hold.
  std::uint32_t wanted = 0;
  // Tokens of earlier loans that the node still holds.
  std::uint32_t held = 0;

  bool operator==(const QuotaNeed&) const = default;
};

// Tokens lent to one node; each admits one request of the group.
struct QuotaLoan {
  std::string group;
  std::uint32_t tokens = 0;
  // Unused tokens lapse after this time.
  Duration valid_for{0};
  // When the coordinator expects to have tokens again; 0: it still has some.
  Duration next_token_in{0};

  bool operator==(const QuotaLoan&) const = default;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_MESSAGES_H_
