// Follows the objects of one kind in the platform's store: lists them, then
// watches for changes or lists them again periodically, and retries after
// errors. The state machine is charts/platform_session.yaml.
#ifndef MESH_STORE_FOLLOWER_H_
#define MESH_STORE_FOLLOWER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "core/state_chart.h"
#include "mesh/object_store.h"

namespace verbenastile {

class StoreFollower {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    ObjectStore* store = nullptr;
    const StateChart* chart = nullptr;  // "platform_session".
    std::string kind;
    // The delay between an event and the next watch, so that a burst of events
    // costs one request.
    std::function<Duration()> watch_delay = [] { return Duration::zero(); };
    // If set, objects are not watched but listed again after about this time.
    std::function<Duration()> poll_interval;
    // The number of nodes that watch these objects and notify each other of
    // changes.
    std::function<std::size_t()> follower_count = [] { return std::size_t{1}; };
    // The longest time that a watch may wait for an event.
    std::function<Duration()> watch_limit = [] { return Duration::max(); };
    // How long a response that is read now may have waited in this process.
    std::function<Duration()> read_delay = [] { return Duration::zero(); };
    std::uint64_t seed = 0;
    // Receives all objects after each list.
    std::function<void(const std::vector<StoreObject>&)> on_listed;
    std::function<void(const StoreEvent&)> on_event;
    // A watch ended without an event: the known objects are up to date.
    std::function<void()> on_unchanged;
    // A request has failed, and the one before had not.
    std::function<void()> on_failed;
  };

  explicit StoreFollower(Init init);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  // Starts with a list, also after `Stop`.
  void Start();
  void Stop();
  // The store was restored from a backup and is in `era` now: the revision to
  // watch from may name another change. Lists the objects again, unless they
  // are polled or were listed in that era.
  void OnStoreRestored(StoreEra era);
  // Lists the objects now instead of waiting for the watch to end.
  void ListNow() { ListNow(ObjectStore::Freshness::kMayBeStale); }
  // The same; polled objects are as `freshness` says.
  void ListNow(ObjectStore::Freshness freshness);

  // The latest time at which the store is known to have had nothing newer than
  // what was reported; empty before the first successful request.
  std::optional<Time> last_confirmed() const { return last_confirmed_; }
  // Whether the objects have been listed at least once.
  bool listed() const { return listed_; }
  // Of the last list or watch.
  StoreRevision revision() const { return revision_; }
  // Whether the objects are listed and no request has failed since.
  bool is_connected() const { return listed_ && failures_ == 0; }
  // Whether the last request has failed.
  bool has_failed() const { return failures_ > 0; }

 private:
  void HandleEvent(std::string_view event);
  void RunAction(std::string_view action);
  void List();
  // Lists again after about `delay`.
  void ScheduleRelist(Duration delay);
  Duration NextRetryDelay();
  void Watch();
  void OnWatchResult(StoreResult<StoreEvents> result);
  Time WatchConfirmed(const StoreEvents& events) const;
  // `confirmed`: when the store made the response, at the earliest.
  void OnSuccess(Time confirmed);
  void OnError(const StoreError& error, std::string_view event);

  Init init_;
  ChartMachine machine_;
  asio::steady_timer timer_;
  Random random_;
  StoreCallId call_ = 0;
  StoreRevision revision_ = 0;
  StoreEra era_ = 0;  // The era that `revision_` belongs to.
  std::optional<Time> last_confirmed_;
  Time sent_;              // When the last request was sent.
  Duration wait_{0};       // How long the last watch may wait for an event.
  unsigned failures_ = 0;  // Since the last successful request.
  bool listed_ = false;
  // Of the next list of polled objects.
  ObjectStore::Freshness freshness_ = ObjectStore::Freshness::kCurrent;
};

}  // namespace verbenastile

#endif  // MESH_STORE_FOLLOWER_H_
