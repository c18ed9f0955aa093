// The command `verbenastile sidecar`.
#include <fmt/format.h>

#include <csignal>

#include "base/log.h"
#include "cli/command_line.h"
#include "mesh/sidecar.h"

namespace verbenastile {
namespace {

leaf::result<int> RunSidecar(const std::string& path) {
  BOOST_LEAF_AUTO(settings, LoadSidecarSettings(path));
  const auto bounds = platform::ParseBounds(settings.bounds);
  if (const auto* error = std::get_if<platform::FormatError>(&bounds)) {
    return leaf::new_error(ConfigError{
        {{path, {}, fmt::format("platform.bounds: {}", error->reason)}}});
  }
  BOOST_LEAF_AUTO(charts, LoadNodeCharts());
  SetLogLevel(settings.log_level);
  StartBufferedLog();
  Sidecar sidecar(settings, std::get<platform::Bounds>(bounds),
                  std::move(charts), path);
  return sidecar.Run();
}

}  // namespace

int RunSidecarCommand(CommandArgs args) {
  // Until the sidecar handles signals. It notices a change of its settings also
  // without one.
  std::signal(SIGHUP, SIG_IGN);
  int exit_code = kExitOk;
  const auto file = ParseSettingsArg("Runs a sidecar on the users' platform.",
                                     args, exit_code);
  if (!file) {
    return exit_code;
  }
  return RunReported([&] { return RunSidecar(*file); });
}

}  // namespace verbenastile
