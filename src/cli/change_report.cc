// Prints the outcome of a rule change, and maps it to an exit code.
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cli/rules_actions.h"

namespace verbenastile {
namespace {

using Outcome = ReportChange::Outcome;

constexpr const char* kOutcomeNames[] = {"made",    "unchanged", "conflict",
                                         "invalid", "not-made",  "unknown"};

const char* OutcomeName(Outcome outcome) {
  return kOutcomeNames[static_cast<int>(outcome)];
}

int ExitCodeOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kMade:
    case Outcome::kUnchanged:
      return kExitOk;
    case Outcome::kInvalid:
      return kExitInvalid;
    default:
      return kExitFailed;
  }
}

nlohmann::json ToJson(const ReportChange& report,
                      const std::string& operation_id) {
  nlohmann::json rivals = nlohmann::json::array();
  for (const AuditEntry& entry : report.conflicting_entries) {
    rivals.push_back(ToJson(entry));
  }
  return {{"outcome", OutcomeName(report.outcome)},
          {"operationId", operation_id},
          {"generation", report.generation},
          {"difference", report.difference},
          {"reason", report.reason},
          {"unsettledBase", report.unsettled_base},
          {"attempts", report.attempts},
          {"rivals", std::move(rivals)}};
}

void PrintUnknownOutcome(const ReportChange& report,
                         const std::string& operation_id) {
  PrintError(fmt::format(
      "it is not known whether the change was made: {}; check later with: "
      "verbenastile rules outcome {}@{}",
      report.reason, operation_id, report.unsettled_base));
}

void PrintFailure(const ReportChange& report, const std::string& operation_id) {
  for (const ConfigFault& fault : report.faults) {
    fmt::print(stderr, "{}\n", ToString(fault));
  }
  PrintError(fmt::format("the change was not made: {} (operation {})",
                         report.reason, operation_id));
  if (report.conflicting_entries.empty()) {
    return;
  }
  fmt::print(stderr, "conflicting changes by other operators:\n");
  for (const AuditEntry& entry : report.conflicting_entries) {
    fmt::print(stderr, "{}\n", ToText(entry));
  }
}

}  // namespace

void PrintEntry(const AuditEntry& entry, bool json) {
  if (json) {
    fmt::print("{}\n", ToJson(entry).dump());
  } else {
    fmt::print("{}\n", ToText(entry));
  }
}

int PrintReport(const ReportChange& report,
                const std::string& operation_id,
                bool json) {
  if (json) {
    fmt::print("{}\n", ToJson(report, operation_id).dump());
  } else if (report.outcome == Outcome::kMade) {
    fmt::print("generation {}: {}\n", report.generation,
               fmt::join(report.difference, " "));
  } else if (report.outcome == Outcome::kUnchanged) {
    fmt::print("nothing to change at generation {}\n", report.generation);
  }
  if (report.outcome == Outcome::kUnknown) {
    PrintUnknownOutcome(report, operation_id);
  } else if (IsNotMade(report.outcome)) {
    PrintFailure(report, operation_id);
  }
  return ExitCodeOf(report.outcome);
}

}  // namespace verbenastile
