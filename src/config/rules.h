// The operators' document: services, groups and ordered rules. One parser
// serves files of operators and items from the platform.
#ifndef CONFIG_RULES_H_
#define CONFIG_RULES_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "config/config_error.h"

namespace verbenastile {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxRules = 10'000;
constexpr std::size_t kMaxServices = 1'000;
constexpr std::size_t kMaxGroups = 1'000;
constexpr std::size_t kMaxTargets = 16;
constexpr std::uint32_t kMaxRetries = 5;
constexpr std::uint32_t kMaxWeight = 1'000'000;

// A service that routes may name, and the services that it calls itself.
struct Service {
  std::string name;
  std::vector<std::string> needs;
  SourceMark mark;
};

// Bounds on what one group may put into the configuration.
struct GroupQuota {
  std::uint32_t rules = 1'000;
  std::uint32_t bytes = 262'144;
  std::uint32_t changes_per_minute = 60;
};

// A group of callers and its share of each upstream's slots.
struct Group {
  std::string name;
  std::uint32_t weight = 1;
  GroupQuota quota;
  SourceMark mark;
};

struct HeaderMatch {
  std::string name;   // Lower case.
  std::string value;  // Compared whole.

  bool operator==(const HeaderMatch&) const = default;
};

// What must hold for a rule to decide; an empty part holds for every request.
struct RuleMatch {
  std::string group;
  std::string service;
  std::string host;
  std::string path_prefix;
  std::string method;
  std::vector<HeaderMatch> headers;
};

enum class Priority { kHigh, kNormal, kLow };

// The names of the priorities, in the order of the enumeration.
constexpr const char* kPriorityNames[] = {"high", "normal", "low"};

struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;
};

// Sends the request to one of `targets`, in proportion to their weights.
struct RouteAction {
  std::vector<RouteTarget> targets;
  Duration deadline{0};   // 0: the node's default.
  Duration objective{0};  // An answer after this is late; 0: the deadline.
  bool repeatable = false;
  std::uint32_t retries = 0;
  Priority priority = Priority::kNormal;
};

// Answers the request without any upstream.
struct RejectAction {
  int status = 403;
  std::string reason;
};

using RuleAction = std::variant<RouteAction, RejectAction>;

// "When `match` holds, do `action`." `owner` pays for it from its quota; it is
// the matched group unless set, and "platform" without either.
struct Rule {
  std::string id;
  std::string owner;
  RuleMatch match;
  RuleAction action;
  SourceMark mark;
  std::size_t bytes = 0;  // Of its canonical text; counts against quotas.
};

struct RuleDocument {
  std::vector<Service> services;
  std::vector<Group> groups;
  std::vector<Rule> rules;
};

// A document with what is odd in it but not wrong.
struct CheckedDocument {
  RuleDocument document;
  std::vector<ConfigFault> warnings;
};

// Reads and validates `text`; `file` is named in faults. Errors: `ConfigError`.
leaf::result<CheckedDocument> ParseRules(const std::string& text,
                                         const std::string& file);

// As `ParseRules`, from the file at `path`.
leaf::result<CheckedDocument> LoadRules(const std::string& path);

// Reads a file that holds one rule alone. Errors: `ConfigError`.
leaf::result<Rule> LoadRule(const std::string& path);

// Reads one part of a document from its canonical text. Errors: `ConfigError`.
leaf::result<Service> ParseService(const std::string& text);
leaf::result<Group> ParseGroup(const std::string& text);
leaf::result<Rule> ParseRule(const std::string& text);

// The canonical text: JSON, which is YAML too, with sorted keys and no blanks.
std::string ToCanonicalText(const Service& service);
std::string ToCanonicalText(const Group& group);
std::string ToCanonicalText(const Rule& rule);

// What holds between the parts of a document: names declared once, routes to
// declared services, quotas. Returns all faults.
std::vector<ConfigFault> FindFaults(const RuleDocument& document,
                                    const std::string& file);

// Rules that can never decide since an earlier one always does.
std::vector<ConfigFault> FindShadowedRules(const RuleDocument& document,
                                           const std::string& file);

// Whether every request that `narrow` matches is matched by `wide` too.
bool Covers(const RuleMatch& wide, const RuleMatch& narrow);

// The owner named by `rule` or implied by its match.
std::string_view EffectiveOwner(const Rule& rule);

}  // namespace verbenastile

#endif  // CONFIG_RULES_H_
