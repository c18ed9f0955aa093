#include "core/operations.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace verbenastile {
namespace {

using Rules = std::vector<Rule>;

Rules::iterator FindRule(Rules& rules, const std::string& id) {
  return std::find_if(rules.begin(), rules.end(),
                      [&](const Rule& rule) { return rule.id == id; });
}

leaf::result<void> InsertRule(Rules& rules, Rule rule, const RulePlace& place) {
  if (place.before.empty() && place.after.empty()) {
    rules.push_back(std::move(rule));
    return {};
  }
  const std::string& anchor = place.before.empty() ? place.after : place.before;
  auto position = FindRule(rules, anchor);
  if (position == rules.end()) {
    return leaf::new_error(OperationError{
        fmt::format("rule {}, which {} is to be placed next to, does not exist",
                    anchor, rule.id)});
  }
  if (place.before.empty()) {
    ++position;
  }
  rules.insert(position, std::move(rule));
  return {};
}

leaf::result<Rule> RemoveRule(Rules& rules, const std::string& id) {
  const auto position = FindRule(rules, id);
  if (position == rules.end()) {
    return leaf::new_error(
        OperationError{fmt::format("rule {} does not exist", id)});
  }
  Rule rule = std::move(*position);
  rules.erase(position);
  return rule;
}

struct Applier {
  RuleDocument document;

  leaf::result<RuleDocument> operator()(const AddRule& add) {
    if (FindRule(document.rules, add.rule.id) != document.rules.end()) {
      return leaf::new_error(
          OperationError{fmt::format("rule {} already exists", add.rule.id)});
    }
    BOOST_LEAF_CHECK(InsertRule(document.rules, add.rule, add.place));
    return std::move(document);
  }

  leaf::result<RuleDocument> operator()(const MoveRule& move) {
    BOOST_LEAF_AUTO(rule, RemoveRule(document.rules, move.id));
    BOOST_LEAF_CHECK(InsertRule(document.rules, std::move(rule), move.place));
    return std::move(document);
  }

  leaf::result<RuleDocument> operator()(const RetireRule& retire) {
    BOOST_LEAF_CHECK(RemoveRule(document.rules, retire.id));
    return std::move(document);
  }

  leaf::result<RuleDocument> operator()(const UpdateRule& update) {
    const auto position = FindRule(document.rules, update.rule.id);
    if (position == document.rules.end()) {
      return leaf::new_error(OperationError{
          fmt::format("rule {} does not exist", update.rule.id)});
    }
    *position = update.rule;
    return std::move(document);
  }

  leaf::result<RuleDocument> operator()(const ReplaceDocument& replace) {
    return replace.document;
  }
};

struct Describer {
  std::string operator()(const AddRule& add) const {
    return "add " + add.rule.id;
  }
  std::string operator()(const MoveRule& move) const {
    return "move " + move.id;
  }
  std::string operator()(const RetireRule& retire) const {
    return "retire " + retire.id;
  }
  std::string operator()(const UpdateRule& update) const {
    return "update " + update.rule.id;
  }
  std::string operator()(const ReplaceDocument& replace) const {
    return replace.name;
  }
};

struct TargetRule {
  std::string_view operator()(const AddRule& add) const { return add.rule.id; }
  std::string_view operator()(const MoveRule& move) const { return move.id; }
  std::string_view operator()(const RetireRule& retire) const {
    return retire.id;
  }
  std::string_view operator()(const UpdateRule& update) const {
    return update.rule.id;
  }
  std::string_view operator()(const ReplaceDocument&) const { return {}; }
};

// The owner and canonical text of each group and rule.
std::set<std::pair<std::string, std::string>> OwnedTexts(
    const RuleDocument& document) {
  std::set<std::pair<std::string, std::string>> texts;
  for (const Group& group : document.groups) {
    texts.emplace(group.name, ToCanonicalText(group));
  }
  for (const Rule& rule : document.rules) {
    texts.emplace(EffectiveOwner(rule), ToCanonicalText(rule));
  }
  return texts;
}

// Adds the owner of each rule that `difference` lists as moved.
void AddOwnersOfMovedRules(const RuleDocument& document,
                           const std::vector<std::string>& difference,
                           std::set<std::string>& owners) {
  for (const Rule& rule : document.rules) {
    if (std::find(difference.begin(), difference.end(), ">" + rule.id) !=
        difference.end()) {
      owners.emplace(EffectiveOwner(rule));
    }
  }
}

using NamedItems = std::vector<std::pair<std::string, std::string>>;

// All services, groups and rules by the names that `Difference` uses, with
// their canonical texts.
NamedItems ListItems(const RuleDocument& document) {
  NamedItems items;
  for (const Service& service : document.services) {
    items.emplace_back("service " + service.name, ToCanonicalText(service));
  }
  for (const Group& group : document.groups) {
    items.emplace_back("group " + group.name, ToCanonicalText(group));
  }
  for (const Rule& rule : document.rules) {
    items.emplace_back(rule.id, ToCanonicalText(rule));
  }
  return items;
}

// The names that are in both `items` and `other`, in the order of `items`.
std::vector<std::string> CommonNames(
    const NamedItems& items,
    const std::map<std::string, std::string>& other) {
  std::vector<std::string> names;
  for (const auto& [name, text] : items) {
    if (other.contains(name)) {
      names.push_back(name);
    }
  }
  return names;
}

// The names outside a longest subsequence whose order did not change. `before`
// and `after` hold the same names.
std::vector<std::string> MovedNames(const std::vector<std::string>& before,
                                    const std::vector<std::string>& after) {
  std::map<std::string, std::size_t> old_position;
  for (std::size_t i = 0; i < before.size(); ++i) {
    old_position[before[i]] = i;
  }
  // Longest increasing subsequence by patience sorting.
  std::vector<std::size_t> tails;
  std::vector<std::size_t> length_at;
  for (const std::string& name : after) {
    const std::size_t position = old_position[name];
    const auto tail = std::lower_bound(tails.begin(), tails.end(), position);
    length_at.push_back(static_cast<std::size_t>(tail - tails.begin()));
    if (tail == tails.end()) {
      tails.push_back(position);
    } else {
      *tail = position;
    }
  }
  std::vector<std::string> moved;
  std::size_t wanted = tails.size();
  for (std::size_t i = after.size(); i-- > 0;) {
    if (wanted > 0 && length_at[i] == wanted - 1) {
      --wanted;
    } else {
      moved.push_back(after[i]);
    }
  }
  std::reverse(moved.begin(), moved.end());
  return moved;
}

}  // namespace

leaf::result<RuleDocument> ApplyOperation(const RuleDocument& document,
                                          const Operation& operation) {
  BOOST_LEAF_AUTO(changed, std::visit(Applier{document}, operation));
  auto faults = FindFaults(changed, Describe(operation));
  if (!faults.empty()) {
    return leaf::new_error(ConfigError{std::move(faults)});
  }
  return changed;
}

std::string_view TargetRuleId(const Operation& operation) {
  return std::visit(TargetRule{}, operation);
}

std::string Describe(const Operation& operation) {
  return std::visit(Describer{}, operation);
}

std::vector<std::string> Difference(const RuleDocument& before,
                                    const RuleDocument& after) {
  const NamedItems old_items = ListItems(before);
  const NamedItems new_items = ListItems(after);
  const std::map<std::string, std::string> old_texts(old_items.begin(),
                                                     old_items.end());
  const std::map<std::string, std::string> new_texts(new_items.begin(),
                                                     new_items.end());
  std::vector<std::string> difference;
  for (const auto& [name, text] : old_items) {
    if (!new_texts.contains(name)) {
      difference.push_back("-" + name);
    }
  }
  for (const auto& [name, text] : new_items) {
    const auto old_text = old_texts.find(name);
    if (old_text == old_texts.end()) {
      difference.push_back("+" + name);
    } else if (old_text->second != text) {
      difference.push_back("~" + name);
    }
  }
  for (const std::string& name :
       MovedNames(CommonNames(old_items, new_texts),
                  CommonNames(new_items, old_texts))) {
    difference.push_back(">" + name);
  }
  return difference;
}

std::vector<std::string> Difference(const Operation& operation,
                                    const RuleDocument& before,
                                    const RuleDocument& after) {
  auto difference = Difference(before, after);
  if (std::holds_alternative<MoveRule>(operation) && !difference.empty()) {
    return {fmt::format(">{}", TargetRuleId(operation))};
  }
  return difference;
}

std::vector<std::string> AffectedGroups(
    const RuleDocument& before,
    const RuleDocument& after,
    const std::vector<std::string>& difference) {
  const auto old_texts = OwnedTexts(before);
  const auto new_texts = OwnedTexts(after);
  std::set<std::string> owners;
  for (const auto& [owner, text] : old_texts) {
    if (!new_texts.contains({owner, text})) {
      owners.insert(owner);
    }
  }
  for (const auto& [owner, text] : new_texts) {
    if (!old_texts.contains({owner, text})) {
      owners.insert(owner);
    }
  }
  AddOwnersOfMovedRules(after, difference, owners);
  return {owners.begin(), owners.end()};
}

}  // namespace verbenastile
