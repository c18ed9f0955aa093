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
  Duration least_spread = std::chrono::seconds(1);
  // A node that knows no other waits up to this, and up to this again before
  // it reads content.
  Duration alone_spread = std::chrono::seconds(2);
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

  bool following() const { return following_; }
  // Whether new content is to be read from the platform too, not only from
  // peers: not by a node that only lingers.
  bool reading() const { return following_ && !lingering_; }

 private:
  enum class Cause { kNone, kChosen, kAlone, kLastResort };

  Cause CauseOf(Time now, const ReaderView& view) const;
  Duration WaitFor(Cause cause, const ReaderView& view, Random& random) const;

  ReaderTurnInit init_;
  Time started_;
  bool following_ = false;
  Cause waiting_for_ = Cause::kNone;
  Time due_;       // When it follows, while it waits.
  Time needless_;  // Since when there is no cause, while it follows.
  bool lingering_ = false;
};

}  // namespace verbenastile

#endif  // CORE_READER_TURN_H_
