#include "core/route_index.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>

namespace verbenastile {
namespace {

constexpr std::size_t kFields = 4;
constexpr std::uint64_t kMix = 0x9e37'79b9'7f4a'7c15;

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Order matters, so that equal values of two fields do not cancel out.
std::uint64_t Mix(std::uint64_t key, std::uint64_t hash) {
  key = (key ^ hash) * kMix;
  return key ^ (key >> 29);
}

using FieldHashes = std::array<std::uint64_t, kFields>;

FieldHashes HashFields(std::string_view group,
                       std::string_view service,
                       std::string_view host,
                       std::string_view method) {
  return {Hash(group), Hash(service), Hash(host), Hash(method)};
}

std::uint32_t FilledFields(const RuleMatch& match) {
  const std::string* fields[] = {&match.group, &match.service, &match.host,
                                 &match.method};
  std::uint32_t filled = 0;
  for (std::size_t i = 0; i < kFields; ++i) {
    filled |= fields[i]->empty() ? 0U : 1U << i;
  }
  return filled;
}

std::uint64_t KeyOf(std::uint32_t fields,
                    const FieldHashes& hashes,
                    std::uint64_t prefix_hash) {
  std::uint64_t key = prefix_hash;
  for (std::size_t i = 0; i < kFields; ++i) {
    if ((fields & (1U << i)) != 0) {
      key = Mix(key, hashes[i]);
    }
  }
  return key;
}

// Hashes of a path's beginnings; the last one is kept, since tables with the
// same length often follow each other.
class PrefixHasher {
 public:
  explicit PrefixHasher(std::string_view path) : path_(path) {}

  std::uint64_t OfLength(std::size_t length) {
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
    Table& table = TableFor(match, position);
    const FieldHashes hashes =
        HashFields(match.group, match.service, match.host, match.method);
    std::uint64_t key = KeyOf(table.fields, hashes, Hash(match.path_prefix));
    if (!match.headers.empty()) {
      key = Mix(key, Hash(match.headers.front().value));
    }
    table.by_key[key].push_back(position);
  }
}

RouteIndex::Table& RouteIndex::TableFor(const RuleMatch& match,
                                        Position position) {
  const std::uint32_t fields = FilledFields(match);
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
  PrefixHasher prefixes(request.path);
  std::size_t best = rules.size();
  const auto look_up = [&](const Table& table, std::uint64_t key) {
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
    const std::uint64_t key =
        KeyOf(table.fields, hashes, prefixes.OfLength(table.prefix_length));
    if (table.header_name.empty()) {
      look_up(table, key);
      continue;
    }
    for (const HeaderView& header : request.headers) {
      if (header.name == table.header_name) {
        look_up(table, Mix(key, Hash(header.value)));
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
