// The commands `verbenastile audit` and `verbenastile rules history`.
#include <fmt/format.h>

#include <deque>

#include "cli/rules_actions.h"

namespace verbenastile {
namespace {

constexpr int kDefaultLimit = 100;
constexpr int kMaxLimit = 100'000;

// Command-line options that select audit entries.
class FilterArgs {
 public:
  explicit FilterArgs(TCLAP::CmdLine& cmd)
      : group_("",
               "group",
               "only changes to rules of this group",
               false,
               "",
               "G",
               cmd),
        rule_("", "rule", "only changes to this rule", false, "", "ID", cmd),
        who_("",
             "who",
             "only changes by this operator",
             false,
             "",
             "NAME",
             cmd),
        since_("",
               "since",
               "only changes at or after this time",
               false,
               "",
               "UTC",
               cmd),
        until_("",
               "until",
               "only changes at or before this time",
               false,
               "",
               "UTC",
               cmd),
        limit_("",
               "limit",
               "show at most the N newest entries",
               false,
               kDefaultLimit,
               "N",
               cmd) {}

  // Errors: `OperationError`.
  leaf::result<AuditFilter> filter() {
    AuditFilter filter{group_.getValue(), rule_.getValue(), who_.getValue(),
                       ParseUtc(since_.getValue()),
                       ParseUtc(until_.getValue())};
    const bool bad_time =
        (since_.isSet() && !filter.since) || (until_.isSet() && !filter.until);
    if (bad_time) {
      return leaf::new_error(OperationError{
          "--since and --until: expected a UTC time such as 2026-12-03 or "
          "2026-12-03T20:00:00Z"});
    }
    if (limit_.getValue() < 1 || limit_.getValue() > kMaxLimit) {
      return leaf::new_error(OperationError{
          fmt::format("--limit: expected a number from 1 to {}", kMaxLimit)});
    }
    return filter;
  }
  std::size_t limit() { return static_cast<std::size_t>(limit_.getValue()); }

 private:
  TCLAP::ValueArg<std::string> group_;
  TCLAP::ValueArg<std::string> rule_;
  TCLAP::ValueArg<std::string> who_;
  TCLAP::ValueArg<std::string> since_;
  TCLAP::ValueArg<std::string> until_;
  TCLAP::ValueArg<int> limit_;
};

bool ContainsRule(const std::vector<std::string>& difference,
                  const std::string& rule) {
  return std::any_of(
      difference.begin(), difference.end(),
      [&](const std::string& name) { return name.substr(1) == rule; });
}

// Whether the change recorded in `entry` affected `rule`. An entry whose list
// of differences was truncated does not tell, so the documents of both
// generations are compared.
leaf::result<bool> AffectsRule(RulesStore& store,
                               const RulesHead& head,
                               const AuditEntry& entry,
                               const std::string& rule) {
  if (rule.empty() || entry.difference_omitted == 0) {
    return true;
  }
  RuleDocument before;
  if (entry.generation_before > 0) {
    BOOST_LEAF_ASSIGN(before,
                      store.ReadGeneration(head, entry.generation_before));
  }
  BOOST_LEAF_AUTO(after, store.ReadGeneration(head, entry.generation_after));
  return ContainsRule(Difference(before, after), rule);
}

leaf::result<int> PrintTrail(const PlatformSettings& settings,
                             FilterArgs& args,
                             bool json) {
  BOOST_LEAF_AUTO(filter, args.filter());
  BlockingPlatform platform(settings);
  RulesStore store(platform);
  BOOST_LEAF_AUTO(accepted, store.ReadHeadOnly());
  std::deque<AuditEntry> entries;
  BOOST_LEAF_CHECK(
      store.VisitTrail(accepted.head, [&](const AuditEntry& entry) {
        if (Passes(entry, filter)) {
          entries.push_front(entry);
        }
        return entries.size() < args.limit();
      }));
  for (const AuditEntry& entry : entries) {
    BOOST_LEAF_AUTO(affected,
                    AffectsRule(store, accepted.head, entry, filter.rule));
    if (affected) {
      PrintEntry(entry, json);
    }
  }
  return kExitOk;
}

}  // namespace

int RunAuditCommand(CommandArgs args) {
  TCLAP::CmdLine cmd("Shows the audit trail of rule changes, newest last.", ' ',
                     VERBENASTILE_VERSION);
  PlatformArgs platform(cmd);
  OutputArg output(cmd);
  FilterArgs filter(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported(
      [&] { return PrintTrail(platform.settings(), filter, output.json()); });
}

}  // namespace verbenastile
