// Finds the first rule that matches without looking at every rule.
//
// Tuple space search (Srinivasan, Suri, Varghese 1999): rules that fill in the
// same fields, with path prefixes of the same length and the same first header
// name, share a table that is keyed by a hash of those values. A request is
// looked up in each table once, those with the earliest rules first; a table
// whose rules all come after the best match is not looked at. Time grows with
// the kinds of rules, not with their number. Hashes only choose candidates:
// each is compared whole.
#ifndef CORE_ROUTE_INDEX_H_
#define CORE_ROUTE_INDEX_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/request_view.h"

namespace verbenastile {

class RouteIndex {
 public:
  RouteIndex() = default;
  explicit RouteIndex(std::span<const Rule> rules);

  // The position of the first of `rules` that matches; they are those that
  // the index was made from.
  std::optional<std::size_t> Find(std::span<const Rule> rules,
                                  const RequestView& request) const;

  // How many tables there are: the kinds of rules.
  std::size_t table_count() const { return tables_.size(); }

 private:
  using Position = std::uint32_t;

  // Rules that are alike in what they look at.
  struct Table {
    std::uint32_t fields = 0;  // One bit for each field that is filled in.
    std::size_t prefix_length = 0;
    std::string header_name;  // Of the first header condition; may be empty.
    Position first = 0;
    std::unordered_map<std::uint64_t, std::vector<Position>> by_key;
  };

  Table& TableFor(const RuleMatch& match, Position position);

  std::vector<Table> tables_;  // By `first`.
};

// The same decision by looking at every rule; the reference for the index.
std::optional<std::size_t> FindByScan(std::span<const Rule> rules,
                                      const RequestView& request);

}  // namespace verbenastile

#endif  // CORE_ROUTE_INDEX_H_
