#include "core/leaving_confirmations.h"

#include <algorithm>
#include <cstddef>

namespace verbenastile {
namespace {

// Fewer are enough only where fewer are linked.
constexpr std::size_t kMinConfirmations = 2;

}  // namespace

void LeavingConfirmations::OnRecord(const InstanceRun& run,
                                    bool leaving,
                                    std::uint64_t sequence) {
  if (leaving && leaving_ && run == run_) {
    return;
  }
  run_ = run;
  leaving_ = leaving;
  since_ = sequence;
  members_.clear();
}

void LeavingConfirmations::OnKnown(std::string_view member,
                                   std::uint64_t sequence) {
  if (leaving_ && sequence >= since_) {
    members_.emplace(member);
  }
}

bool LeavingConfirmations::AreEnough(const MemberRegistry& members,
                                     std::string_view self) const {
  std::size_t linked = 0;
  std::size_t confirmations = 0;
  for (const auto& [name, entry] : members.entries()) {
    if (entry.linked && name != self) {
      ++linked;
      confirmations += members_.contains(name) ? 1 : 0;
    }
  }
  const std::size_t half = (linked + 1) / 2;
  return linked > 0 &&
         confirmations >= std::min(linked, std::max(kMinConfirmations, half));
}

}  // namespace verbenastile
