#include "cli/command_line.h"

#include <fmt/format.h>

#include <cstdlib>

namespace verbenastile {
namespace {

std::string DefaultPlatformUrl() {
  const char* url = std::getenv("VERBENASTILE_PLATFORM");
  return url == nullptr ? "" : url;
}

}  // namespace

bool ParseCommandLine(TCLAP::CmdLine& cmd, CommandArgs& args, int& exit_code) {
  cmd.setExceptionHandling(false);
  try {
    cmd.parse(args);
    return true;
  } catch (const TCLAP::ArgException& error) {
    PrintError(fmt::format("{} {}; try {} --help", error.error(), error.argId(),
                           args.empty() ? "" : args[0]));
    exit_code = kExitInvalid;
  } catch (const TCLAP::ExitException& exit_request) {
    exit_code = exit_request.getExitStatus();
  }
  return false;
}

std::optional<std::string> ParseSettingsArg(const std::string& description,
                                            CommandArgs& args,
                                            int& exit_code) {
  TCLAP::CmdLine cmd(description, ' ', VERBENASTILE_VERSION);
  TCLAP::ValueArg<std::string> file("", "settings", "settings file", true, "",
                                    "FILE", cmd);
  if (!ParseCommandLine(cmd, args, exit_code)) {
    return std::nullopt;
  }
  return file.getValue();
}

PlatformArgs::PlatformArgs(TCLAP::CmdLine& cmd)
    : url_("",
           "platform",
           "URL of the platform's object API; default: $VERBENASTILE_PLATFORM",
           DefaultPlatformUrl().empty(),
           DefaultPlatformUrl(),
           "URL",
           cmd),
      name_space_("",
                  "namespace",
                  "namespace of the objects",
                  false,
                  PlatformSettings{}.name_space,
                  "NAME",
                  cmd) {}

PlatformSettings PlatformArgs::settings() {
  PlatformSettings settings;
  settings.url = url_.getValue();
  settings.name_space = name_space_.getValue();
  return settings;
}

OutputArg::OutputArg(TCLAP::CmdLine& cmd)
    : constraint_(allowed_),
      arg_("", "output", "output format", false, "text", &constraint_) {
  cmd.add(arg_);
}

void PrintError(std::string_view text) {
  fmt::print(stderr, "verbenastile: {}\n", text);
}

}  // namespace verbenastile
