// The subcommands of the binary. Each parses its own arguments and returns an
// exit code. `args[0]` is the command name shown in the help text.
#ifndef CLI_COMMANDS_H_
#define CLI_COMMANDS_H_

#include <string>
#include <vector>

namespace verbenastile {

using CommandArgs = std::vector<std::string>;

int RunNodeCommand(CommandArgs args);
int RunSidecarCommand(CommandArgs args);
int RunRulesCommand(CommandArgs args);
int RunStatusCommand(CommandArgs args);
int RunAuditCommand(CommandArgs args);
int RunCheckCommand(CommandArgs args);
int RunDrainCommand(CommandArgs args);

}  // namespace verbenastile

#endif  // CLI_COMMANDS_H_
