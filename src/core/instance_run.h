// Identifies one run of an upstream instance.
#ifndef CORE_INSTANCE_RUN_H_
#define CORE_INSTANCE_RUN_H_

#include <cstdint>
#include <string>

namespace verbenastile {

// Instances may start again under the id that they had.
struct InstanceRun {
  std::string id;
  std::uint64_t started_ms = 0;  // Start time in Unix ms; 0: not known.

  bool operator==(const InstanceRun&) const = default;
};

// Whether `run` is known to have started after `earlier`, under the same id.
inline bool IsLaterRun(const InstanceRun& run, const InstanceRun& earlier) {
  return run.id == earlier.id && earlier.started_ms != 0 &&
         run.started_ms > earlier.started_ms;
}

}  // namespace verbenastile

#endif  // CORE_INSTANCE_RUN_H_
