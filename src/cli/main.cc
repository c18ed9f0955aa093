// Entry point of the binary; dispatches to the subcommands.
#include <fmt/format.h>

#include <string_view>

#include "base/build_id.h"
#include "cli/commands.h"
#include "cli/exit_codes.h"

namespace verbenastile {
namespace {

struct Command {
  std::string_view name;
  std::string_view help;
  int (*run)(CommandArgs args);
};

constexpr Command kCommands[] = {
    {"node", "run a node beside an upstream instance", RunNodeCommand},
    {"sidecar", "run a sidecar on the users' platform", RunSidecarCommand},
    {"rules", "change, list and watch the rules", RunRulesCommand},
    {"status", "show the fleet as a node sees it", RunStatusCommand},
    {"audit", "show the audit trail of rule changes", RunAuditCommand},
    {"check", "check a settings, rules or configuration file", RunCheckCommand},
    {"drain", "drain a node and make it leave the fleet", RunDrainCommand},
};

void PrintHelp(std::FILE* stream) {
  fmt::print(stream, "Usage: verbenastile COMMAND [OPTIONS]\n\nCommands:\n");
  for (const Command& command : kCommands) {
    fmt::print(stream, "  {:8} {}\n", command.name, command.help);
  }
  fmt::print(stream,
             "\nverbenastile COMMAND --help shows the options of a command.\n"
             "Exit codes: 0 success, 1 failure at run time, 2 invalid "
             "arguments or input.\n");
}

int Main(int argc, char** argv) {
  if (argc < 2) {
    PrintHelp(stderr);
    return kExitInvalid;
  }
  const std::string_view name = argv[1];
  if (name == "--help" || name == "-h") {
    PrintHelp(stdout);
    return kExitOk;
  }
  if (name == "--version") {
    fmt::print("verbenastile {}\n", BuildId());
    return kExitOk;
  }
  for (const Command& command : kCommands) {
    if (command.name == name) {
      CommandArgs args = {fmt::format("verbenastile {}", name)};
      args.insert(args.end(), argv + 2, argv + argc);
      return command.run(std::move(args));
    }
  }
  fmt::print(stderr, "verbenastile: unknown command {}\n", name);
  PrintHelp(stderr);
  return kExitInvalid;
}

}  // namespace
}  // namespace verbenastile

int main(int argc, char** argv) {
  return verbenastile::Main(argc, argv);
}
