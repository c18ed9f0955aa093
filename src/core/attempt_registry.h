// Remembers the attempts that this node has taken, so that a second copy of
// one is not run.
//
// An attempt is remembered until its deadline and the longest time that a copy
// can be under way after that. Only time during which this process ran counts:
// what waits in its sockets while it is paused is as old as it was. When the
// memory is full, new attempts are refused as not run; nothing is forgotten
// early. That refusal stays true for later copies: refused attempts are kept in
// Bloom filters of fixed size, whose errors refuse too much and never too
// little.
//
// All attempts belong in here, repeatable ones too, and before admission: a
// copy of an attempt that was refused as not run must not run either.
#ifndef CORE_ATTEMPT_REGISTRY_H_
#define CORE_ATTEMPT_REGISTRY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/time.h"

namespace verbenastile {

// Names one attempt in the whole fleet; chosen at random by its sender.
struct AttemptId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const AttemptId&) const = default;
};

// 32 lower-case hexadecimal digits.
std::string ToString(const AttemptId& id);

// Reads what `ToString` wrote; nothing otherwise.
std::optional<AttemptId> ParseAttemptId(std::string_view text);

struct AttemptRegistryLimits {
  std::size_t max_attempts = 65'536;
  // How long after its deadline a copy of an attempt may still come.
  Duration max_transit = std::chrono::seconds(30);
  // A longer deadline is refused, since it would have to be remembered.
  Duration max_deadline = std::chrono::seconds(3600);
  // Longer gaps between events count as this much time.
  Duration max_gap = std::chrono::seconds(1);
};

enum class AttemptVerdict : std::uint8_t {
  kNew = 0,       // May run; it is remembered now.
  kDuplicate,     // Do not run it; the outcome is that of the first copy.
  kFull,          // Not run: there is no memory to remember it.
  kDeadlineLong,  // Not run: its deadline is beyond `max_deadline`.
};

// The name of `verdict` in lower case.
std::string_view ToString(AttemptVerdict verdict);

class AttemptRegistry {
 public:
  explicit AttemptRegistry(AttemptRegistryLimits limits = {})
      : limits_(limits) {}

  // An attempt arrived that has `remaining` until its deadline.
  AttemptVerdict Offer(const AttemptId& id, Duration remaining, Time now);

  // Forgets what can be forgotten. Call it at least every `max_gap`, or
  // attempts are remembered for longer than needed.
  void Tick(Time now);

  std::size_t size() const { return known_.size(); }

 private:
  struct Hash {
    std::size_t operator()(const AttemptId& id) const {
      return id.high ^ id.low;  // Random already.
    }
  };

  // Whole seconds of awake time, rounded up.
  using Second = std::int64_t;

  // Attempts that were refused for want of memory, until `end`.
  struct RefusedFilter {
    std::vector<bool> bits;
    Duration end{0};  // Of awake time.
  };

  bool WasRefused(const AttemptId& id) const;
  void RememberRefused(const AttemptId& id, Duration until);

  AttemptRegistryLimits limits_;
  std::optional<Time> last_event_;
  Duration awake_{0};
  std::unordered_set<AttemptId, Hash> known_;
  std::map<Second, std::vector<AttemptId>> by_expiry_;
  // The first takes new ones until it is old enough to become the second.
  std::array<RefusedFilter, 2> refused_;
};

}  // namespace verbenastile

#endif  // CORE_ATTEMPT_REGISTRY_H_
