// Choosing upstreams in virtual time with the real balancer and admission:
// against random choice and round robin, with sound, slow and failing
// instances.
#ifndef SOAK_BALANCE_EXPERIMENT_H_
#define SOAK_BALANCE_EXPERIMENT_H_

#include <cstdint>

namespace verbenastile {

// Prints one line for each fault and policy.
void PrintBalanceExperiment(std::uint64_t seed);
// Instances of unequal speed: prints one line for each fleet size and load,
// without and with the paces that instances tell.
void PrintUnevenExperiment(std::uint64_t seed);

}  // namespace verbenastile

#endif  // SOAK_BALANCE_EXPERIMENT_H_
