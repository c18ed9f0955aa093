// The routing configuration that operators write: services, groups and ordered
// rules. Files of operators and items stored on the platform are parsed by the
// same code.
#ifndef CONFIG_RULES_H_
#define CONFIG_RULES_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
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

// A service that can be a route target, and the services that it depends on.
struct Service {
  std::string name;
  std::vector<std::string> needs;
  SourceMark mark;
};

// Limits on the number, size and change rate of the rules that a group owns.
struct GroupQuota {
  std::uint32_t rules = 1'000;
  std::uint32_t bytes = 262'144;
  std::uint32_t changes_per_minute = 60;
};

// Limit on the requests of a group over all nodes together: a token bucket.
struct RequestQuota {
  double per_second = 0;  // 0: no limit.
  double burst = 0;       // Requests beyond the rate that may come at once.

  bool operator==(const RequestQuota&) const = default;
};

struct HeaderMatch {
  std::string name;   // Lower case.
  std::string value;  // Has to match exactly.

  bool operator==(const HeaderMatch&) const = default;
};

// The conditions under which a rule applies; an empty field matches every
// request.
struct RuleMatch {
  std::string group;
  std::string service;
  std::string host;
  std::string path_prefix;
  std::string method;
  std::vector<HeaderMatch> headers;
};

enum class Priority { kHigh, kNormal, kLow };

// Names of the priorities in rules, in the order of the enumeration.
constexpr const char* kPriorityNames[] = {"high", "normal", "low"};

// A group of callers and its fair-share weight for the slots of each upstream.
struct Group {
  std::string name;
  std::uint32_t weight = 1;
  GroupQuota quota;
  // Secrets by which callers prove that they belong to the group.
  std::vector<std::string> keys{};
  // Precedes the priorities of rules; empty: the group has none.
  std::optional<Priority> priority{};
  RequestQuota requests{};
  SourceMark mark{};
};

struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;
};

// Forwards the request to one of `targets`, chosen in proportion to the
// weights.
struct RouteAction {
  std::vector<RouteTarget> targets;
  Duration deadline{0};     // 0: the default deadline of the node.
  Duration objective{0};    // Latency objective; 0: the deadline.
  bool repeatable = false;  // Idempotent: may be executed more than once.
  std::uint32_t retries = 0;
  Priority priority = Priority::kNormal;
  bool needs_key = true;  // Where the document has groups with keys.
};

// Responds to the request without forwarding it to an upstream.
struct RejectAction {
  int status = 403;
  std::string reason;
};

using RuleAction = std::variant<RouteAction, RejectAction>;

// Applies `action` to the requests that satisfy `match`. The rule counts
// against the quota of `owner`; if that is empty, against the quota of the
// matched group, and if that is empty too, the owner is "platform".
struct Rule {
  std::string id;
  std::string owner;
  RuleMatch match;
  RuleAction action;
  SourceMark mark;
  std::size_t bytes = 0;  // Size of the canonical text, for the quota.
};

struct RuleDocument {
  std::vector<Service> services;
  std::vector<Group> groups;
  std::vector<Rule> rules;
  // Callers have to present the key of a group, except on rules that need none.
  bool callers_need_keys = false;
};

// A valid document and warnings about it.
struct CheckedDocument {
  RuleDocument document;
  std::vector<ConfigFault> warnings;
};

// Parses and validates `text`. `file` is the file name in errors and warnings.
// Errors: `ConfigError`.
leaf::result<CheckedDocument> ParseRules(const std::string& text,
                                         const std::string& file);

// Reads the file at `path` and parses it as `ParseRules` does.
leaf::result<CheckedDocument> LoadRules(const std::string& path);

// Parses a file that contains a single rule. Errors: `ConfigError`.
leaf::result<Rule> LoadRule(const std::string& path);

// Parse the canonical text of one item of a document. Errors: `ConfigError`.
leaf::result<Service> ParseService(const std::string& text);
leaf::result<Group> ParseGroup(const std::string& text);
leaf::result<Rule> ParseRule(const std::string& text);

// Return the canonical text of an item: JSON with sorted keys and without
// whitespace, which is valid YAML too.
std::string ToCanonicalText(const Service& service);
std::string ToCanonicalText(const Group& group);
std::string ToCanonicalText(const Rule& rule);

// Checks the constraints between the items of a document: unique names and ids,
// references to declared services and groups, sizes and quotas. Returns all
// violations.
std::vector<ConfigFault> FindFaults(const RuleDocument& document,
                                    const std::string& file);

// Returns a warning for each rule that is never applied because an earlier rule
// matches all of its requests.
std::vector<ConfigFault> FindShadowedRules(const RuleDocument& document,
                                           const std::string& file);

// Returns whether `wide` matches every request that `narrow` matches.
// Sufficient but not necessary: matches are compared field by field.
bool Covers(const RuleMatch& wide, const RuleMatch& narrow);

// Returns the explicit owner of `rule`, or the one implied by its match.
std::string_view EffectiveOwner(const Rule& rule);

}  // namespace verbenastile

#endif  // CONFIG_RULES_H_
