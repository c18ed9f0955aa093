// verbenastile rules ACTION and verbenastile audit.
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "cli/command_line.h"
#include "cli/rules_store.h"

namespace verbenastile {
namespace {

std::string EnvironmentOr(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

std::string HostName() {
  std::array<char, 256> name{};
  return gethostname(name.data(), name.size() - 1) == 0 ? name.data()
                                                        : "unknown";
}

// Options of each action that changes the rules.
class AuthorArgs {
 public:
  explicit AuthorArgs(TCLAP::CmdLine& cmd)
      : who_("",
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
                cmd) {}

  ChangeAuthor author() {
    return {who_.getValue(), HostName(), reason_.getValue()};
  }

 private:
  TCLAP::ValueArg<std::string> who_;
  TCLAP::ValueArg<std::string> reason_;
};

// --before and --after.
class PlaceArgs {
 public:
  explicit PlaceArgs(TCLAP::CmdLine& cmd)
      : before_("",
                "before",
                "place it before this rule",
                false,
                "",
                "ID",
                cmd),
        after_("", "after", "place it after this rule", false, "", "ID", cmd) {}

  RulePlace place() { return {before_.getValue(), after_.getValue()}; }

 private:
  TCLAP::ValueArg<std::string> before_;
  TCLAP::ValueArg<std::string> after_;
};

int PrintReceipt(const ChangeReceipt& receipt) {
  if (receipt.difference.empty()) {
    fmt::print("nothing to change at generation {}\n", receipt.generation);
    return kExitOk;
  }
  fmt::print("generation {}: {}\n", receipt.generation,
             fmt::join(receipt.difference, " "));
  return kExitOk;
}

leaf::result<int> Change(const PlatformSettings& settings,
                         const Operation& operation,
                         const ChangeAuthor& author) {
  BlockingPlatform platform(settings);
  RulesStore store(platform);
  BOOST_LEAF_AUTO(receipt, store.Change(operation, author));
  return PrintReceipt(receipt);
}

int RunApply(CommandArgs args) {
  TCLAP::CmdLine cmd("Replaces all rules by those of a file.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "rules file", true, "",
                                             "FILE", cmd);
  PlatformArgs platform(cmd);
  AuthorArgs author(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(checked, LoadRules(file.getValue()));
    for (const ConfigFault& warning : checked.warnings) {
      fmt::print(stderr, "{} (warning)\n", ToString(warning));
    }
    return Change(platform.settings(),
                  ReplaceDocument{std::move(checked.document)},
                  author.author());
  });
}

int RunAdd(CommandArgs args) {
  TCLAP::CmdLine cmd("Adds one rule from a file that holds it alone.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "file with one rule", true,
                                             "", "FILE", cmd);
  PlatformArgs platform(cmd);
  AuthorArgs author(cmd);
  PlaceArgs place(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(rule, LoadRule(file.getValue()));
    return Change(platform.settings(), AddRule{std::move(rule), place.place()},
                  author.author());
  });
}

int RunMove(CommandArgs args) {
  TCLAP::CmdLine cmd("Moves a rule.", ' ', VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> id("id", "the rule's id", true, "",
                                           "ID", cmd);
  PlatformArgs platform(cmd);
  AuthorArgs author(cmd);
  PlaceArgs place(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&] {
    return Change(platform.settings(), MoveRule{id.getValue(), place.place()},
                  author.author());
  });
}

int RunRetire(CommandArgs args) {
  TCLAP::CmdLine cmd("Retires a rule.", ' ', VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> id("id", "the rule's id", true, "",
                                           "ID", cmd);
  PlatformArgs platform(cmd);
  AuthorArgs author(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&] {
    return Change(platform.settings(), RetireRule{id.getValue()},
                  author.author());
  });
}

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

void PrintEntry(const AuditEntry& entry, bool json) {
  if (json) {
    fmt::print("{}\n", ToJson(entry).dump());
    return;
  }
  fmt::print("{:>6} {} {}@{} {} [{}] {}\n", entry.generation_after, entry.when,
             entry.who, entry.from, entry.operation,
             fmt::join(entry.difference, " "), entry.reason);
}

int PrintTrail(CommandArgs args, const char* help) {
  TCLAP::CmdLine cmd(help, ' ', VERBENASTILE_VERSION);
  PlatformArgs platform(cmd);
  OutputArg output(cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(accepted, ReadAccepted(platform.settings()));
    for (const AuditEntry& entry : accepted.head.audit) {
      PrintEntry(entry, output.json());
    }
    return kExitOk;
  });
}

int RunHistory(CommandArgs args) {
  return PrintTrail(std::move(args), "Lists the accepted generations.");
}

struct RulesAction {
  std::string_view name;
  int (*run)(CommandArgs args);
};

constexpr RulesAction kActions[] = {
    {"apply", RunApply},      {"add", RunAdd},   {"move", RunMove},
    {"retire", RunRetire},    {"list", RunList}, {"history", RunHistory},
    {"watch", RunRulesWatch},
};

constexpr const char* kActionNames =
    "apply, add, move, retire, list, history, watch";

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
  PrintError(fmt::format("rules needs one of {}", kActionNames));
  return kExitInvalid;
}

int RunAuditCommand(CommandArgs args) {
  return PrintTrail(std::move(args), "Shows who changed what.");
}

}  // namespace verbenastile
