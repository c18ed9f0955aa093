// The commands `verbenastile node`, `check` and `drain`.
#include <fmt/format.h>

#include "base/log.h"
#include "cli/admin_call.h"
#include "cli/command_line.h"
#include "config/rules.h"
#include "config/token_file.h"
#include "config/yaml_reader.h"
#include "node/node.h"

namespace verbenastile {
namespace {

// Only settings files have a section `node` or `listen`.
bool LooksLikeSettings(const YAML::Node& root) {
  return root["node"].IsDefined() || root["listen"].IsDefined();
}

leaf::result<int> CheckFile(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadConfigFile(path));
  BOOST_LEAF_AUTO(root, LoadYamlMapping(text, path));
  if (LooksLikeSettings(root)) {
    BOOST_LEAF_CHECK(ParseSettings(text, path));
    fmt::print("{}: the settings are valid\n", path);
    return kExitOk;
  }
  BOOST_LEAF_AUTO(checked, ParseRules(text, path));
  for (const ConfigFault& warning : checked.warnings) {
    fmt::print(stderr, "{} (warning)\n", ToString(warning));
  }
  fmt::print("{}: {} rules are valid\n", path, checked.document.rules.size());
  return kExitOk;
}

}  // namespace

int RunNodeCommand(CommandArgs args) {
  int exit_code = kExitOk;
  const auto file = ParseSettingsArg("Runs a node beside an upstream instance.",
                                     args, exit_code);
  if (!file) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(settings, LoadSettings(*file));
    BOOST_LEAF_AUTO(charts, LoadNodeCharts());
    std::string token;
    if (!settings.admin_token_file.empty()) {
      BOOST_LEAF_ASSIGN(token, ReadTokenFile(settings.admin_token_file));
    }
    SetLogLevel(settings.log_level);
    Node node(settings, std::move(charts), std::move(token));
    return node.Run();
  });
}

int RunCheckCommand(CommandArgs args) {
  TCLAP::CmdLine cmd("Checks a settings or a rules file.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "file to check", true, "",
                                             "FILE", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&] { return CheckFile(file.getValue()); });
}

int RunDrainCommand(CommandArgs args) {
  TCLAP::CmdLine cmd("Drains a node and makes it leave the fleet.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::ValueArg<std::string> admin("", "admin", "the node's admin address",
                                     true, "", "IP:PORT", cmd);
  TCLAP::ValueArg<std::string> token_file("", "token-file",
                                          "file that holds the admin token",
                                          false, "", "FILE", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  return RunReported([&]() -> leaf::result<int> {
    std::string token;
    if (!token_file.getValue().empty()) {
      BOOST_LEAF_ASSIGN(token, ReadTokenFile(token_file.getValue()));
    }
    BOOST_LEAF_AUTO(body, CallAdmin({admin.getValue(), "POST", "/drain",
                                     std::move(token)}));
    fmt::print("{}", body);
    return kExitOk;
  });
}

}  // namespace verbenastile
