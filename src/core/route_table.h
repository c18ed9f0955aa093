// The compiled rules of one configuration generation. The first rule that
// matches a request decides how it is handled.
#ifndef CORE_ROUTE_TABLE_H_
#define CORE_ROUTE_TABLE_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "config/rules.h"
#include "core/digest.h"
#include "core/group_keys.h"
#include "core/request_view.h"
#include "core/route_index.h"
#include "core/snapshot.h"

namespace verbenastile {

// Selects one of the route's target services in proportion to the weights.
// `point` is a uniformly distributed random number.
std::string_view ChooseTarget(const RouteAction& route, std::uint64_t point);

// The fair-share bucket for all undeclared groups.
constexpr std::string_view kUndeclaredGroups = "";

// An immutable set of rules together with the services and groups that they
// refer to. Compilation is atomic: it yields a complete table or an error.
class RouteTable {
 public:
  // Errors: `ConfigError` when an item cannot be parsed or the document is
  // invalid, for example when a route targets an undeclared service.
  static leaf::result<RouteTable> Compile(const Snapshot& snapshot);

  // Compiles a parsed document. Errors: `ConfigError` when it is invalid.
  // Digests of the groups' keys are made with `key_seed`.
  static leaf::result<RouteTable> Compile(Generation generation,
                                          RuleDocument document,
                                          std::uint64_t key_seed = 0);

  // Returns the first matching rule, or null when none matches. The pointer is
  // valid for the lifetime of the table.
  const Rule* FindRule(const RequestView& request) const;

  // Returns the fair-share bucket for calls of `group`: a declared group has
  // its own. Undeclared groups share one bucket, otherwise a caller could get
  // more shares by making up group names.
  std::string_view FairShareGroup(std::string_view group) const;

  // Returns the fair-share weight of `group`; 1 when it is not declared.
  std::uint32_t GroupWeight(std::string_view group) const;

  // Returns the weight of the share of slots of `group`: its quota of requests
  // per second, so that groups within their quotas are cut alike, times its
  // declared weight. A group without a quota counts like the one with the
  // largest.
  double SlotWeight(std::string_view group) const;

  // Returns the group that has the key with this digest, or null when no group
  // has it. The pointer is valid for the lifetime of the table.
  const Group* FindGroupByKey(const Digest& key) const;
  Digest DigestOfKey(std::string_view key) const {
    return KeyDigest(key, group_keys_.seed());
  }

  bool HasService(std::string_view name) const;
  bool HasGroup(std::string_view name) const;

  Generation generation() const { return generation_; }
  const RuleDocument& document() const { return document_; }

 private:
  Generation generation_ = 0;
  RuleDocument document_;
  RouteIndex index_;
  GroupKeys group_keys_;
  std::map<std::string, std::uint32_t, std::less<>> group_weights_;
  std::map<std::string, double, std::less<>> slot_weights_;
  std::set<std::string, std::less<>> services_;
};

}  // namespace verbenastile

#endif  // CORE_ROUTE_TABLE_H_
