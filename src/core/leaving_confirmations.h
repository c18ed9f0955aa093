// Which peers know that the instance beside this node leaves. A node keeps
// nothing on disk: what it promises the instance has to be known elsewhere
// first, to those that the node's next process hears from.
#ifndef CORE_LEAVING_CONFIRMATIONS_H_
#define CORE_LEAVING_CONFIRMATIONS_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "core/instance_tracker.h"
#include "core/member_registry.h"

namespace verbenastile {

class LeavingConfirmations {
 public:
  // The record of `sequence` is the current one. `run` leaves by it if
  // `leaving`.
  void OnRecord(const InstanceRun& run, bool leaving, std::uint64_t sequence);
  // The member knows the record of `sequence`.
  void OnKnown(std::string_view member, std::uint64_t sequence);

  // Whether so many of the linked members know that the next process of `self`
  // hears of it, if some of them end together with this one.
  bool AreEnough(const MemberRegistry& members, std::string_view self) const;

 private:
  InstanceRun run_;
  bool leaving_ = false;
  std::uint64_t since_ = 0;  // The first record by which it leaves.
  std::set<std::string, std::less<>> members_;
};

}  // namespace verbenastile

#endif  // CORE_LEAVING_CONFIRMATIONS_H_
