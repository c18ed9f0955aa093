// Configuration of a node's distribution: policy, limits and intervals.
#ifndef CORE_DISTRIBUTION_INIT_H_
#define CORE_DISTRIBUTION_INIT_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "core/distribution_policy.h"
#include "core/reader_turn.h"
#include "core/start_gate.h"

namespace verbenastile {

// A token bucket for bytes sent. A message larger than the remaining budget
// drives it negative, so that at most burst + rate * T + one message is sent in
// any time T.
struct ByteRate {
  std::int64_t bytes_per_second = 0;
  std::int64_t burst_bytes = 0;
};

// Deliberate faults, injected by tests to prove that the invariants catch them.
struct DistributionSeams {
  bool skip_digest_check = false;
  bool ignore_budget = false;
  bool everyone_reads = false;
  bool no_exchange = false;
  bool write_each_report = false;
  bool keep_all_history = false;
};

struct DistributionInit {
  PolicyVariant policy = DeltaTree{};
  std::uint64_t seed = 0;

  // Send limits of this node, in total and per peer.
  ByteRate node_rate{262'144, 2'097'152};
  ByteRate peer_rate{131'072, 1'048'576};
  std::size_t max_history_generations = 16;
  std::size_t max_history_bytes = 1'048'576;

  // Each node exchanges summaries with a random peer this often.
  Duration exchange_interval = std::chrono::seconds(4);
  // The interval while no generation is in force, and once after each new one.
  Duration fast_exchange_interval = std::chrono::milliseconds(400);
  // How long to wait for a peer's answer before the request fails and another
  // peer may be asked.
  Duration answer_timeout = std::chrono::milliseconds(1'500);
  // How long to wait for a generation's content from the platform.
  Duration fetch_timeout = std::chrono::seconds(5);

  // Delay before a report is sent up the tree, so that one report covers
  // several changes.
  Duration report_delay = std::chrono::milliseconds(150);
  Duration report_refresh = std::chrono::seconds(10);
  Duration report_expiry = std::chrono::seconds(25);
  // The least time between two writes of a failure domain's status.
  Duration status_interval = std::chrono::seconds(1);

  ReaderTurnInit reader;
  StartGateInit start;
  DistributionSeams seams;
};

}  // namespace verbenastile

#endif  // CORE_DISTRIBUTION_INIT_H_
