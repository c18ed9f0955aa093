#include "config/rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

#include "base/text.h"
#include "config/yaml_reader.h"

namespace verbenastile {
namespace {

using nlohmann::json;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr const char* kItemFileName = "item";
constexpr std::string_view kPlatformOwner = "platform";
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxMatchBytes = 1'024;
constexpr int kMinRejectStatus = 400;
constexpr int kMaxRejectStatus = 599;
constexpr std::int64_t kMaxQuota = 1'000'000'000;

std::string ReadBoundedString(YamlReader& reader,
                              std::string_view key,
                              std::size_t max_bytes) {
  std::string text = reader.String(key, "");
  if (text.size() > max_bytes) {
    reader.AddFault(key, fmt::format("{}: more than {} bytes", key, max_bytes));
  }
  return text;
}

std::string ReadRequiredName(YamlReader& reader, std::string_view key) {
  std::string text = reader.RequiredString(key);
  if (text.size() > kMaxIdBytes) {
    reader.AddFault(key,
                    fmt::format("{}: more than {} bytes", key, kMaxIdBytes));
  }
  return text;
}

Service ReadService(YamlReader& reader) {
  Service service;
  service.mark = reader.mark();
  service.name = ReadRequiredName(reader, "name");
  service.needs = reader.Strings("needs");
  return service;
}

Group ReadGroup(YamlReader& reader) {
  Group group;
  group.mark = reader.mark();
  group.name = ReadRequiredName(reader, "name");
  group.weight = static_cast<std::uint32_t>(
      reader.Integer("weight", 1, kMaxWeight, group.weight));
  YamlReader quota = reader.Section("quota");
  group.quota.rules = static_cast<std::uint32_t>(
      quota.Integer("rules", 0, kMaxQuota, group.quota.rules));
  group.quota.bytes = static_cast<std::uint32_t>(
      quota.Integer("bytes", 0, kMaxQuota, group.quota.bytes));
  group.quota.changes_per_minute = static_cast<std::uint32_t>(quota.Integer(
      "changes_per_minute", 1, kMaxQuota, group.quota.changes_per_minute));
  quota.RejectUnknownKeys();
  return group;
}

RuleMatch ReadMatch(YamlReader reader) {
  RuleMatch match;
  match.group = ReadBoundedString(reader, "group", kMaxIdBytes);
  match.service = ReadBoundedString(reader, "service", kMaxIdBytes);
  match.host = ToLower(ReadBoundedString(reader, "host", kMaxMatchBytes));
  match.path_prefix = ReadBoundedString(reader, "path_prefix", kMaxMatchBytes);
  if (!match.path_prefix.empty() && match.path_prefix.front() != '/') {
    reader.AddFault("path_prefix", "path_prefix: must begin with /");
  }
  match.method = ReadBoundedString(reader, "method", kMaxIdBytes);
  reader.ForEachPair("headers",
                     [&](const std::string& name, const std::string& value) {
                       match.headers.push_back({ToLower(name), value});
                     });
  std::sort(match.headers.begin(), match.headers.end(),
            [](const HeaderMatch& a, const HeaderMatch& b) {
              return a.name < b.name;
            });
  reader.RejectUnknownKeys();
  return match;
}

RouteTarget ReadTarget(YamlReader& reader) {
  RouteTarget target;
  target.service = ReadRequiredName(reader, "service");
  target.weight = static_cast<std::uint32_t>(
      reader.Integer("weight", 0, kMaxWeight, target.weight));
  return target;
}

RouteAction ReadRoute(YamlReader& reader) {
  RouteAction route;
  reader.ForEachMapping("route", [&](YamlReader& target) {
    route.targets.push_back(ReadTarget(target));
  });
  std::uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  if (total == 0 || route.targets.size() > kMaxTargets) {
    reader.AddFault("route",
                    fmt::format("route: 1 to {} services are required, not all "
                                "with weight 0",
                                kMaxTargets));
  }
  route.deadline = reader.DurationValue("deadline", milliseconds(1), hours(1),
                                        route.deadline);
  route.objective = reader.DurationValue("objective", milliseconds(1), hours(1),
                                         route.objective);
  route.repeatable = reader.Boolean("repeatable", route.repeatable);
  route.retries = static_cast<std::uint32_t>(
      reader.Integer("retries", 0, kMaxRetries, route.retries));
  route.priority = static_cast<Priority>(reader.Choice(
      "priority", {std::begin(kPriorityNames), std::end(kPriorityNames)},
      static_cast<std::size_t>(route.priority)));
  return route;
}

RejectAction ReadReject(YamlReader reader) {
  RejectAction reject;
  reject.status = static_cast<int>(reader.Integer(
      "status", kMinRejectStatus, kMaxRejectStatus, reject.status));
  reject.reason = ReadBoundedString(reader, "reason", kMaxMatchBytes);
  reader.RejectUnknownKeys();
  return reject;
}

RuleAction ReadAction(YamlReader reader) {
  const bool routes = reader.Has("route");
  const bool rejects = reader.Has("reject");
  if (routes == rejects) {
    reader.AddFault("then",
                    "then: exactly one of route and reject is required");
  }
  RuleAction action = RejectAction{};
  if (routes) {
    action = ReadRoute(reader);
  } else if (rejects) {
    action = ReadReject(reader.Section("reject"));
  }
  reader.RejectUnknownKeys();
  return action;
}

Rule ReadRule(YamlReader& reader) {
  Rule rule;
  rule.mark = reader.mark();
  rule.id = ReadRequiredName(reader, "id");
  rule.owner = ReadBoundedString(reader, "owner", kMaxIdBytes);
  rule.match = ReadMatch(reader.Section("when"));
  if (!reader.Has("then")) {
    reader.AddFault("then", "then: the key is missing");
  } else {
    rule.action = ReadAction(reader.Section("then"));
  }
  rule.bytes = ToCanonicalText(rule).size();
  return rule;
}

template <typename T>
leaf::result<T> ParseItem(const std::string& text,
                          T (*read)(YamlReader&),
                          const std::string& file = kItemFileName) {
  BOOST_LEAF_AUTO(root, LoadYamlMapping(text, file));
  ConfigError error;
  YamlReader reader(root, file, &error.faults);
  T item = read(reader);
  reader.RejectUnknownKeys();
  if (!error.faults.empty()) {
    return leaf::new_error(std::move(error));
  }
  return item;
}

json MatchToJson(const RuleMatch& match) {
  json when = json::object();
  const std::pair<const char*, const std::string*> parts[] = {
      {"group", &match.group},
      {"service", &match.service},
      {"host", &match.host},
      {"path_prefix", &match.path_prefix},
      {"method", &match.method}};
  for (const auto& [key, value] : parts) {
    if (!value->empty()) {
      when[key] = *value;
    }
  }
  for (const HeaderMatch& header : match.headers) {
    when["headers"][header.name] = header.value;
  }
  return when;
}

struct ActionToJson {
  json operator()(const RouteAction& route) const {
    json then = json::object();
    for (const RouteTarget& target : route.targets) {
      then["route"].push_back(
          {{"service", target.service}, {"weight", target.weight}});
    }
    if (route.deadline != Duration::zero()) {
      then["deadline"] = FormatDuration(route.deadline);
    }
    if (route.objective != Duration::zero()) {
      then["objective"] = FormatDuration(route.objective);
    }
    then["repeatable"] = route.repeatable;
    then["retries"] = route.retries;
    then["priority"] = kPriorityNames[static_cast<int>(route.priority)];
    return then;
  }

  json operator()(const RejectAction& reject) const {
    return {{"reject", {{"status", reject.status}, {"reason", reject.reason}}}};
  }
};

// Checks the constraints between the items of one document.
class DocumentChecker {
 public:
  DocumentChecker(const RuleDocument& document, const std::string& file)
      : document_(document), file_(file) {}

  std::vector<ConfigFault> Run() {
    CheckSizes();
    CheckServices();
    CheckGroups();
    CheckRules();
    CheckQuotas();
    return std::move(faults_);
  }

 private:
  void AddFault(SourceMark mark, std::string reason) {
    if (faults_.size() < kMaxFaults) {
      faults_.push_back({file_, mark, std::move(reason)});
    }
  }

  void CheckSizes() {
    const auto check = [&](std::size_t count, std::size_t limit,
                           std::string_view what) {
      if (count > limit) {
        AddFault({}, fmt::format("{} {}; at most {} are allowed", count, what,
                                 limit));
      }
    };
    check(document_.services.size(), kMaxServices, "services");
    check(document_.groups.size(), kMaxGroups, "groups");
    check(document_.rules.size(), kMaxRules, "rules");
  }

  void CheckServices() {
    for (const Service& service : document_.services) {
      if (!services_.insert(service.name).second) {
        AddFault(service.mark,
                 fmt::format("service {} is declared twice", service.name));
      }
    }
    for (const Service& service : document_.services) {
      for (const std::string& dependency : service.needs) {
        if (!services_.contains(dependency)) {
          AddFault(service.mark,
                   fmt::format("service {} needs {}, which is not declared",
                               service.name, dependency));
        }
      }
    }
  }

  void CheckGroups() {
    for (const Group& group : document_.groups) {
      if (!groups_.emplace(group.name, &group).second) {
        AddFault(group.mark,
                 fmt::format("group {} is declared twice", group.name));
      }
      if (group.requests.per_second < 0 || group.requests.burst < 0) {
        AddFault(group.mark,
                 fmt::format("group {}: requests a second and burst must not "
                             "be negative",
                             group.name));
      }
    }
    CheckKeys();
  }

  // Keys are secrets, so that faults name only their groups.
  void CheckKeys() {
    std::unordered_map<std::string_view, const Group*> owners;
    for (const Group& group : document_.groups) {
      for (const std::string& key : group.keys) {
        if (key.empty()) {
          AddFault(group.mark,
                   fmt::format("group {} has an empty key", group.name));
        }
        const Group& owner = *owners.emplace(key, &group).first->second;
        if (&owner != &group) {
          AddFault(group.mark, fmt::format("groups {} and {} have the same key",
                                           owner.name, group.name));
        }
      }
    }
  }

  void CheckRules() {
    std::set<std::string_view> ids;
    for (const Rule& rule : document_.rules) {
      if (!ids.insert(rule.id).second) {
        AddFault(rule.mark, fmt::format("duplicate rule id {}", rule.id));
      }
      CheckGroupName(rule, rule.match.group);
      CheckGroupName(rule, rule.owner);
      CheckTargets(rule);
    }
  }

  void CheckGroupName(const Rule& rule, const std::string& group) {
    if (!group.empty() && group != kPlatformOwner && !groups_.contains(group)) {
      AddFault(rule.mark, fmt::format("rule {} names group {}, which is not "
                                      "declared",
                                      rule.id, group));
    }
  }

  void CheckTargets(const Rule& rule) {
    const auto* route = std::get_if<RouteAction>(&rule.action);
    if (route == nullptr) {
      return;
    }
    for (const RouteTarget& target : route->targets) {
      if (!services_.contains(target.service)) {
        AddFault(rule.mark,
                 fmt::format("rule {} routes to service {}, which is not "
                             "declared",
                             rule.id, target.service));
      }
    }
  }

  void CheckQuotas() {
    struct Usage {
      std::size_t rules = 0;
      std::size_t bytes = 0;
      bool reported = false;
    };
    std::map<std::string_view, Usage> usages;
    for (const Rule& rule : document_.rules) {
      const auto owner = groups_.find(EffectiveOwner(rule));
      if (owner == groups_.end()) {
        continue;
      }
      const Group& group = *owner->second;
      Usage& usage = usages[group.name];
      ++usage.rules;
      usage.bytes += rule.bytes;
      const bool exceeded =
          usage.rules > group.quota.rules || usage.bytes > group.quota.bytes;
      if (exceeded && !usage.reported) {
        usage.reported = true;
        AddFault(
            rule.mark,
            fmt::format("rule {} exceeds the quota of group {}: {} rules "
                        "of {}, {} bytes of {}",
                        rule.id, group.name, usage.rules, group.quota.rules,
                        usage.bytes, group.quota.bytes));
      }
    }
  }

  const RuleDocument& document_;
  const std::string& file_;
  std::vector<ConfigFault> faults_;
  std::set<std::string_view> services_;
  std::map<std::string_view, const Group*> groups_;
};

bool CoversField(const std::string& wide, const std::string& narrow) {
  return wide.empty() || wide == narrow;
}

RuleDocument ReadDocument(YamlReader& reader) {
  RuleDocument document;
  reader.ForEachMapping("services", [&](YamlReader& item) {
    document.services.push_back(ReadService(item));
  });
  reader.ForEachMapping("groups", [&](YamlReader& item) {
    document.groups.push_back(ReadGroup(item));
  });
  if (!reader.Has("rules")) {
    reader.AddFault("rules", "rules: the key is missing");
  }
  reader.ForEachMapping("rules", [&](YamlReader& item) {
    document.rules.push_back(ReadRule(item));
  });
  reader.RejectUnknownKeys();
  return document;
}

}  // namespace

leaf::result<CheckedDocument> ParseRules(const std::string& text,
                                         const std::string& file) {
  BOOST_LEAF_AUTO(root, LoadYamlMapping(text, file));
  ConfigError error;
  YamlReader reader(root, file, &error.faults);
  CheckedDocument checked;
  checked.document = ReadDocument(reader);
  const auto faults = FindFaults(checked.document, file);
  error.faults.insert(error.faults.end(), faults.begin(), faults.end());
  if (!error.faults.empty()) {
    return leaf::new_error(std::move(error));
  }
  checked.warnings = FindShadowedRules(checked.document, file);
  return checked;
}

leaf::result<CheckedDocument> LoadRules(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  return ParseRules(text, path);
}

leaf::result<Rule> LoadRule(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  return ParseItem<Rule>(text, ReadRule, path);
}

leaf::result<Service> ParseService(const std::string& text) {
  return ParseItem<Service>(text, ReadService);
}

leaf::result<Group> ParseGroup(const std::string& text) {
  return ParseItem<Group>(text, ReadGroup);
}

leaf::result<Rule> ParseRule(const std::string& text) {
  return ParseItem<Rule>(text, ReadRule);
}

std::string ToCanonicalText(const Service& service) {
  return json{{"name", service.name}, {"needs", service.needs}}.dump();
}

std::string ToCanonicalText(const Group& group) {
  return json{{"name", group.name},
              {"weight", group.weight},
              {"quota",
               {{"rules", group.quota.rules},
                {"bytes", group.quota.bytes},
                {"changes_per_minute", group.quota.changes_per_minute}}}}
      .dump();
}

std::string ToCanonicalText(const Rule& rule) {
  json item = {{"id", rule.id},
               {"when", MatchToJson(rule.match)},
               {"then", std::visit(ActionToJson{}, rule.action)}};
  if (!rule.owner.empty()) {
    item["owner"] = rule.owner;
  }
  return item.dump();
}

std::vector<ConfigFault> FindFaults(const RuleDocument& document,
                                    const std::string& file) {
  return DocumentChecker(document, file).Run();
}

std::vector<ConfigFault> FindShadowedRules(const RuleDocument& document,
                                           const std::string& file) {
  std::vector<ConfigFault> warnings;
  for (std::size_t later = 1; later < document.rules.size(); ++later) {
    const Rule& rule = document.rules[later];
    const auto end =
        document.rules.begin() + static_cast<std::ptrdiff_t>(later);
    const auto earlier = std::find_if(
        document.rules.begin(), end,
        [&](const Rule& wide) { return Covers(wide.match, rule.match); });
    if (earlier != end) {
      warnings.push_back(
          {file, rule.mark,
           fmt::format("rule {} is never applied: the earlier rule {} matches "
                       "all of its requests",
                       rule.id, earlier->id)});
    }
  }
  return warnings;
}

bool Covers(const RuleMatch& wide, const RuleMatch& narrow) {
  return CoversField(wide.group, narrow.group) &&
         CoversField(wide.service, narrow.service) &&
         CoversField(wide.host, narrow.host) &&
         CoversField(wide.method, narrow.method) &&
         narrow.path_prefix.starts_with(wide.path_prefix) &&
         std::all_of(wide.headers.begin(), wide.headers.end(),
                     [&](const HeaderMatch& header) {
                       return std::find(narrow.headers.begin(),
                                        narrow.headers.end(),
                                        header) != narrow.headers.end();
                     });
}

std::string_view EffectiveOwner(const Rule& rule) {
  if (!rule.owner.empty()) {
    return rule.owner;
  }
  return rule.match.group.empty() ? kPlatformOwner
                                  : std::string_view(rule.match.group);
}

}  // namespace verbenastile
