// The actions of `verbenastile rules`, and the output functions they share.
#ifndef CLI_RULES_ACTIONS_H_
#define CLI_RULES_ACTIONS_H_

#include <string>

#include "cli/command_line.h"
#include "cli/rules_store.h"

namespace verbenastile {

// Each parses its own arguments and returns an exit code.
int RunRulesApply(CommandArgs args);
int RunRulesAdd(CommandArgs args);
int RunRulesMove(CommandArgs args);
int RunRulesUpdate(CommandArgs args);
int RunRulesRetire(CommandArgs args);
int RunRulesRollback(CommandArgs args);
int RunRulesOutcome(CommandArgs args);
int RunRulesExplain(CommandArgs args);
int RunRulesWatch(CommandArgs args);

// Prints `entry` as one line of text or JSON.
void PrintEntry(const AuditEntry& entry, bool json);

// Prints the outcome of a change and returns the exit code for it.
int PrintReport(const ReportChange& report,
                const std::string& operation_id,
                bool json);

}  // namespace verbenastile

#endif  // CLI_RULES_ACTIONS_H_
