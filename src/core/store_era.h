// Eras of the platform's store. The era increases each time the store is
// restored from a backup: changes made after the backup are lost, and their
// revisions are assigned again to other changes.
#ifndef CORE_STORE_ERA_H_
#define CORE_STORE_ERA_H_

#include <cstdint>

namespace verbenastile {

// 0: unknown, because the store has not reported its era.
using StoreEra = std::uint64_t;

enum class EraVerdict : std::uint8_t {
  kCurrent,   // The same era as before, or the first one reported.
  kRestored,  // A newer era: the store was restored.
  kOutdated,  // An older era: the response was sent before the restore.
};

// Tracks the era of the store from its responses and from reports of peers.
class StoreEraTracker {
 public:
  // Records the era of a response of the store.
  EraVerdict OnResponse(StoreEra era) {
    if (era == 0 || era == current_) {
      return EraVerdict::kCurrent;
    }
    if (era < current_) {
      return EraVerdict::kOutdated;
    }
    const bool is_first = current_ == 0;
    current_ = era;
    return is_first ? EraVerdict::kCurrent : EraVerdict::kRestored;
  }

  // Records the era that a peer reports. Returns whether it shows that the
  // store was restored since its last response to this node. A peer's report
  // never makes responses of the store outdated, so a wrong one does no lasting
  // harm.
  bool OnPeerReport(StoreEra era) {
    if (era <= current_ || era <= reported_) {
      return false;
    }
    reported_ = era;
    return current_ != 0;
  }

  // The newest era in a response of the store.
  StoreEra current() const { return current_; }

 private:
  StoreEra current_ = 0;
  StoreEra reported_ = 0;  // The newest era that a peer reported.
};

}  // namespace verbenastile

#endif  // CORE_STORE_ERA_H_
