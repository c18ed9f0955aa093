#include "core/attempt_race.h"

#include <utility>

namespace verbenastile {

RaceAction AttemptRace::OnEvent(RaceEntrant entrant, RaceEvent event) {
  if (!std::exchange(running_, false)) {
    return RaceAction::kNone;
  }
  const bool first = entrant == RaceEntrant::kFirst;
  switch (event) {
    case RaceEvent::kAnswered:
      return first ? RaceAction::kDeliverFirst : RaceAction::kDeliverCopy;
    case RaceEvent::kServerError:
    case RaceEvent::kRefused:
    case RaceEvent::kBroken:
      return first ? RaceAction::kCopyGoesOn : RaceAction::kFirstGoesOn;
    case RaceEvent::kStreamed:
    case RaceEvent::kTooLarge:
      return RaceAction::kDropCopy;
    case RaceEvent::kCallerGone:
    case RaceEvent::kDeadline:
      return RaceAction::kCancelBoth;
  }
  return RaceAction::kNone;
}

}  // namespace verbenastile
