// Overload in virtual time with the real admission and retry policy: what a
// flood does to another group, and goodput beyond capacity.
#ifndef SOAK_OVERLOAD_EXPERIMENT_H_
#define SOAK_OVERLOAD_EXPERIMENT_H_

#include <cstdint>

namespace verbenastile {

// Prints three tables: a flood beside a modest group, goodput at 1, 2 and 5
// times the capacity, and shares of groups that are all backlogged.
void PrintOverloadExperiment(std::uint64_t seed);

}  // namespace verbenastile

#endif  // SOAK_OVERLOAD_EXPERIMENT_H_
