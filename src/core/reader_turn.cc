#include "core/reader_turn.h"

#include <algorithm>

namespace verbenastile {

ReaderTurn::Cause ReaderTurn::CauseOf(Time now, const ReaderView& view) const {
  if (now - started_ < init_.settle) {
    return Cause::kNone;
  }
  if (view.fleet_size <= 1) {
    return Cause::kAlone;
  }
  if (view.chosen) {
    return Cause::kChosen;
  }
  const bool too_long_empty = view.empty && !view.waits_with_others &&
                              now - started_ >= init_.empty_limit;
  const bool too_silent =
      now - view.last_heard.value_or(started_) >= init_.silence_limit;
  return too_long_empty || too_silent ? Cause::kLastResort : Cause::kNone;
}

Duration ReaderTurn::WaitFor(Cause cause,
                             const ReaderView& view,
                             Random& random) const {
  const auto nodes = static_cast<Duration::rep>(view.fleet_size);
  const Duration spread =
      std::max(init_.spread_per_node * nodes, init_.least_spread);
  switch (cause) {
    case Cause::kAlone:
      return random.UpTo(init_.alone_spread);
    case Cause::kLastResort:
      return random.UpTo(2 * spread);
    case Cause::kChosen:
    case Cause::kNone:
      break;
  }
  return random.UpTo(spread);
}

bool ReaderTurn::Update(Time now, const ReaderView& view, Random& random) {
  const Cause cause = CauseOf(now, view);
  if (following_) {
    if (cause != Cause::kNone) {
      lingering_ = false;
    } else if (!lingering_) {
      lingering_ = true;
      needless_ = now;
    }
    following_ = !lingering_ || now - needless_ < init_.linger;
    return following_;
  }
  if (cause == Cause::kNone) {
    waiting_for_ = Cause::kNone;
    return false;
  }
  if (waiting_for_ != cause) {
    waiting_for_ = cause;
    due_ = now + WaitFor(cause, view, random);
  }
  if (now >= due_) {
    following_ = true;
    lingering_ = false;
    waiting_for_ = Cause::kNone;
  }
  return following_;
}

}  // namespace verbenastile
