// verbenastile_soak --seed N --steps M [--topic T|all] [--mutation NAME]
// verbenastile_soak --experiment membership --seed N
// Exit code 0 only without violations.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "balance_experiment.h"
#include "base/log.h"
#include "copies_experiment.h"
#include "core/invariant.h"
#include "membership_experiment.h"
#include "overload_experiment.h"
#include "soak.h"

namespace verbenastile {

std::vector<SoakTopic> SoakTopics() {
  return {ApplyTopic(),        CallsTopic(),      CrashSuspectsTopic(),
          DistributionTopic(), MembershipTopic(), OperatorsTopic(),
          ParsersTopic(),      RateLimitTopic()};
}

namespace {

constexpr std::size_t kMaxPrintedViolations = 10;

// Runs one topic and prints what it gave. Returns whether it was clean.
bool RunTopic(const SoakTopic& topic, const SoakOptions& options) {
  const std::uint64_t violations_before = ViolationCount();
  const SoakReport report = topic.run(options);
  const std::uint64_t asserted = ViolationCount() - violations_before;
  const std::uint64_t violations = report.violations.size() + asserted;
  fmt::print("topic={} seed={} steps={} digest={} violations={}\n", topic.name,
             options.seed, report.steps, ToString(report.digest), violations);
  for (std::size_t i = 0;
       i < std::min(report.violations.size(), kMaxPrintedViolations); ++i) {
    fmt::print("  {}\n", report.violations[i]);
  }
  return violations == 0;
}

void ListMutations() {
  for (const SoakTopic& topic : SoakTopics()) {
    for (const std::string_view mutation : topic.mutations) {
      fmt::print("{} {}\n", topic.name, mutation);
    }
  }
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine cmd("Randomised runs of the decision logic", ' ', "1");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed", false, 1, "N", cmd);
  TCLAP::ValueArg<std::uint64_t> steps("", "steps", "steps of each topic",
                                       false, 100'000, "M", cmd);
  TCLAP::ValueArg<std::string> topic("", "topic", "topic, or all", false, "all",
                                     "T", cmd);
  TCLAP::ValueArg<std::string> mutation("", "mutation", "a broken policy",
                                        false, "", "NAME", cmd);
  TCLAP::SwitchArg list("", "list-mutations", "print topics and mutations",
                        cmd);
  TCLAP::ValueArg<std::string> experiment(
      "", "experiment",
      "print figures: membership, overload, balance or copies", false, "",
      "NAME", cmd);
  cmd.parse(argc, argv);
  if (experiment.getValue() == "membership") {
    return RunMembershipExperiment(seed.getValue()) ? 0 : 1;
  }
  if (experiment.getValue() == "balance") {
    PrintBalanceExperiment(seed.getValue());
    PrintUnevenExperiment(seed.getValue());
    return 0;
  }
  if (experiment.getValue() == "copies") {
    return RunCopiesExperiment(seed.getValue()) ? 0 : 1;
  }
  if (experiment.getValue() == "overload") {
    PrintOverloadExperiment(seed.getValue());
    return 0;
  }
  if (list.getValue()) {
    ListMutations();
    return 0;
  }
  const SoakOptions options{seed.getValue(), steps.getValue(),
                            mutation.getValue()};
  bool found = false;
  bool clean = true;
  for (const SoakTopic& candidate : SoakTopics()) {
    if (topic.getValue() == "all" || topic.getValue() == candidate.name) {
      found = true;
      clean = RunTopic(candidate, options) && clean;
    }
  }
  if (!found) {
    fmt::print(stderr, "soak: there is no topic {}\n", topic.getValue());
    return 2;
  }
  return clean ? 0 : 1;
}

}  // namespace
}  // namespace verbenastile

int main(int argc, char** argv) {
  return verbenastile::Run(argc, argv);
}
