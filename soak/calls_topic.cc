// Topic "calls": the call decisions in a small fleet with faults, and groups
// that are always backlogged at one upstream.
#include <fmt/format.h>

#include <map>

#include "calls_world.h"
#include "share_arena.h"

namespace verbenastile {
namespace {

// One step in this many goes to the arena of backlogged groups.
constexpr std::uint64_t kArenaEvery = 3;

using MutationFlag = bool CallsMutation::*;

const std::map<std::string_view, MutationFlag>& Mutations() {
  static const std::map<std::string_view, MutationFlag> mutations = {
      {"run_duplicates", &CallsMutation::run_duplicates},
      {"retry_unsafe", &CallsMutation::retry_unsafe},
      {"untrue_not_run", &CallsMutation::untrue_not_run},
      {"end_twice", &CallsMutation::end_twice},
      {"exceed_slots", &CallsMutation::exceed_slots},
      {"leak_slot", &CallsMutation::leak_slot},
      {"drop_refusals", &CallsMutation::drop_refusals},
      {"ignore_leaving", &CallsMutation::ignore_leaving},
      {"copy_attempts", &CallsMutation::copy_attempts},
      {"no_retry_budget", &CallsMutation::no_retry_budget},
      {"no_ejection_cap", &CallsMutation::no_ejection_cap},
      {"forget_when_paused", &CallsMutation::forget_when_paused},
      {"admit_while_leaving", &CallsMutation::admit_while_leaving},
      {"one_queue_for_all", &CallsMutation::one_queue_for_all},
  };
  return mutations;
}

CallsMutation ParseMutation(std::string_view name) {
  CallsMutation mutation;
  const auto found = Mutations().find(name);
  if (found != Mutations().end()) {
    mutation.*(found->second) = true;
  }
  return mutation;
}

void Print(const CallsWorld::Seen& seen) {
  fmt::print(
      "calls={} answered={} not_run={} unknown={} retries={} runs={} "
      "duplicates={} registry_full={} ejections={} kills={} drains={} "
      "pauses={}\n",
      seen.calls, seen.answered, seen.not_run, seen.unknown, seen.retries,
      seen.runs, seen.duplicates, seen.registry_full, seen.ejections,
      seen.kills, seen.drains, seen.pauses);
}

SoakReport RunCalls(const SoakOptions& options) {
  const CallsMutation mutation = ParseMutation(options.mutation);
  CallsWorld world(options.seed, mutation);
  ShareArena arena(options.seed, !mutation.one_queue_for_all);
  SoakReport report;
  RunDigest digest;
  for (std::uint64_t step = 0; step < options.steps; ++step) {
    if (step % kArenaEvery == 0) {
      arena.Step(digest, report.violations);
    } else {
      world.Step(digest, report.violations);
    }
  }
  Print(world.seen());
  report.steps = options.steps;
  report.digest = digest.digest();
  return report;
}

}  // namespace

SoakTopic CallsTopic() {
  SoakTopic topic{"calls", RunCalls, {}};
  for (const auto& [name, flag] : Mutations()) {
    topic.mutations.push_back(name);
  }
  return topic;
}

}  // namespace verbenastile
