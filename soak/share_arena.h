// Groups that are always backlogged at one upstream's slots, in virtual time:
// shares over a window, slots and queues of the real admission.
#ifndef SOAK_SHARE_ARENA_H_
#define SOAK_SHARE_ARENA_H_

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "core/admission.h"
#include "soak.h"

namespace verbenastile {

class ShareArena {
 public:
  ShareArena(std::uint64_t seed, bool fair);

  // Ends one call, starts what may start, and offers more.
  void Step(RunDigest& digest, std::vector<std::string>& violations);

 private:
  struct Group {
    std::string name;
    std::uint32_t weight = 1;
    Duration shortest{0};
    Duration longest{0};
    std::size_t kept_queued = 0;
    Duration served{0};  // Slot time in this window.
  };

  // A call that holds a slot.
  struct Running {
    Time end;
    CallId id = 0;
    bool operator>(const Running& other) const {
      return std::tie(end, id) > std::tie(other.end, other.id);
    }
  };

  struct Holder {
    std::size_t group = 0;
    Time start;
  };

  void TopUp();
  void Offer(std::size_t group);
  void Begin(CallId id);
  void Apply(const AdmissionActions& actions);
  void CheckWindow(std::vector<std::string>& violations);

  SoakRandom random_;
  Admission admission_;
  std::vector<Group> groups_;
  std::map<CallId, Holder> calls_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  CallId next_id_ = 0;
  Time now_;
  Time window_start_;
};

}  // namespace verbenastile

#endif  // SOAK_SHARE_ARENA_H_
