// Applies configuration generations atomically: a generation is compiled and
// validated in full before it replaces the current one. Older generations are
// never applied.
#ifndef CORE_CONFIG_APPLY_H_
#define CORE_CONFIG_APPLY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "core/route_table.h"
#include "core/snapshot.h"
#include "core/state_chart.h"

namespace verbenastile {

// The result of offering a generation.
enum class ApplyOutcome {
  kInForce,    // Applied; now the current generation.
  kUnchanged,  // Already the current generation.
  kOlder,      // Older than the current generation; not applied.
  kForked,     // Current generation number, different content; not applied.
  kRefused,    // Invalid; not applied.
};

// A generation that was refused as invalid; reported to operators.
struct Refusal {
  Generation generation = 0;
  std::string reason;

  bool operator==(const Refusal&) const = default;
};

struct ApplyStats {
  std::uint64_t in_force = 0;
  std::uint64_t older = 0;
  std::uint64_t forked = 0;
  std::uint64_t refused = 0;
};

// Holds the generation that is in force. Does no I/O.
class ConfigApplier {
 public:
  // `chart` is charts/config_apply.yaml and must outlive the applier.
  // The tables make digests of the groups' keys with `key_seed`.
  explicit ConfigApplier(const StateChart* chart, std::uint64_t key_seed = 0);

  ApplyOutcome Offer(std::shared_ptr<const Snapshot> snapshot);

  // Offers a parsed document, without a snapshot.
  ApplyOutcome Offer(Generation generation, RuleDocument document);

  // Null until the first generation is in force. Ownership is shared because a
  // request uses the same table from start to end.
  std::shared_ptr<const RouteTable> table() const { return table_; }
  std::shared_ptr<const Snapshot> snapshot() const { return snapshot_; }
  Generation generation() const { return table_ ? table_->generation() : 0; }

  // The last refusal; its generation is 0 when nothing was refused since the
  // last applied generation.
  const Refusal& refusal() const { return refusal_; }
  const ApplyStats& stats() const { return stats_; }

 private:
  ApplyOutcome CountOlder();
  template <typename Compile>
  ApplyOutcome Stage(Generation generation, Compile compile);
  void Swap(Generation generation, RouteTable table);

  ChartMachine machine_;
  std::uint64_t key_seed_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::shared_ptr<const RouteTable> table_;
  Refusal refusal_;
  ApplyStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_CONFIG_APPLY_H_
