#include "core/configuration_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace verbenastile {
namespace {

using Findings = std::vector<ConfigurationFinding>;

std::string RuleSubject(const Rule& rule) {
  return fmt::format("rule {}", rule.id);
}

std::string GroupSubject(const Group& group) {
  return fmt::format("group {}", group.name);
}

std::string ToText(Duration duration) {
  return fmt::format("{} ms", ToMilliseconds(duration));
}

std::string ToText(const std::vector<RouteTarget>& targets) {
  std::string text;
  for (const RouteTarget& target : targets) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : " ", target.service,
                        target.weight);
  }
  return text;
}

std::string ToText(const RequestQuota& quota) {
  return quota.per_second > 0 ? fmt::format("{} requests/s, burst {}",
                                            quota.per_second, quota.burst)
                              : "no limit";
}

std::string ToText(const std::optional<Priority>& priority) {
  return priority ? kPriorityNames[static_cast<int>(*priority)] : "none";
}

std::string ToText(const RuleMatch& match) {
  std::string text = fmt::format("{}{}", match.host, match.path_prefix);
  const std::pair<std::string_view, std::string_view> fields[] = {
      {"group", match.group},
      {"service", match.service},
      {"method", match.method}};
  for (const auto& [name, value] : fields) {
    text += value.empty() ? "" : fmt::format(" {}={}", name, value);
  }
  for (const HeaderMatch& header : match.headers) {
    text += fmt::format(" {}={}", header.name, header.value);
  }
  return text;
}

// Adds a finding for a value that differs.
class ChangeCollector {
 public:
  ChangeCollector(std::string subject, Findings& findings)
      : subject_(std::move(subject)), findings_(findings) {}

  void Compare(std::string_view what,
               const std::string& before,
               const std::string& after) {
    if (before != after) {
      findings_.push_back(
          {subject_, fmt::format("{}: {} -> {}", what, before, after)});
    }
  }

 private:
  std::string subject_;
  Findings& findings_;
};

void CompareActions(const RuleAction& before,
                    const RuleAction& after,
                    ChangeCollector& changes) {
  if (before.index() != after.index()) {
    const auto kind = [](const RuleAction& action) {
      return std::holds_alternative<RouteAction>(action) ? "route" : "reject";
    };
    changes.Compare("action", kind(before), kind(after));
    return;
  }
  if (const auto* reject = std::get_if<RejectAction>(&before)) {
    const auto& other = std::get<RejectAction>(after);
    changes.Compare("status", std::to_string(reject->status),
                    std::to_string(other.status));
    changes.Compare("reason", reject->reason, other.reason);
    return;
  }
  const auto& a = std::get<RouteAction>(before);
  const auto& b = std::get<RouteAction>(after);
  const auto yes_no = [](bool value) {
    return std::string(value ? "yes" : "no");
  };
  changes.Compare("targets", ToText(a.targets), ToText(b.targets));
  changes.Compare("deadline", ToText(a.deadline), ToText(b.deadline));
  changes.Compare("objective", ToText(a.objective), ToText(b.objective));
  changes.Compare("repeatable", yes_no(a.repeatable), yes_no(b.repeatable));
  changes.Compare("retries", std::to_string(a.retries),
                  std::to_string(b.retries));
  changes.Compare("priority", ToText(std::optional(a.priority)),
                  ToText(std::optional(b.priority)));
  changes.Compare("needs a key", yes_no(a.needs_key), yes_no(b.needs_key));
}

void CompareGroups(const Group& before, const Group& after, Findings& out) {
  ChangeCollector changes(GroupSubject(after), out);
  changes.Compare("weight", std::to_string(before.weight),
                  std::to_string(after.weight));
  changes.Compare("priority", ToText(before.priority), ToText(after.priority));
  changes.Compare("quota", ToText(before.requests), ToText(after.requests));
  const std::set<std::string_view> old_keys(before.keys.begin(),
                                            before.keys.end());
  const std::set<std::string_view> new_keys(after.keys.begin(),
                                            after.keys.end());
  const auto missing = [](const auto& keys, const auto& from) {
    return std::count_if(keys.begin(), keys.end(), [&](std::string_view key) {
      return !from.contains(key);
    });
  };
  const auto added = missing(new_keys, old_keys);
  const auto withdrawn = missing(old_keys, new_keys);
  if (added > 0 || withdrawn > 0) {
    out.push_back({GroupSubject(after),
                   fmt::format("keys: {} added, {} withdrawn, {} in all", added,
                               withdrawn, new_keys.size())});
  }
}

// Calls `on_added`, `on_removed` or `on_both` for each item, by its name.
template <typename T, typename Name>
void MatchByName(std::span<const T> before,
                 std::span<const T> after,
                 Name name,
                 const std::function<void(const T&)>& on_added,
                 const std::function<void(const T&)>& on_removed,
                 const std::function<void(const T&, const T&)>& on_both) {
  std::map<std::string_view, const T*> old_items;
  for (const T& item : before) {
    old_items.emplace(name(item), &item);
  }
  for (const T& item : after) {
    const auto found = old_items.find(name(item));
    if (found == old_items.end()) {
      on_added(item);
      continue;
    }
    on_both(*found->second, item);
    old_items.erase(found);
  }
  for (const auto& [key, item] : old_items) {
    on_removed(*item);
  }
}

void CheckRoute(const Rule& rule, const RouteAction& route, Findings& out) {
  const auto add = [&](std::string text) {
    out.push_back({RuleSubject(rule), std::move(text)});
  };
  if (route.deadline > Duration::zero() && route.objective > route.deadline) {
    add(fmt::format("its objective of {} lies beyond its deadline of {}",
                    ToText(route.objective), ToText(route.deadline)));
  }
  const bool all_zero =
      std::all_of(route.targets.begin(), route.targets.end(),
                  [](const RouteTarget& target) { return target.weight == 0; });
  if (all_zero) {
    add("all of its targets have the weight 0");
  }
}

}  // namespace

std::vector<ConfigurationFinding> FindUnusedEntries(
    const RuleDocument& document) {
  Findings findings;
  for (ConfigFault& fault : FindShadowedRules(document, {})) {
    findings.push_back({"rules", std::move(fault.reason)});
  }
  std::set<std::string_view> used;
  for (const Service& service : document.services) {
    used.insert(service.needs.begin(), service.needs.end());
  }
  for (const Rule& rule : document.rules) {
    const auto* route = std::get_if<RouteAction>(&rule.action);
    if (route == nullptr) {
      continue;
    }
    for (const RouteTarget& target : route->targets) {
      used.insert(target.service);
      if (target.weight == 0 && route->targets.size() > 1) {
        findings.push_back(
            {RuleSubject(rule),
             fmt::format("the target {} has the weight 0 and gets no requests",
                         target.service)});
      }
    }
  }
  for (const Service& service : document.services) {
    if (!used.contains(service.name)) {
      findings.push_back({fmt::format("service {}", service.name),
                          "no rule routes to it and no service needs it"});
    }
  }
  for (const Group& group : document.groups) {
    if (document.callers_need_keys && group.keys.empty()) {
      findings.push_back({GroupSubject(group),
                          "it has no key, so no caller can belong to it"});
    }
  }
  return findings;
}

std::vector<ConfigurationFinding> FindContradictions(
    const RuleDocument& document) {
  Findings findings;
  for (const Rule& rule : document.rules) {
    if (const auto* route = std::get_if<RouteAction>(&rule.action)) {
      CheckRoute(rule, *route, findings);
    }
  }
  std::map<std::string_view, const Group*> owner_by_key;
  for (const Group& group : document.groups) {
    const RequestQuota& quota = group.requests;
    if (quota.per_second <= 0 && quota.burst > 0) {
      findings.push_back(
          {GroupSubject(group),
           fmt::format("its burst of {} requests has no effect without a rate",
                       quota.burst)});
    }
    if (quota.per_second > 0 && quota.burst < 1 && quota.per_second < 1) {
      findings.push_back(
          {GroupSubject(group),
           fmt::format("with {} requests/s and a burst of {} no request is "
                       "ever within the quota",
                       quota.per_second, quota.burst)});
    }
    for (const std::string& key : group.keys) {
      const auto [owner, is_new] = owner_by_key.emplace(key, &group);
      if (!is_new) {
        findings.push_back(
            {GroupSubject(group),
             owner->second == &group
                 ? "it holds one of its keys twice"
                 : fmt::format("one of its keys also belongs to group {}",
                               owner->second->name)});
      }
    }
  }
  return findings;
}

std::vector<ConfigurationFinding> FindDifferences(const RuleDocument& before,
                                                  const RuleDocument& after) {
  Findings findings;
  const auto add = [&](std::string subject, std::string text) {
    findings.push_back({std::move(subject), std::move(text)});
  };
  MatchByName<Service>(
      before.services, after.services,
      [](const Service& service) { return std::string_view(service.name); },
      [&](const Service& service) {
        add(fmt::format("service {}", service.name), "added");
      },
      [&](const Service& service) {
        add(fmt::format("service {}", service.name), "removed");
      },
      [](const Service&, const Service&) {});
  if (before.callers_need_keys != after.callers_need_keys) {
    add("callers", after.callers_need_keys ? "need the key of a group from now"
                                           : "need no key any more");
  }
  MatchByName<Group>(
      before.groups, after.groups,
      [](const Group& group) { return std::string_view(group.name); },
      [&](const Group& group) {
        add(GroupSubject(group),
            fmt::format("added, {} keys, {}", group.keys.size(),
                        ToText(group.requests)));
      },
      [&](const Group& group) { add(GroupSubject(group), "removed"); },
      [&](const Group& a, const Group& b) { CompareGroups(a, b, findings); });
  MatchByName<Rule>(
      before.rules, after.rules,
      [](const Rule& rule) { return std::string_view(rule.id); },
      [&](const Rule& rule) {
        add(RuleSubject(rule), fmt::format("added: {}", ToText(rule.match)));
      },
      [&](const Rule& rule) {
        add(RuleSubject(rule), fmt::format("removed: {}", ToText(rule.match)));
      },
      [&](const Rule& a, const Rule& b) {
        ChangeCollector changes(RuleSubject(b), findings);
        changes.Compare("match", ToText(a.match), ToText(b.match));
        CompareActions(a.action, b.action, changes);
      });
  return findings;
}

}  // namespace verbenastile
