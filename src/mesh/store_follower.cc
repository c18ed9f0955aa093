#include "mesh/store_follower.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/watch_timeout.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "store";

constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(100);
// Limits how late a change is seen after the store has recovered.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
// Enough to reach `kMaxRetryDelay` and the intervals between polls.
constexpr unsigned kMaxDoublings = 8;
// After a restore of the store, all followers list within about this time.
constexpr Duration kRelistSpread = std::chrono::milliseconds(500);

}  // namespace

std::string_view ToString(StoreError::Kind kind) {
  switch (kind) {
    case StoreError::Kind::kNotFound:
      return "not_found";
    case StoreError::Kind::kConflict:
      return "conflict";
    case StoreError::Kind::kHistoryGone:
      return "history_gone";
    case StoreError::Kind::kNotDone:
      return "not_done";
    case StoreError::Kind::kUnknown:
      return "unknown";
    case StoreError::Kind::kMalformed:
      return "malformed";
  }
  return "unknown";
}

StoreFollower::StoreFollower(Init init)
    : init_(std::move(init)),
      machine_(init_.chart),
      timer_(*init_.io),
      random_(init_.seed) {}

void StoreFollower::Start() {
  machine_ = ChartMachine(init_.chart);
  List();
}

void StoreFollower::Stop() {
  init_.store->Cancel(call_);
  call_ = 0;
  timer_.cancel();
  machine_ = ChartMachine(init_.chart);
}

void StoreFollower::OnStoreRestored(StoreEra era) {
  if (init_.poll_interval || machine_.state() != "watching" || era_ >= era) {
    return;
  }
  init_.store->Cancel(call_);
  ScheduleRelist(kRelistSpread);
}

void StoreFollower::ListNow(ObjectStore::Freshness freshness) {
  if (machine_.state() == "watching") {
    freshness_ = freshness;
    init_.store->Cancel(call_);
    timer_.cancel();
    HandleEvent("watch_too_old");
  }
}

void StoreFollower::HandleEvent(std::string_view event) {
  for (const std::string& action : machine_.Fire(event).actions) {
    RunAction(action);
  }
}

void StoreFollower::RunAction(std::string_view action) {
  if (action == "list") {
    List();
  } else if (action == "watch") {
    init_.poll_interval ? ScheduleRelist(init_.poll_interval()) : Watch();
  } else if (action == "schedule_retry") {
    timer_.expires_after(random_.Jitter50Percent(NextRetryDelay()));
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        HandleEvent("retry_due");
      }
    });
  }
}

// The delay doubles with each failure. For polled objects that are already
// known it grows up to the poll interval, so that a lasting failure adds no
// load.
Duration StoreFollower::NextRetryDelay() {
  const unsigned doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const Duration max_delay =
      init_.poll_interval && listed_ ? init_.poll_interval() : kMaxRetryDelay;
  return std::min(kFirstRetryDelay * (1U << doublings), max_delay);
}

void StoreFollower::List() {
  // The first list must include everything written before this node started.
  const auto freshness =
      init_.poll_interval ? freshness_ : ObjectStore::Freshness::kCurrent;
  const auto on_done = [this](StoreResult<StoreList> result) {
    if (const auto* error = std::get_if<StoreError>(&result)) {
      OnError(*error, "list_failed");
      return;
    }
    const auto& list = std::get<StoreList>(result);
    revision_ = list.revision;
    era_ = list.era;
    listed_ = true;
    freshness_ = ObjectStore::Freshness::kMayBeStale;
    OnSuccess(sent_);
    init_.on_listed(list.items);
    HandleEvent("listed");
  };
  sent_ = SteadyNow();
  call_ = init_.store->List(init_.kind, freshness, on_done);
}

void StoreFollower::ScheduleRelist(Duration delay) {
  timer_.expires_after(random_.Jitter50Percent(delay));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      HandleEvent("watch_too_old");
    }
  });
}

void StoreFollower::Watch() {
  wait_ = std::min(WatchTimeout(init_.follower_count(), random_),
                   init_.watch_limit());
  sent_ = SteadyNow();
  call_ = init_.store->Watch(init_.kind, revision_, wait_,
                             [this](StoreResult<StoreEvents> result) {
                               OnWatchResult(std::move(result));
                             });
}

void StoreFollower::OnWatchResult(StoreResult<StoreEvents> result) {
  if (const auto* error = std::get_if<StoreError>(&result)) {
    const bool history_gone = error->kind == StoreError::Kind::kHistoryGone;
    OnError(*error, history_gone ? "watch_too_old" : "watch_failed");
    return;
  }
  if (init_.store->era() != era_) {
    OnError({StoreError::Kind::kHistoryGone, "the store was restored", {}},
            "watch_too_old");
    return;
  }
  const auto& events = std::get<StoreEvents>(result);
  revision_ = std::max(revision_, events.revision);
  OnSuccess(WatchConfirmed(events));
  for (const StoreEvent& event : events.events) {
    init_.on_event(event);
  }
  if (events.events.empty() && init_.on_unchanged) {
    init_.on_unchanged();
  }
  const Duration delay = init_.watch_delay();
  if (events.events.empty() || delay == Duration::zero()) {
    HandleEvent("watch_ended");
    return;
  }
  timer_.expires_after(delay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      HandleEvent("watch_ended");
    }
  });
}

// Without an event the store answers when the wait is over. A response that
// comes earlier, with events or since the store cut the watch off, was made
// before it is read by at most the time that it waited here.
Time StoreFollower::WatchConfirmed(const StoreEvents& events) const {
  const Time now = SteadyNow();
  const Time wait_over = sent_ + wait_;
  return events.events.empty() && now >= wait_over
             ? wait_over
             : std::max(sent_, now - init_.read_delay());
}

void StoreFollower::OnSuccess(Time confirmed) {
  if (failures_ > 0) {
    Log(LogLevel::kInfo, kLogComponent, "Requests to the store succeed again.",
        {{"kind", init_.kind}, {"failures", failures_}});
  }
  failures_ = 0;
  last_confirmed_ = std::max(last_confirmed_, std::optional(confirmed));
}

void StoreFollower::OnError(const StoreError& error, std::string_view event) {
  if (failures_ == 0) {
    Log(LogLevel::kWarning, kLogComponent,
        "Failed to list or watch objects of the store.",
        {{"kind", init_.kind},
         {"error", ToString(error.kind)},
         {"detail", error.detail},
         {"state", machine_.state()}});
  }
  const bool is_first = failures_ == 0;
  HandleEvent(event);
  if (is_first && failures_ > 0 && init_.on_failed) {
    init_.on_failed();
  }
}

}  // namespace verbenastile
