// The commands `verbenastile node` and `drain`.
#include <fmt/format.h>

#include "base/log.h"
#include "cli/admin_call.h"
#include "cli/command_line.h"
#include "config/token_file.h"
#include "node/node.h"

namespace verbenastile {

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
