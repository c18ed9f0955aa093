#include "core/rollout_messages.h"

namespace verbenastile {

std::string_view ToString(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

}  // namespace verbenastile
