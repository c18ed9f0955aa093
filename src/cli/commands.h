// The subcommands of the binary. Each takes its own arguments, `args[0]` being
// the name for its help, and returns an exit code.
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
