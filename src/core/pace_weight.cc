#include "core/pace_weight.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::int64_t kPermille = 1000;
// Paces of equal instances differ by less, as measured over their last calls.
constexpr std::int64_t kMinRatioPermille = 1'700;
// Among many equal instances the extremes of such measurements differ by more,
// so a tenth is left out at either end.
constexpr std::size_t kTailDivisor = 10;
// Calls for each slot, in permille, up to which all of the weight counts and
// from which on none does. A wave of half of the mean load takes a service from
// the one to the other.
constexpr std::int64_t kRoomLoad = 450;
constexpr std::int64_t kShortLoad = 650;
// Calls for each slot of an instance up to which all of its lead counts.
constexpr std::int64_t kFullLeadLoad = 500;
// An instance without a free slot refuses the first attempts of a call: it is
// behind by the weight over this.
constexpr std::int64_t kFullPenaltyDivisor = 2;

}  // namespace

PaceRange PaceRangeOf(std::vector<std::int64_t> slowness_permille) {
  std::erase(slowness_permille, 0);
  if (slowness_permille.empty()) {
    return {};
  }
  std::sort(slowness_permille.begin(), slowness_permille.end());
  const std::size_t left_out = slowness_permille.size() / kTailDivisor;
  return {slowness_permille[left_out],
          slowness_permille[slowness_permille.size() - 1 - left_out]};
}

std::int64_t PaceWeightPermille(std::span<const DomainRoom> rooms,
                                const PaceRange& paces) {
  std::int64_t slots = 0;
  std::int64_t calls = 0;
  for (const DomainRoom& room : rooms) {
    slots += room.slots;
    calls += room.calls;
  }
  const bool differ = paces.slow_permille * kPermille >=
                      paces.fast_permille * kMinRatioPermille;
  if (slots == 0 || paces.fast_permille == 0 || !differ) {
    return 0;
  }
  const std::int64_t load = calls * kPermille / slots;
  return kPermille * (kShortLoad - std::clamp(load, kRoomLoad, kShortLoad)) /
         (kShortLoad - kRoomLoad);
}

std::int64_t CountedSlownessPermille(std::int64_t told_permille,
                                     std::int64_t weight_permille,
                                     std::int64_t calls_per_slot_permille) {
  if (told_permille == 0) {
    return kPermille;
  }
  const std::int64_t difference =
      (told_permille - kPermille) * weight_permille / kPermille;
  if (calls_per_slot_permille >= kPermille) {
    return kPermille + std::max<std::int64_t>(difference, 0) +
           weight_permille / kFullPenaltyDivisor;
  }
  if (difference >= 0) {
    return kPermille + difference;
  }
  const std::int64_t free =
      kPermille - std::clamp(calls_per_slot_permille, kFullLeadLoad, kPermille);
  return kPermille + difference * free / (kPermille - kFullLeadLoad);
}

}  // namespace verbenastile
