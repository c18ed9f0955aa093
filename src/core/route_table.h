// The compiled rules of one generation: first match decides.
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
#include "core/request_view.h"
#include "core/route_index.h"
#include "core/snapshot.h"

namespace verbenastile {

// The service among `route`'s targets for `point`, a number that is spread
// evenly over all values of its type. Targets are chosen by weight.
std::string_view ChooseTarget(const RouteAction& route, std::uint64_t point);

// The share of all groups that are not declared.
constexpr std::string_view kUndeclaredGroups = "";

// Rules and their resources, made whole or not at all and never changed.
class RouteTable {
 public:
  // Errors: `ConfigError` when an item cannot be read or the document has
  // faults, a route to an undeclared service among them.
  static leaf::result<RouteTable> Compile(const Snapshot& snapshot);

  // From a document that is already read. Errors: as above, but for items.
  static leaf::result<RouteTable> Compile(Generation generation,
                                          RuleDocument document);

  // The rule that decides; null when none matches. Valid while the table is.
  const Rule* Decide(const RequestView& request) const;

  // The group whose share a call of `group` takes: itself when it is declared.
  // All others share one, or a caller with many names would have many shares.
  std::string_view ShareGroup(std::string_view group) const;

  // The weight of `group` in fair shares; 1 when it is not declared.
  std::uint32_t GroupWeight(std::string_view group) const;

  bool HasService(std::string_view name) const;
  bool HasGroup(std::string_view name) const;

  Generation generation() const { return generation_; }
  const RuleDocument& document() const { return document_; }

 private:
  Generation generation_ = 0;
  RuleDocument document_;
  RouteIndex index_;
  std::map<std::string, std::uint32_t, std::less<>> group_weights_;
  std::set<std::string, std::less<>> services_;
};

}  // namespace verbenastile

#endif  // CORE_ROUTE_TABLE_H_
