#include "mesh/store_follower.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/watch_timeout.h"

namespace verbenastile {
namespace {

constexpr std::string_view kPart = "store";

constexpr Duration kFirstRetry = std::chrono::milliseconds(100);
// Bounds how late a change is seen after the store has come back.
constexpr Duration kLongestRetry = std::chrono::milliseconds(800);
// Enough for `kLongestRetry` and for the times between two polls.
constexpr unsigned kMaxDoublings = 8;

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

void StoreFollower::Fire(std::string_view event) {
  for (const std::string& action : machine_.Fire(event).actions) {
    RunAction(action);
  }
}

void StoreFollower::RunAction(std::string_view action) {
  if (action == "list") {
    List();
  } else if (action == "watch") {
    init_.poll ? ListAgainLater() : Watch();
  } else if (action == "schedule_retry") {
    timer_.expires_after(random_.Jitter50Percent(RetryWait()));
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Fire("retry_due");
      }
    });
  }
}

// What is polled, and known already, is not asked for more often for failing.
Duration StoreFollower::RetryWait() {
  const unsigned doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const Duration longest = init_.poll && listed_ ? init_.poll() : kLongestRetry;
  return std::min(kFirstRetry * (1U << doublings), longest);
}

void StoreFollower::List() {
  // The first list is to know all that was written before this node started.
  const auto freshness = init_.poll && listed_
                             ? ObjectStore::Freshness::kMayBeStale
                             : ObjectStore::Freshness::kCurrent;
  const auto on_done = [this](StoreResult<StoreList> result) {
    if (const auto* error = std::get_if<StoreError>(&result)) {
      OnError(*error, "list_failed");
      return;
    }
    const auto& list = std::get<StoreList>(result);
    revision_ = list.revision;
    listed_ = true;
    Confirm();
    init_.on_listed(list.items);
    Fire("listed");
  };
  call_ = init_.store->List(init_.kind, freshness, on_done);
}

void StoreFollower::ListAgainLater() {
  timer_.expires_after(random_.Jitter50Percent(init_.poll()));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Fire("watch_too_old");
    }
  });
}

void StoreFollower::Watch() {
  call_ = init_.store->Watch(
      init_.kind, revision_, WatchTimeout(init_.followers(), random_),
      [this](StoreResult<StoreEvents> result) { OnEvents(std::move(result)); });
}

void StoreFollower::OnEvents(StoreResult<StoreEvents> result) {
  if (const auto* error = std::get_if<StoreError>(&result)) {
    const bool gone = error->kind == StoreError::Kind::kHistoryGone;
    OnError(*error, gone ? "watch_too_old" : "watch_failed");
    return;
  }
  const auto& events = std::get<StoreEvents>(result);
  revision_ = std::max(revision_, events.revision);
  Confirm();
  for (const StoreEvent& event : events.events) {
    init_.on_event(event);
  }
  if (events.events.empty() && init_.on_quiet) {
    init_.on_quiet();
  }
  if (events.events.empty() || init_.rest == Duration::zero()) {
    Fire("watch_ended");
    return;
  }
  timer_.expires_after(init_.rest);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Fire("watch_ended");
    }
  });
}

void StoreFollower::Confirm() {
  if (failures_ > 0) {
    Log(LogLevel::kInfo, kPart, "The store answers again.",
        {{"kind", init_.kind}, {"failures", failures_}});
  }
  failures_ = 0;
  confirmed_ = SteadyNow();
}

void StoreFollower::OnError(const StoreError& error, std::string_view event) {
  if (failures_ == 0) {
    Log(LogLevel::kWarning, kPart, "The store cannot be followed.",
        {{"kind", init_.kind},
         {"error", ToString(error.kind)},
         {"detail", error.detail},
         {"state", machine_.state()}});
  }
  Fire(event);
}

}  // namespace verbenastile
