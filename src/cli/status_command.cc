// verbenastile status: the fleet as a node knows it, once or as a live view.
#include <fmt/format.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "cli/admin_call.h"
#include "cli/command_line.h"
#include "config/yaml_reader.h"
#include "node/status_page.h"

namespace verbenastile {
namespace {

constexpr const char* kClearScreen = "\033[H\033[2J";
constexpr Duration kShortestInterval = std::chrono::milliseconds(100);

struct StatusView {
  std::vector<std::string> admins;
  bool json = false;
  bool on_terminal = false;
};

// Prints the status of each node; nodes that do not answer are named.
int PrintOnce(const StatusView& view) {
  int exit_code = kExitOk;
  for (const std::string& admin : view.admins) {
    const int code = RunReported([&]() -> leaf::result<int> {
      BOOST_LEAF_AUTO(status, FetchAdminJson(admin, "/status"));
      fmt::print("{}{}", view.json ? status.dump() : RenderStatus(status),
                 view.json ? "\n" : "");
      return kExitOk;
    });
    exit_code = std::max(exit_code, code);
  }
  return exit_code;
}

// One line for each node, for logs and pipes.
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

int Watch(const StatusView& view, Duration interval, int count) {
  for (int round = 0; count == 0 || round < count; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(interval);
    }
    if (view.json) {
      PrintOnce(view);
    } else if (view.on_terminal) {
      fmt::print("{}", kClearScreen);
      PrintOnce(view);
    } else {
      for (const std::string& admin : view.admins) {
        PrintLine(admin);
      }
    }
    std::fflush(stdout);
  }
  return kExitOk;
}

}  // namespace

int RunStatusCommand(CommandArgs args) {
  TCLAP::CmdLine cmd("Shows what nodes know of the fleet.", ' ',
                     VERBENASTILE_VERSION);
  TCLAP::MultiArg<std::string> admin(
      "", "admin", "admin address of any node, again for each", true, "IP:PORT",
      cmd);
  OutputArg output(cmd);
  TCLAP::SwitchArg watch("", "watch",
                         "go on: a live view on a terminal, a "
                         "line for each node otherwise",
                         cmd);
  TCLAP::ValueArg<std::string> interval("", "interval", "between two looks",
                                        false, "2s", "DURATION", cmd);
  TCLAP::ValueArg<int> count("", "count", "end --watch after so many; 0: never",
                             false, 0, "N", cmd);
  int exit_code = kExitOk;
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return exit_code;
  }
  const auto pause = ParseDuration(interval.getValue());
  if (!pause || *pause < kShortestInterval) {
    PrintError("--interval: a duration from 100ms on is expected");
    return kExitInvalid;
  }
  const StatusView view{admin.getValue(), output.json(),
                        isatty(STDOUT_FILENO) == 1};
  return watch.getValue() ? Watch(view, *pause, count.getValue())
                          : PrintOnce(view);
}

}  // namespace verbenastile
