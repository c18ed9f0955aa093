// When a node follows the platform itself.
#ifndef CORE_READER_TURN_H_
#define CORE_READER_TURN_H_

#include <optional>

#include "base/random.h"
#include "base/time.h"

namespace verbenastile {

struct ReaderTurnInit {
  // Membership is given this long to fill before anything is decided.
  Duration settle = std::chrono::milliseconds(500);
  // A chosen reader waits up to this for each node of the fleet that it knows,
  // so that the fleet's calls are spread when all start at once.
  Duration spread_per_node = std::chrono::milliseconds(25);
  Duration least_spread = std::chrono::milliseconds(1'500);
  // A node that knows no other waits this long, and up to the spread more,
  // before it asks the platform, and up to the last before it reads content.
  Duration alone_settle = std::chrono::milliseconds(1'500);
  Duration alone_spread = std::chrono::seconds(2);
  Duration alone_fetch_spread = std::chrono::seconds(3);
  // After an outage all may come at once: the spread grows with the time since
  // the start, up to this.
  Duration outage_fetch_spread = std::chrono::seconds(10);
  // A node that holds nothing asks the platform itself after this time, unless
  // its peers wait for a first generation too.
  Duration empty_limit = std::chrono::seconds(5);
  // A node that hears no peer for this long asks the platform itself.
  Duration silence_limit = std::chrono::seconds(60);
  // A node that is no reader any more follows on for this long.
  Duration linger = std::chrono::seconds(5);
};

// What the turn depends on.
struct ReaderView {
  bool chosen = false;  // One of the readers of its failure domain.
  bool empty = false;   // No generation is in force.
  // Peers were heard lately, and none has a generation either.
  bool waits_with_others = false;
  std::size_t fleet_size = 1;
  std::optional<Time> last_heard;
};

class ReaderTurn {
 public:
  explicit ReaderTurn(const ReaderTurnInit& init) : init_(init) {}

  void Start(Time now) { started_ = now; }

  // Whether the platform is to be followed now. Cheap; called often.
  bool Update(Time now, const ReaderView& view, Random& random);

  // How long a node that holds nothing waits, after it heard which generation
  // the platform holds, for a peer that has read it.
  Duration FirstFetchWait(Time now,
                          std::size_t fleet_size,
                          Random& random) const;

  bool following() const { return following_; }
  // Whether new content is to be read from the platform too, not only from
  // peers: not by a node that only lingers.
  bool reading() const { return following_ && !lingering_; }

 private:
  enum class Cause { kNone, kChosen, kAlone, kLastResort };

  void NoteMissing(Time now, const ReaderView& view);
  Cause CauseOf(Time now, const ReaderView& view) const;
  Duration SpreadOver(std::size_t fleet_size) const;
  Duration WaitFor(Cause cause, const ReaderView& view, Random& random) const;

  ReaderTurnInit init_;
  Time started_;
  std::optional<Time> missing_since_;  // What others have, or may have.
  bool following_ = false;
  Cause waiting_for_ = Cause::kNone;
  std::size_t waiting_size_ = 0;  // The fleet's when the wait was drawn.
  Time due_;                      // When it follows, while it waits.
  Time needless_;  // Since when there is no cause, while it follows.
  bool lingering_ = false;
};

}  // namespace verbenastile

#endif  // CORE_READER_TURN_H_
