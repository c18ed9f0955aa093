#include "core/reader_turn.h"

#include <algorithm>

namespace verbenastile {

void ReaderTurn::UpdateMissingSince(Time now, const ReaderView& view) {
  if (!view.empty || view.peers_also_empty) {
    missing_since_.reset();
  } else if (!missing_since_) {
    missing_since_ = now;
  }
}

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
  const bool too_long_empty =
      missing_since_ && now - *missing_since_ >= init_.empty_limit;
  const bool too_silent =
      now - view.last_heard.value_or(started_) >= init_.silence_limit;
  return too_long_empty || too_silent ? Cause::kLastResort : Cause::kNone;
}

Duration ReaderTurn::SpreadOver(std::size_t fleet_size) const {
  const auto nodes = static_cast<Duration::rep>(fleet_size);
  return std::max(init_.spread_per_node * nodes, init_.least_spread);
}

Duration ReaderTurn::FirstFetchWait(Time now,
                                    std::size_t fleet_size,
                                    Random& random) const {
  const Duration waited = std::min(now - started_, init_.outage_fetch_spread);
  const Duration alone = std::max(init_.alone_fetch_spread, waited);
  return random.UpTo(fleet_size <= 1 ? alone : SpreadOver(fleet_size));
}

Duration ReaderTurn::WaitFor(Cause cause,
                             const ReaderView& view,
                             Random& random) const {
  const Duration spread = SpreadOver(view.fleet_size);
  switch (cause) {
    case Cause::kAlone:
      return init_.alone_settle + random.UpTo(init_.alone_spread);
    case Cause::kLastResort:
      return random.UpTo(2 * spread);
    case Cause::kChosen:
    case Cause::kNone:
      break;
  }
  return random.UpTo(spread);
}

bool ReaderTurn::Update(Time now, const ReaderView& view, Random& random) {
  UpdateMissingSince(now, view);
  const Cause cause = CauseOf(now, view);
  if (following_) {
    if (cause != Cause::kNone) {
      lingering_ = false;
    } else if (!lingering_) {
      lingering_ = true;
      linger_since_ = now;
    }
    following_ = !lingering_ || now - linger_since_ < init_.linger;
    return following_;
  }
  if (cause == Cause::kNone) {
    waiting_for_ = Cause::kNone;
    waiting_size_ = 0;
    return false;
  }
  // Redraw the wait if the known fleet has grown by more than a quarter, since
  // the spread depends on its size.
  const bool grown = 4 * view.fleet_size > 5 * waiting_size_;
  if (waiting_for_ != cause || grown) {
    waiting_for_ = cause;
    waiting_size_ = view.fleet_size;
    follow_at_ = now + WaitFor(cause, view, random);
  }
  if (now >= follow_at_) {
    following_ = true;
    lingering_ = false;
    waiting_for_ = Cause::kNone;
  }
  return following_;
}

}  // namespace verbenastile
