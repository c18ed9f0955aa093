// The messages by which nodes share the request quota of a group: a node asks
// the group's coordinator for tokens, and the coordinator lends them.
// docs/design/quotas.md describes the protocol.
#ifndef CORE_QUOTA_MESSAGES_H_
#define CORE_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/rules.h"

namespace verbenastile {

// The limit of a group in one generation of the configuration.
struct QuotaLimit {
  RequestQuota quota;
  std::uint64_t generation = 0;

  bool operator==(const QuotaLimit&) const = default;
};

// What a node needs of one group's quota.
struct QuotaNeed {
  std::string group;
  // Requests that wait for a token.
  std::uint32_t waiting = 0;
  // Tokens that the node still holds, without those it returns.
  std::uint32_t held = 0;
  // Unused tokens that the node gives back.
  std::uint32_t returned = 0;
  // Spare tokens that were used since the last need and are to be repaid.
  std::uint32_t spare_used = 0;
  // Requests per 1,000 s that arrived lately, refused ones included.
  std::uint32_t demand_milli = 0;
  // The limit of the group that the node knows. One without a rate is none.
  QuotaLimit limit;

  bool operator==(const QuotaNeed&) const = default;
};

// Tokens lent to one node; each admits one request of the group.
struct QuotaLoan {
  std::string group;
  std::uint32_t tokens = 0;
  // Replaces the spare tokens of earlier loans: tokens that the node may use
  // while the coordinator does not answer.
  std::uint32_t spare = 0;
  // When the coordinator expects to have tokens again; 0: it still has some.
  Duration next_token_in{0};
  // The group wants far more than its rate: refused requests should stay away
  // for long.
  bool overloaded = false;
  // The coordinator is new and does not know yet what is in use: requests
  // should wait for `next_token_in` rather than be refused.
  bool provisional = false;

  bool operator==(const QuotaLoan&) const = default;
};

// A part of a group's quota that may be lent.
struct QuotaPart {
  double share = 0;  // Of the quota.
  Time since;        // When no other node could lend it any more.
};

// Asks a member for its parts of the quotas of groups for which the sender is
// the member's first candidate.
struct QuotaPartRequest {
  std::uint64_t id = 0;  // Greater than that of each earlier request.
  // The version of the member's candidates that the sender has; 0: none.
  std::uint64_t version = 0;
  // The sender counts the parts for this long from when it sent the request; 0:
  // it gives them back.
  Duration lifetime{0};
  // Digests of the groups that the sender coordinates.
  std::vector<std::uint64_t> groups;

  bool operator==(const QuotaPartRequest&) const = default;
};

// The answer to `QuotaPartRequest`.
struct QuotaPartGrant {
  std::uint64_t id = 0;  // Of the request.
  bool granted = false;
  // For how long no other member can have counted the parts.
  Duration free_for{0};
  // What turns the candidates of version `base` into those of `version`, as
  // digests of their names. With base 0, `added` holds all candidates.
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
  // For each group of the request, how many members own equal parts of its
  // quota; 0: the sender is none of them.
  std::vector<std::uint8_t> owners;

  bool operator==(const QuotaPartGrant&) const = default;
};

}  // namespace verbenastile

#endif  // CORE_QUOTA_MESSAGES_H_
