// The actions of `verbenastile rules` and what they share.
#ifndef CLI_RULES_ACTIONS_H_
#define CLI_RULES_ACTIONS_H_

#include <string>

#include "cli/command_line.h"
#include "cli/rules_store.h"

namespace verbenastile {

// Each returns an exit code.
int RunRulesApply(CommandArgs args);
int RunRulesAdd(CommandArgs args);
int RunRulesMove(CommandArgs args);
int RunRulesUpdate(CommandArgs args);
int RunRulesRetire(CommandArgs args);
int RunRulesRollback(CommandArgs args);
int RunRulesOutcome(CommandArgs args);
int RunRulesExplain(CommandArgs args);
int RunRulesWatch(CommandArgs args);

// Prints `entry` as a line of text or of JSON.
void PrintEntry(const AuditEntry& entry, bool json);

// Prints what became of a change and returns the exit code.
int PrintReport(const ReportChange& report,
                const std::string& operation_id,
                bool json);

}  // namespace verbenastile

#endif  // CLI_RULES_ACTIONS_H_
