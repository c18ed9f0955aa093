// Decides when a node follows the platform itself instead of relying on peers.
#ifndef CORE_READER_TURN_H_
#define CORE_READER_TURN_H_

#include <optional>

#include "base/random.h"
#include "base/time.h"

namespace verbenastile {

struct ReaderTurnInit {
  // No decision is made for this long after the start, while membership fills.
  Duration settle = std::chrono::milliseconds(500);
  // A chosen reader waits a random time of up to this per known node of the
  // fleet, so that requests are spread out if all nodes start at once.
  Duration spread_per_node = std::chrono::milliseconds(25);
  Duration least_spread = std::chrono::milliseconds(1'500);
  // A node that knows no other node waits for `alone_settle` plus a random time
  // of up to `alone_spread` before it follows the platform, and then a random
  // time of up to `alone_fetch_spread` before it reads content.
  Duration alone_settle = std::chrono::milliseconds(1'500);
  Duration alone_spread = std::chrono::seconds(2);
  Duration alone_fetch_spread = std::chrono::seconds(3);
  // After a platform outage all nodes may read at once, so the upper bound of
  // the random wait before a lone node's first read grows with the time since
  // its start, up to this.
  Duration outage_fetch_spread = std::chrono::seconds(10);
  // A node without a generation follows the platform itself after this time,
  // unless its peers are waiting for a first generation too.
  Duration empty_limit = std::chrono::seconds(5);
  // A node that hears from no peer for this long follows the platform itself.
  Duration silence_limit = std::chrono::seconds(60);
  // A node that is no longer a reader keeps following for this long.
  Duration linger = std::chrono::seconds(5);
};

// The node's state on which the decision depends.
struct ReaderView {
  bool chosen = false;  // One of the readers of its failure domain.
  bool empty = false;   // No generation is in force.
  // Peers were heard from recently, and none has a generation either.
  bool peers_also_empty = false;
  std::size_t fleet_size = 1;
  std::optional<Time> last_heard;
};

class ReaderTurn {
 public:
  explicit ReaderTurn(const ReaderTurnInit& init) : init_(init) {}

  void Start(Time now) { started_ = now; }

  // Updates the decision and returns whether to follow the platform now. Cheap
  // enough to be called often.
  bool Update(Time now, const ReaderView& view, Random& random);

  // How long a node without a generation waits for a peer to read the content
  // once it knows which generation the platform holds.
  Duration FirstFetchWait(Time now,
                          std::size_t fleet_size,
                          Random& random) const;

  bool following() const { return following_; }
  // Whether to read new content from the platform as well. False for a node
  // that only keeps following during `linger`.
  bool reading() const { return following_ && !lingering_; }

 private:
  enum class Cause { kNone, kChosen, kAlone, kLastResort };

  void UpdateMissingSince(Time now, const ReaderView& view);
  Cause CauseOf(Time now, const ReaderView& view) const;
  Duration SpreadOver(std::size_t fleet_size) const;
  Duration WaitFor(Cause cause, const ReaderView& view, Random& random) const;

  ReaderTurnInit init_;
  Time started_;
  std::optional<Time>
      missing_since_;  // No generation, though peers may have one.
  bool following_ = false;
  Cause waiting_for_ = Cause::kNone;
  std::size_t waiting_size_ = 0;  // Fleet size when the wait was drawn.
  Time follow_at_;                // End of the wait before following.
  Time linger_since_;             // Start of `linger`, while lingering.
  bool lingering_ = false;
};

}  // namespace verbenastile

#endif  // CORE_READER_TURN_H_
