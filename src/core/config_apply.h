// Brings generations into force: staged, checked whole, swapped whole, never
// an older one.
#ifndef CORE_CONFIG_APPLY_H_
#define CORE_CONFIG_APPLY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "core/route_table.h"
#include "core/snapshot.h"
#include "core/state_chart.h"

namespace verbenastile {

// What became of an offered generation.
enum class ApplyOutcome {
  kInForce,    // Swapped in whole.
  kUnchanged,  // This generation is in force already.
  kOlder,      // Not newer than the one in force; nothing changed.
  kForked,     // The generation in force with other content; nothing changed.
  kRefused,    // It has faults; nothing changed.
};

// A generation that was refused, for operators.
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

// Holds the generation in force. Pure: no input or output of its own.
class ConfigApplier {
 public:
  // `chart` is charts/config_apply.yaml and must outlive the applier.
  explicit ConfigApplier(const StateChart* chart);

  ApplyOutcome Offer(std::shared_ptr<const Snapshot> snapshot);

  // Offers a document that is already read and that no snapshot is made of.
  ApplyOutcome Offer(Generation generation, RuleDocument document);

  // Null until the first generation is in force. Requests keep the table that
  // they began with, hence the shared ownership.
  std::shared_ptr<const RouteTable> table() const { return table_; }
  std::shared_ptr<const Snapshot> snapshot() const { return snapshot_; }
  Generation generation() const { return table_ ? table_->generation() : 0; }

  // The last refusal; generation 0 when there was none since the last swap.
  const Refusal& refusal() const { return refusal_; }
  const ApplyStats& stats() const { return stats_; }

 private:
  ApplyOutcome CountOlder();
  template <typename Compile>
  ApplyOutcome Stage(Generation generation, Compile compile);
  void Swap(Generation generation, RouteTable table);

  ChartMachine machine_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::shared_ptr<const RouteTable> table_;
  Refusal refusal_;
  ApplyStats stats_;
};

}  // namespace verbenastile

#endif  // CORE_CONFIG_APPLY_H_
