// The actions of `verbenastile rules` that change the accepted rules, and
// `outcome`, which resolves a change of unknown outcome.
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdlib>

#include "cli/rules_actions.h"
#include "config/yaml_reader.h"

namespace verbenastile {
namespace {

constexpr const char* kDefaultWait = "10s";

std::string EnvironmentOr(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

std::string HostName() {
  std::array<char, 256> name{};
  return gethostname(name.data(), name.size() - 1) == 0 ? name.data()
                                                        : "unknown";
}

// Options shared by all actions that change the rules.
class ChangeArgs {
 public:
  explicit ChangeArgs(TCLAP::CmdLine& cmd)
      : platform_(cmd),
        output_(cmd),
        who_("",
             "who",
             "name for the audit trail",
             false,
             EnvironmentOr("USER", "unknown"),
             "NAME",
             cmd),
        reason_("",
                "reason",
                "reason for the audit trail",
                false,
                "",
                "TEXT",
                cmd),
        wait_("",
              "wait",
              "how long to retry when the platform is unavailable or other "
              "changes conflict",
              false,
              kDefaultWait,
              "DURATION",
              cmd) {}

  // Builds the request for `operation`. Errors: `OperationError` when an option
  // is invalid.
  leaf::result<ChangeRequest> Request(Operation operation) {
    const auto wait = ParseDuration(wait_.getValue());
    if (!wait) {
      return leaf::new_error(
          OperationError{"--wait: expected a duration such as 30s"});
    }
    if (who_.getValue().size() > kMaxWhoBytes ||
        reason_.getValue().size() > kMaxReasonBytes) {
      return leaf::new_error(OperationError{
          fmt::format("--who is limited to {} bytes and --reason to {}",
                      kMaxWhoBytes, kMaxReasonBytes)});
    }
    ChangeRequest request;
    request.operation = std::move(operation);
    request.operation_id = MakeOperationId();
    request.author = {who_.getValue(), HostName(), reason_.getValue()};
    request.deadline = SteadyNow() + *wait;
    return request;
  }

  PlatformSettings platform() { return platform_.settings(); }
  bool json() { return output_.json(); }

 private:
  PlatformArgs platform_;
  OutputArg output_;
  TCLAP::ValueArg<std::string> who_;
  TCLAP::ValueArg<std::string> reason_;
  TCLAP::ValueArg<std::string> wait_;
};

// The options --before and --after, which give a rule's position.
class PositionArgs {
 public:
  explicit PositionArgs(TCLAP::CmdLine& cmd)
      : before_("",
                "before",
                "place it before this rule",
                false,
                "",
                "ID",
                cmd),
        after_("", "after", "place it after this rule", false, "", "ID", cmd) {}

  // Errors: `OperationError` when both are given.
  leaf::result<RulePlace> place() {
    if (!before_.getValue().empty() && !after_.getValue().empty()) {
      return leaf::new_error(
          OperationError{"--before and --after are mutually exclusive"});
    }
    return RulePlace{before_.getValue(), after_.getValue()};
  }

 private:
  TCLAP::ValueArg<std::string> before_;
  TCLAP::ValueArg<std::string> after_;
};

// Options of the actions that replace the whole document: apply and rollback.
class ReplaceArgs {
 public:
  explicit ReplaceArgs(TCLAP::CmdLine& cmd)
      : dry_run_("",
                 "dry-run",
                 "print the difference without changing anything",
                 cmd),
        force_("", "force", "also overwrite changes made in the meantime", cmd),
        expect_("",
                "expect-generation",
                "fail unless this generation is in force",
                false,
                0,
                "N",
                cmd) {}

  void ApplyTo(ChangeRequest& request) {
    request.force = force_.getValue();
    if (expect_.isSet()) {
      request.expect_generation = expect_.getValue();
    }
  }
  bool dry_run() { return dry_run_.getValue(); }

 private:
  TCLAP::SwitchArg dry_run_;
  TCLAP::SwitchArg force_;
  TCLAP::ValueArg<Generation> expect_;
};

leaf::result<int> Change(ChangeArgs& args, Operation operation) {
  BOOST_LEAF_AUTO(request, args.Request(std::move(operation)));
  BlockingPlatform platform(args.platform());
  const std::string id = request.operation_id;
  const auto report = RulesStore(platform).Change(std::move(request));
  return PrintReport(report, id, args.json());
}

// Prints the difference that `request` would make to the accepted rules.
leaf::result<int> PrintDifference(RulesStore& store,
                                  const ChangeRequest& request) {
  BOOST_LEAF_AUTO(rules, store.Read());
  const Generation in_force = rules.head.generation;
  if (request.expect_generation.value_or(in_force) != in_force) {
    return leaf::new_error(
        OperationError{fmt::format("generation {} is in force, not {}",
                                   in_force, *request.expect_generation)});
  }
  BOOST_LEAF_AUTO(changed, ApplyOperation(rules.document, request.operation));
  const auto difference = Difference(rules.document, changed);
  fmt::print("against generation {}: {}\n", in_force,
             difference.empty()
                 ? "no difference"
                 : fmt::format("{}", fmt::join(difference, " ")));
  return kExitOk;
}

leaf::result<int> ReplaceAll(RulesStore& store,
                             ChangeArgs& args,
                             ReplaceArgs& replace_args,
                             ChangeRequest request) {
  replace_args.ApplyTo(request);
  if (replace_args.dry_run()) {
    return PrintDifference(store, request);
  }
  const std::string id = request.operation_id;
  return PrintReport(store.Change(std::move(request)), id, args.json());
}

leaf::result<int> Apply(const std::string& file,
                        ChangeArgs& args,
                        ReplaceArgs& replace_args) {
  BOOST_LEAF_AUTO(checked, LoadRules(file));
  for (const ConfigFault& warning : checked.warnings) {
    fmt::print(stderr, "{} (warning)\n", ToString(warning));
  }
  BlockingPlatform platform(args.platform());
  RulesStore store(platform);
  BOOST_LEAF_AUTO(request,
                  args.Request(ReplaceDocument{std::move(checked.document)}));
  return ReplaceAll(store, args, replace_args, std::move(request));
}

leaf::result<int> Rollback(Generation generation,
                           ChangeArgs& args,
                           ReplaceArgs& replace_args) {
  BlockingPlatform platform(args.platform());
  RulesStore store(platform);
  BOOST_LEAF_AUTO(accepted, store.ReadHeadOnly());
  BOOST_LEAF_AUTO(document, store.ReadGeneration(accepted.head, generation));
  BOOST_LEAF_AUTO(request, args.Request(ReplaceDocument{
                               std::move(document),
                               fmt::format("rollback to {}", generation)}));
  request.exempt_from_quota = true;
  if (!request.force) {
    request.expect_generation = accepted.head.generation;
  }
  return ReplaceAll(store, args, replace_args, std::move(request));
}

// An operation of unknown outcome, and the generation that its write was based
// on. Printed and parsed as OPERATION@BASE.
struct OperationRef {
  std::string id;
  Generation base = 0;
};

std::optional<OperationRef> ParseOperationRef(const std::string& text) {
  const auto at = text.find('@');
  OperationRef name{text.substr(0, at), 0};
  if (at == std::string::npos || name.id.empty()) {
    return std::nullopt;
  }
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + at + 1, end, name.base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return name;
}

leaf::result<int> PrintOutcome(const OperationRef& name,
                               const PlatformSettings& settings) {
  BlockingPlatform platform(settings);
  RulesStore store(platform);
  BOOST_LEAF_AUTO(accepted, store.ReadHeadOnly());
  std::vector<AuditEntry> trail;
  BOOST_LEAF_CHECK(
      store.VisitTrail(accepted.head, [&](const AuditEntry& entry) {
        const bool newer = entry.generation_after > name.base;
        if (newer) {
          trail.push_back(entry);
        }
        return newer;
      }));
  switch (ResolveOutcome(name.id, name.base, accepted.head.generation, trail)) {
    case LateOutcome::kMade:
      fmt::print("made: ");
      PrintEntry(*FindOperation(trail, name.id), false);
      return kExitOk;
    case LateOutcome::kNotMade:
      fmt::print("not made, and it can no longer take effect\n");
      return kExitFailed;
    case LateOutcome::kOpen:
      break;
  }
  fmt::print(
      "open: not made so far, but it may still take effect until "
      "generation {} is in force\n",
      name.base + 1);
  return kExitFailed;
}

}  // namespace

int RunRulesApply(CommandArgs args) {
  TCLAP::CmdLine cmd("Replaces all rules with those of a file.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "rules file", true, "",
                                             "FILE", cmd);
  ChangeArgs change(cmd);
  ReplaceArgs replace_args(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported(
      [&] { return Apply(file.getValue(), change, replace_args); });
}

int RunRulesAdd(CommandArgs args) {
  TCLAP::CmdLine cmd("Adds the single rule that a file contains.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "file with one rule", true,
                                             "", "FILE", cmd);
  ChangeArgs change(cmd);
  PositionArgs place_args(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(place, place_args.place());
    BOOST_LEAF_AUTO(rule, LoadRule(file.getValue()));
    return Change(change, AddRule{std::move(rule), std::move(place)});
  });
}

int RunRulesMove(CommandArgs args) {
  TCLAP::CmdLine cmd("Moves a rule.", ' ', VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> id("id", "the rule's id", true, "",
                                           "ID", cmd);
  ChangeArgs change(cmd);
  PositionArgs place_args(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(place, place_args.place());
    return Change(change, MoveRule{id.getValue(), std::move(place)});
  });
}

int RunRulesUpdate(CommandArgs args) {
  TCLAP::CmdLine cmd("Replaces the rule of the same id, keeping its position.",
                     ' ', VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "file with one rule", true,
                                             "", "FILE", cmd);
  ChangeArgs change(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(rule, LoadRule(file.getValue()));
    return Change(change, UpdateRule{std::move(rule)});
  });
}

int RunRulesRetire(CommandArgs args) {
  TCLAP::CmdLine cmd("Retires a rule.", ' ', VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> id("id", "the rule's id", true, "",
                                           "ID", cmd);
  ChangeArgs change(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&] { return Change(change, RetireRule{id.getValue()}); });
}

int RunRulesRollback(CommandArgs args) {
  TCLAP::CmdLine cmd("Makes a new generation with the rules of an earlier one.",
                     ' ', VERBENASTILE_VERSION);
  TCLAP::ValueArg<Generation> to("", "to", "the generation to restore", true, 0,
                                 "N", cmd);
  ChangeArgs change(cmd);
  ReplaceArgs replace_args(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported(
      [&] { return Rollback(to.getValue(), change, replace_args); });
}

int RunRulesOutcome(CommandArgs args) {
  TCLAP::CmdLine cmd(
      "Shows the outcome of a change that was reported as unknown.", ' ',
      VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> operation(
      "operation", "as printed by the change", true, "", "OPERATION@BASE", cmd);
  PlatformArgs platform(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  const auto name = ParseOperationRef(operation.getValue());
  if (!name) {
    PrintError("expected OPERATION@BASE as printed by the change");
    return kExitInvalid;
  }
  return RunReported([&] { return PrintOutcome(*name, platform.settings()); });
}

}  // namespace verbenastile
