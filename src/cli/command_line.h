// Command-line parsing and error reporting shared by the subcommands.
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

// Parses `args` and returns true if the command should run. Otherwise sets
// `exit_code`: help was printed, or the arguments are invalid.
bool ParseCommandLine(TCLAP::CmdLine& cmd, CommandArgs& args, int& exit_code);

// Options that locate the platform: --platform and --namespace.
class PlatformArgs {
 public:
  explicit PlatformArgs(TCLAP::CmdLine& cmd);
  PlatformSettings settings();

 private:
  TCLAP::ValueArg<std::string> url_;
  TCLAP::ValueArg<std::string> name_space_;
};

// The option --output text|json.
class OutputArg {
 public:
  explicit OutputArg(TCLAP::CmdLine& cmd);
  bool json() { return arg_.getValue() == "json"; }

 private:
  std::vector<std::string> allowed_ = {"text", "json"};
  TCLAP::ValuesConstraint<std::string> constraint_;
  TCLAP::ValueArg<std::string> arg_;
};

// Parses the arguments of a command whose only option is --settings, and
// returns the file's name. Returns nullopt if `exit_code` was set, as above.
std::optional<std::string> ParseSettingsArg(const std::string& description,
                                            CommandArgs& args,
                                            int& exit_code);

// Prints an error message as one line to standard error.
void PrintError(std::string_view text);

// Runs `body`, which returns leaf::result<int> with an exit code. Prints any
// error and maps it to an exit code.
template <typename Body>
int RunReported(Body body);

}  // namespace verbenastile

#include "cli/command_line_inl.h"

#endif  // CLI_COMMAND_LINE_H_
