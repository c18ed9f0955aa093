// Records the attempts that this node has accepted, so that a duplicate of one
// is not executed.
//
// An attempt is kept until its deadline plus the longest time for which a copy
// can be in transit after that. Only time during which this process ran counts,
// since data in its socket buffers does not age while the process is paused.
// When the registry is full, new attempts are refused as not executed; no entry
// is removed early. Such a refusal must also hold for later copies of the
// attempt. Refused attempts are therefore kept in Bloom filters of fixed size;
// a false positive refuses an attempt needlessly but never lets a copy through.
//
// Every attempt must be registered, including idempotent ones, and before
// admission: a copy of an attempt that was refused as not executed must not be
// executed either.
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

// Identifies one attempt fleet-wide; chosen at random by its sender.
struct AttemptId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const AttemptId&) const = default;
};

// Returns 32 lower-case hexadecimal digits.
std::string ToString(const AttemptId& id);

// Parses the output of `ToString`; returns nothing for any other text.
std::optional<AttemptId> ParseAttemptId(std::string_view text);

struct AttemptRegistryLimits {
  std::size_t max_attempts = 65'536;
  // How long after its deadline a copy of an attempt may still arrive.
  Duration max_transit = std::chrono::seconds(30);
  // Attempts with a later deadline are refused, since they would have to be
  // kept for that long.
  Duration max_deadline = std::chrono::seconds(3600);
  // Longest elapsed time that is counted between two calls, so that pauses of
  // the process do not age entries.
  Duration max_time_step = std::chrono::seconds(1);
};

enum class AttemptVerdict : std::uint8_t {
  kNew = 0,    // May be executed; it has been recorded.
  kDuplicate,  // Must not be executed; the first copy decides the outcome.
  kFull,       // Refused: there is no space to record it.
  kDeadlineTooLong,  // Refused: its deadline is beyond `max_deadline`.
};

// The lower-case name of `verdict`.
std::string_view ToString(AttemptVerdict verdict);

class AttemptRegistry {
 public:
  explicit AttemptRegistry(AttemptRegistryLimits limits = {})
      : limits_(limits) {}

  // Handles the arrival of an attempt with `remaining` time until its deadline.
  AttemptVerdict Register(const AttemptId& id, Duration remaining, Time now);

  // Removes expired entries. Call it at least every `max_time_step`; otherwise
  // entries are kept for longer than necessary.
  void Tick(Time now);

  std::size_t size() const { return attempts_.size(); }

 private:
  struct Hash {
    std::size_t operator()(const AttemptId& id) const {
      return id.high ^ id.low;  // The IDs are random: no hashing needed.
    }
  };

  // Whole seconds of process running time, rounded up.
  using Second = std::int64_t;

  // Bloom filter of attempts that were refused because the registry was full.
  struct RefusedFilter {
    std::vector<bool> bits;
    // When the last of its attempts expires, in running time.
    Duration expiry{0};
  };

  bool WasRefused(const AttemptId& id) const;
  void AddRefused(const AttemptId& id, Duration expiry);

  AttemptRegistryLimits limits_;
  std::optional<Time> last_event_;
  Duration running_time_{0};
  std::unordered_set<AttemptId, Hash> attempts_;
  std::map<Second, std::vector<AttemptId>> by_expiry_;
  // New refusals are added to the first filter. It replaces the second one once
  // that has expired.
  std::array<RefusedFilter, 2> refused_;
};

}  // namespace verbenastile

#endif  // CORE_ATTEMPT_REGISTRY_H_
