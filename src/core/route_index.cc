#include "core/route_index.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>

namespace verbenastile {
namespace {

constexpr std::size_t kFieldCount = 4;
constexpr std::uint64_t kMixMultiplier = 0x9e37'79b9'7f4a'7c15;

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Combines hashes so that their order matters; otherwise equal values of two
// fields would cancel out.
std::uint64_t CombineHash(std::uint64_t key, std::uint64_t hash) {
  key = (key ^ hash) * kMixMultiplier;
  return key ^ (key >> 29);
}

using FieldHashes = std::array<std::uint64_t, kFieldCount>;

FieldHashes HashFields(std::string_view group,
                       std::string_view service,
                       std::string_view host,
                       std::string_view method) {
  return {Hash(group), Hash(service), Hash(host), Hash(method)};
}

std::uint32_t FieldMask(const RuleMatch& match) {
  const std::string* fields[] = {&match.group, &match.service, &match.host,
                                 &match.method};
  std::uint32_t mask = 0;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    mask |= fields[i]->empty() ? 0U : 1U << i;
  }
  return mask;
}

std::uint64_t MakeKey(std::uint32_t fields,
                      const FieldHashes& hashes,
                      std::uint64_t prefix_hash) {
  std::uint64_t key = prefix_hash;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    if ((fields & (1U << i)) != 0) {
      key = CombineHash(key, hashes[i]);
    }
  }
  return key;
}

// Hashes prefixes of a path. The last hash is cached because consecutive tables
// often have the same prefix length.
class PathPrefixHasher {
 public:
  explicit PathPrefixHasher(std::string_view path) : path_(path) {}

  std::uint64_t HashPrefix(std::size_t length) {
    if (length != length_) {
      length_ = length;
      hash_ = Hash(path_.substr(0, length));
    }
    return hash_;
  }

 private:
  std::string_view path_;
  std::size_t length_ = std::numeric_limits<std::size_t>::max();
  std::uint64_t hash_ = 0;
};

}  // namespace

RouteIndex::RouteIndex(std::span<const Rule> rules) {
  for (Position position = 0; position < rules.size(); ++position) {
    const RuleMatch& match = rules[position].match;
    Table& table = FindOrAddTable(match, position);
    const FieldHashes hashes =
        HashFields(match.group, match.service, match.host, match.method);
    std::uint64_t key = MakeKey(table.fields, hashes, Hash(match.path_prefix));
    if (!match.headers.empty()) {
      key = CombineHash(key, Hash(match.headers.front().value));
    }
    table.by_key[key].push_back(position);
  }
}

RouteIndex::Table& RouteIndex::FindOrAddTable(const RuleMatch& match,
                                              Position position) {
  const std::uint32_t fields = FieldMask(match);
  const std::string name =
      match.headers.empty() ? std::string() : match.headers.front().name;
  const auto found =
      std::find_if(tables_.begin(), tables_.end(), [&](const Table& table) {
        return table.fields == fields &&
               table.prefix_length == match.path_prefix.size() &&
               table.header_name == name;
      });
  if (found != tables_.end()) {
    return *found;
  }
  return tables_.emplace_back(
      Table{fields, match.path_prefix.size(), name, position, {}});
}

std::optional<std::size_t> RouteIndex::Find(std::span<const Rule> rules,
                                            const RequestView& request) const {
  const FieldHashes hashes =
      HashFields(request.group, request.service, request.host, request.method);
  PathPrefixHasher prefix_hasher(request.path);
  std::size_t best = rules.size();
  const auto search_table = [&](const Table& table, std::uint64_t key) {
    const auto found = table.by_key.find(key);
    if (found == table.by_key.end()) {
      return;
    }
    for (const Position position : found->second) {
      if (position >= best) {
        return;
      }
      if (Matches(rules[position].match, request)) {
        best = position;
        return;
      }
    }
  };
  for (const Table& table : tables_) {
    if (table.first >= best) {
      break;
    }
    if (table.prefix_length > request.path.size()) {
      continue;
    }
    const std::uint64_t key = MakeKey(
        table.fields, hashes, prefix_hasher.HashPrefix(table.prefix_length));
    if (table.header_name.empty()) {
      search_table(table, key);
      continue;
    }
    for (const HeaderView& header : request.headers) {
      if (header.name == table.header_name) {
        search_table(table, CombineHash(key, Hash(header.value)));
      }
    }
  }
  if (best == rules.size()) {
    return std::nullopt;
  }
  return best;
}

std::optional<std::size_t> FindByScan(std::span<const Rule> rules,
                                      const RequestView& request) {
  const auto found = std::find_if(
      rules.begin(), rules.end(),
      [&](const Rule& rule) { return Matches(rule.match, request); });
  if (found == rules.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - rules.begin());
}

}  // namespace verbenastile
