// Finds the first matching rule without evaluating every rule.
//
// Tuple space search (Srinivasan, Suri, Varghese 1999): rules that set the same
// match fields, with path prefixes of equal length and the same first header
// name, share a hash table that is keyed by those values. A request is looked
// up in each table, in the order of each table's earliest rule; the search
// stops at a table whose rules all come after the best match so far. Lookup
// time grows with the number of tables, not with the number of rules. Hashes
// only select candidates; each candidate is then fully matched.
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

  // Returns the position of the first matching rule. `rules` must be the rules
  // that the index was built from.
  std::optional<std::size_t> Find(std::span<const Rule> rules,
                                  const RequestView& request) const;

  // The number of hash tables, one for each distinct combination of match
  // fields, prefix length and first header name.
  std::size_t table_count() const { return tables_.size(); }

 private:
  using Position = std::uint32_t;

  // Rules that match on the same fields, prefix length and first header name.
  struct Table {
    std::uint32_t fields = 0;  // Bitmask of the match fields that are set.
    std::size_t prefix_length = 0;
    std::string header_name;  // Of the first header match, or empty.
    Position first = 0;       // The lowest rule position in this table.
    std::unordered_map<std::uint64_t, std::vector<Position>> by_key;
  };

  Table& FindOrAddTable(const RuleMatch& match, Position position);

  std::vector<Table> tables_;  // In ascending order of `first`.
};

// Returns the same result by a linear scan; the reference for the index.
std::optional<std::size_t> FindByScan(std::span<const Rule> rules,
                                      const RequestView& request);

}  // namespace verbenastile

#endif  // CORE_ROUTE_INDEX_H_
