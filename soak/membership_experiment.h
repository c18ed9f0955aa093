// Figures of the membership protocol at several fleet sizes.
#ifndef SOAK_MEMBERSHIP_EXPERIMENT_H_
#define SOAK_MEMBERSHIP_EXPERIMENT_H_

#include <cstdint>

namespace verbenastile {

// Prints a table. Returns whether the bound on idle bytes is kept.
bool RunMembershipExperiment(std::uint64_t seed);

}  // namespace verbenastile

#endif  // SOAK_MEMBERSHIP_EXPERIMENT_H_
