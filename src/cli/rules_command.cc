// The command `verbenastile rules`: dispatches to its actions, and implements
// `list`.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cli/rules_actions.h"

namespace verbenastile {
namespace {

leaf::result<AcceptedRules> ReadAccepted(const PlatformSettings& settings) {
  BlockingPlatform platform(settings);
  return RulesStore(platform).Read();
}

int RunList(CommandArgs args) {
  TCLAP::CmdLine cmd("Lists the accepted rules in order.", ' ',
                     VERBENASTILE_VERSION);
  PlatformArgs platform(cmd);
  OutputArg output(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(accepted, ReadAccepted(platform.settings()));
    nlohmann::json rules = nlohmann::json::array();
    for (const Rule& rule : accepted.document.rules) {
      rules.push_back(nlohmann::json::parse(ToCanonicalText(rule)));
    }
    if (output.json()) {
      fmt::print("{}\n",
                 nlohmann::json{{"generation", accepted.head.generation},
                                {"rules", rules}}
                     .dump());
      return kExitOk;
    }
    fmt::print("generation {}\n", accepted.head.generation);
    for (const auto& rule : rules) {
      fmt::print("{:24} when {} then {}\n", rule.value("id", ""),
                 rule["when"].dump(), rule["then"].dump());
    }
    return kExitOk;
  });
}

struct RulesAction {
  std::string_view name;
  int (*run)(CommandArgs args);
};

constexpr RulesAction kActions[] = {
    {"apply", RunRulesApply},
    {"add", RunRulesAdd},
    {"move", RunRulesMove},
    {"update", RunRulesUpdate},
    {"retire", RunRulesRetire},
    {"rollback", RunRulesRollback},
    {"outcome", RunRulesOutcome},
    {"explain", RunRulesExplain},
    {"list", RunList},
    {"history", RunAuditCommand},
    {"watch", RunRulesWatch},
};

constexpr const char* kActionNames =
    "apply, add, move, update, retire, rollback, outcome, explain, list, "
    "history, watch";

}  // namespace

int RunRulesCommand(CommandArgs args) {
  const std::string name = args.size() > 1 ? args[1] : "";
  for (const RulesAction& action : kActions) {
    if (action.name == name) {
      args[0] += " " + name;
      args.erase(args.begin() + 1);
      return action.run(std::move(args));
    }
  }
  if (name == "--help" || name == "-h") {
    fmt::print("Usage: verbenastile rules ACTION [OPTIONS]\nActions: {}\n",
               kActionNames);
    return kExitOk;
  }
  PrintError(
      fmt::format("rules: expected one of the actions {}", kActionNames));
  return kExitInvalid;
}

}  // namespace verbenastile
