// How much the paces of a service's instances count when a call chooses one.
//
// Answers instances whose speeds differ: while there is room, calls prefer fast
// ones, where fewer of them end late. When room gets short, only free slots
// count, so that all of them fill evenly. See docs/design/balance.md.
#ifndef CORE_PACE_WEIGHT_H_
#define CORE_PACE_WEIGHT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "core/domain_spill.h"

namespace verbenastile {

// The time that fast and slow instances take, relative to what calls take
// usually: the tenth and the ninetieth percentile; 0: unknown.
struct PaceRange {
  std::int64_t fast_permille = 0;
  std::int64_t slow_permille = 0;
};

// Unknown paces, which are 0, are ignored.
PaceRange PaceRangeOf(std::vector<std::int64_t> slowness_permille);

// 0 where paces do not differ, where they are not known, or where room is
// short.
std::int64_t PaceWeightPermille(std::span<const DomainRoom> rooms,
                                const PaceRange& paces);

// The slowness of an instance that counts in a choice. An instance that is
// faster than usual loses its lead as its slots fill, since the next call may
// find none free there, and is behind when they are full. 1,000: nothing
// counts.
std::int64_t CountedSlownessPermille(std::int64_t told_permille,
                                     std::int64_t weight_permille,
                                     std::int64_t calls_per_slot_permille);

}  // namespace verbenastile

#endif  // CORE_PACE_WEIGHT_H_
