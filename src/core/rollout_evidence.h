// Outcomes of calls by rule, version, instance and load: those that this node
// has seen, and the sum of what all nodes have seen.
#ifndef CORE_ROLLOUT_EVIDENCE_H_
#define CORE_ROLLOUT_EVIDENCE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "core/rollout_messages.h"

namespace verbenastile {

struct OutcomeKey {
  std::string rule;
  std::string instance;  // Empty: the versions before the target.
  bool full = false;
  bool outside = false;  // Sent while no calls were exposed.

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the default.
  auto operator<=>(const OutcomeKey&) const = default;
};

struct OutcomeCounts {
  std::uint64_t responses = 0;
  std::uint64_t failures = 0;
  std::array<std::uint32_t, kTimeBuckets> times{};

  void Add(const OutcomeCounts& other);
  void Subtract(const OutcomeCounts& other);
};

using OutcomeTable = std::map<OutcomeKey, OutcomeCounts>;

VersionOutcomes ToMessage(const OutcomeKey& key, const OutcomeCounts& counts);

// What this node has seen.
class OwnOutcomes {
 public:
  void AddAnswer(const OutcomeKey& key, Duration service_time);
  void AddFailure(const OutcomeKey& key);

  // The counts that have changed since the last call, or all of them.
  std::vector<VersionOutcomes> TakeReport(bool all);

 private:
  struct Entry {
    OutcomeCounts counts;
    bool changed = false;
  };

  // Null when there are too many different keys.
  Entry* Find(const OutcomeKey& key);

  std::map<OutcomeKey, Entry> entries_;
};

// The sum over all nodes. Reports may arrive in any order, and repeatedly.
class EvidencePool {
 public:
  void Merge(const RolloutReport& report);

  const OutcomeTable& totals() const { return totals_; }
  // The number of incarnations of nodes that have reported.
  std::size_t reporters() const { return by_node_.size(); }

 private:
  std::map<std::pair<std::string, std::uint64_t>, OutcomeTable> by_node_;
  OutcomeTable totals_;
};

}  // namespace verbenastile

#endif  // CORE_ROLLOUT_EVIDENCE_H_
