// Runtime checks of invariants, active in every build type.
#ifndef CORE_INVARIANT_H_
#define CORE_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string_view>

namespace verbenastile {

// Called for each violation, after it is logged and counted.
using ViolationHandler =
    std::function<void(std::string_view name, std::string_view state)>;

// Sets the handler that is called on a violation in addition to logging and
// counting. There is none by default. Test runs use it to end the process.
void SetViolationHandler(ViolationHandler handler);

// Logs and counts a violation of the invariant `name` when `holds` is false.
// `state` describes the observed state. Returns `holds`.
bool CheckInvariant(bool holds, std::string_view name, std::string_view state);

// The number of violations since the process started.
std::uint64_t ViolationCount();

}  // namespace verbenastile

#endif  // CORE_INVARIANT_H_
