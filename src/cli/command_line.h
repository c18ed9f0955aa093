// What the subcommands' command lines share.
#ifndef CLI_COMMAND_LINE_H_
#define CLI_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>

#include "cli/commands.h"
#include "cli/exit_codes.h"
#include "config/settings.h"

namespace verbenastile {

// Parses `args`; true when the command is to go on. Otherwise `exit_code` is
// set: help was printed, or the use is invalid.
bool ParseCommandLine(TCLAP::CmdLine& cmd, CommandArgs& args, int& exit_code);

// Options that say where the platform is.
class PlatformArgs {
 public:
  explicit PlatformArgs(TCLAP::CmdLine& cmd);
  PlatformSettings settings();

 private:
  TCLAP::ValueArg<std::string> url_;
  TCLAP::ValueArg<std::string> name_space_;
};

// --output text|json.
class OutputArg {
 public:
  explicit OutputArg(TCLAP::CmdLine& cmd);
  bool json() { return arg_.getValue() == "json"; }

 private:
  std::vector<std::string> allowed_ = {"text", "json"};
  TCLAP::ValuesConstraint<std::string> constraint_;
  TCLAP::ValueArg<std::string> arg_;
};

// The settings file that `args` name, for a command that only takes one;
// nothing when `exit_code` is set, as above.
std::optional<std::string> ParseSettingsArg(const std::string& description,
                                            CommandArgs& args,
                                            int& exit_code);

// Prints an error as one line on standard error.
void PrintError(std::string_view text);

// Runs `body`, which returns leaf::result<int>, and turns each error into a
// message and an exit code.
template <typename Body>
int RunReported(Body body);

}  // namespace verbenastile

#include "cli/command_line_inl.h"

#endif  // CLI_COMMAND_LINE_H_
