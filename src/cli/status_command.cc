// The command `verbenastile status`: shows the fleet as a node sees it, once or
// repeatedly.
#include <fmt/format.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "cli/admin_call.h"
#include "cli/command_line.h"
#include "cli/rollout_status.h"
#include "config/yaml_reader.h"
#include "node/status_page.h"

namespace verbenastile {
namespace {

constexpr const char* kClearScreen = "\033[H\033[2J";
constexpr Duration kMinInterval = std::chrono::milliseconds(100);

struct StatusOptions {
  std::vector<std::string> admins;
  bool json = false;
  bool on_terminal = false;
};

// Prints the status of each node, and an error for each that does not respond.
int PrintOnce(const StatusOptions& options) {
  int exit_code = kExitOk;
  for (const std::string& admin : options.admins) {
    const int code = RunReported([&]() -> leaf::result<int> {
      BOOST_LEAF_AUTO(status, FetchAdminJson(admin, "/status"));
      fmt::print("{}{}", options.json ? status.dump() : RenderStatus(status),
                 options.json ? "\n" : "");
      return kExitOk;
    });
    exit_code = std::max(exit_code, code);
  }
  return exit_code;
}

// Prints the roll-outs that each sidecar knows of.
int PrintRollouts(const std::vector<std::string>& sidecars) {
  int exit_code = kExitOk;
  for (const std::string& sidecar : sidecars) {
    const int code = RunReported([&]() -> leaf::result<int> {
      BOOST_LEAF_AUTO(metrics, CallAdmin({sidecar, "GET", "/metrics", ""}));
      fmt::print("{}", RenderRollouts(metrics));
      return kExitOk;
    });
    exit_code = std::max(exit_code, code);
  }
  return exit_code;
}

// Prints the status of a node as one line, for logs and pipes.
void PrintLine(const std::string& admin) {
  RunReported([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(status, FetchAdminJson(admin, "/status"));
    fmt::print(
        "{} state={} generation={} lag={} platform={} members={} active={} "
        "refused={} cut_off={}\n",
        status.value("name", ""), status.value("state", ""),
        status.value("generation", 0), status.value("lag", 0),
        status.value("platform", ""), status["members"].size(),
        status.value("active_calls", 0), status.value("refused_calls", 0),
        status.value("cut_off", false));
    return kExitOk;
  });
}

int Watch(const StatusOptions& options, Duration interval, int count) {
  for (int update = 0; count == 0 || update < count; ++update) {
    if (update > 0) {
      std::this_thread::sleep_for(interval);
    }
    if (options.json) {
      PrintOnce(options);
    } else if (options.on_terminal) {
      fmt::print("{}", kClearScreen);
      PrintOnce(options);
    } else {
      for (const std::string& admin : options.admins) {
        PrintLine(admin);
      }
    }
    std::fflush(stdout);
  }
  return kExitOk;
}

}  // namespace

int RunStatusCommand(CommandArgs args) {
  TCLAP::CmdLine cmd("Shows the fleet as nodes see it.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::MultiArg<std::string> admin("", "admin",
                                     "admin address of a node; may be repeated",
                                     true, "IP:PORT", cmd);
  TCLAP::SwitchArg rollouts("", "rollouts",
                            "show the roll-outs that sidecars know of; --admin "
                            "names their metrics addresses",
                            cmd);
  OutputArg output(cmd);
  TCLAP::SwitchArg watch("", "watch",
                         "repeat: as a live view on a terminal, as one "
                         "line per node otherwise",
                         cmd);
  TCLAP::ValueArg<std::string> interval("", "interval", "time between updates",
                                        false, "2s", "DURATION", cmd);
  TCLAP::ValueArg<int> count("", "count",
                             "number of updates for --watch; 0: no limit",
                             false, 0, "N", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  if (rollouts.getValue()) {
    return PrintRollouts(admin.getValue());
  }
  const auto update_interval = ParseDuration(interval.getValue());
  if (!update_interval || *update_interval < kMinInterval) {
    PrintError("--interval: expected a duration of at least 100ms");
    return kExitInvalid;
  }
  const StatusOptions options{admin.getValue(), output.json(),
                              isatty(STDOUT_FILENO) == 1};
  return watch.getValue() ? Watch(options, *update_interval, count.getValue())
                          : PrintOnce(options);
}

}  // namespace verbenastile
