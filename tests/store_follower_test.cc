// Tests `StoreFollower` against a fake store.
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <thread>

#include "core/state_chart.h"
#include "core/watch_timeout.h"
#include "mesh/store_follower.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
// A configuration must be active within 2 s after nodes have been in contact
// for 3 s.
constexpr Duration kMaxActivationTime = std::chrono::seconds(5);

// Holds each call until the test completes it.
class FakeStore : public ObjectStore {
 public:
  StoreCallId List(std::string_view,
                   Freshness freshness,
                   ListHandler on_done) override {
    freshness_ = freshness;
    lists_[++calls_] = std::move(on_done);
    return calls_;
  }
  StoreCallId Watch(std::string_view,
                    StoreRevision revision,
                    Duration wait,
                    EventsHandler on_done) override {
    watch_revision = revision;
    waits.push_back(wait);
    watches_[++calls_] = std::move(on_done);
    return calls_;
  }
  StoreCallId Create(std::string_view,
                     const StoreObject&,
                     ObjectHandler) override {
    return ++calls_;
  }
  StoreCallId ReplaceStatus(std::string_view,
                            const StoreObject&,
                            ObjectHandler) override {
    return 0;
  }
  StoreCallId Replace(std::string_view,
                      const StoreObject&,
                      ObjectHandler) override {
    return ++calls_;
  }
  StoreCallId Delete(std::string_view,
                     const StoreObject&,
                     ObjectHandler) override {
    return ++calls_;
  }
  void Cancel(StoreCallId id) override {
    lists_.erase(id);
    watches_.erase(id);
  }
  std::uint64_t calls() const override { return calls_; }
  StoreEra era() const override { return current_era; }

  std::size_t open_lists() const { return lists_.size(); }
  std::size_t open_watches() const { return watches_.size(); }
  Freshness freshness() const { return freshness_; }

  void CompleteList(StoreResult<StoreList> result) {
    REQUIRE(lists_.size() == 1);
    const auto handler = std::exchange(lists_, {}).begin()->second;
    handler(std::move(result));
  }
  void CompleteWatch(StoreResult<StoreEvents> result) {
    REQUIRE(watches_.size() == 1);
    const auto handler = std::exchange(watches_, {}).begin()->second;
    handler(std::move(result));
  }

  StoreRevision watch_revision = 0;
  std::vector<Duration> waits;
  StoreEra current_era = 0;

 private:
  std::uint64_t calls_ = 0;
  Freshness freshness_ = Freshness::kCurrent;
  std::map<StoreCallId, ListHandler> lists_;
  std::map<StoreCallId, EventsHandler> watches_;
};

StoreError NotDone() {
  return {StoreError::Kind::kNotDone, "status 503", {}};
}

struct FollowerFixture {
  explicit FollowerFixture(std::size_t followers = 1) {
    StoreFollower::Init init;
    init.io = &io;
    init.store = &store;
    init.chart = &chart;
    init.kind = "config";
    init.seed = 7;
    init.read_delay = [this] { return read_delay; };
    init.follower_count = [followers] { return followers; };
    init.on_listed = [this](const std::vector<StoreObject>& items) {
      listed_count += items.size();
    };
    init.on_event = [this](const StoreEvent& event) {
      event_names.push_back(event.object.name);
    };
    init.on_unchanged = [this] { ++unchanged_count; };
    follower = std::make_unique<StoreFollower>(std::move(init));
  }

  // Runs until all pending timers have expired.
  void RunTimers() {
    io.restart();
    io.run();
  }

  void StartAndList() {
    follower->Start();
    store.CompleteList(StoreList{{{"main", 40, "{}"}}, 41});
  }

  asio::io_context io;
  FakeStore store;
  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("platform_session"); });
  std::size_t listed_count = 0;
  std::vector<std::string> event_names;
  int unchanged_count = 0;
  Duration read_delay{0};
  std::unique_ptr<StoreFollower> follower;
};

SCENARIO("a follower lists the objects once and watches from that revision") {
  FollowerFixture f;
  f.StartAndList();
  CHECK(f.listed_count == 1);
  CHECK(f.follower->is_connected());
  CHECK(f.store.watch_revision == 41);
  WHEN("an object changes") {
    f.store.CompleteWatch(StoreEvents{{{{"main", 42, "{}"}, false}}, 42});
    THEN("the change is reported and the watch continues from its revision") {
      CHECK(f.event_names == std::vector<std::string>{"main"});
      CHECK(f.store.watch_revision == 42);
    }
  }
  WHEN("a watch ends without a change") {
    f.store.CompleteWatch(StoreEvents{{}, 44});
    THEN("the known objects are reported as up to date") {
      CHECK(f.unchanged_count == 1);
      CHECK(f.store.watch_revision == 44);
    }
  }
  WHEN("the store no longer has the watched revision") {
    f.store.CompleteWatch(
        StoreError{StoreError::Kind::kHistoryGone, "410", {}});
    THEN("the objects are listed again at once") {
      CHECK(f.store.open_lists() == 1);
    }
  }
  WHEN("a call fails") {
    f.store.CompleteWatch(NotDone());
    CHECK_FALSE(f.follower->is_connected());
    CHECK(f.store.open_lists() == 0);
    THEN("the objects are listed after a delay, and again if that fails") {
      f.RunTimers();
      REQUIRE(f.store.open_lists() == 1);
      f.store.CompleteList(NotDone());
      f.RunTimers();
      CHECK(f.store.open_lists() == 1);
    }
  }
}

// Guards against beliefs that are younger than what they rest on: the age of a
// configuration was counted from the reading of a response, however long before
// the store had made it.
SCENARIO("the store confirms what a response says when it makes the response") {
  constexpr Duration kDelay = 30 * kMs;
  FollowerFixture f;
  const Time begin = SteadyNow();
  f.follower->Start();
  const Time listed = SteadyNow();
  std::this_thread::sleep_for(kDelay);
  f.store.CompleteList(StoreList{{{"main", 40, "{}"}}, 41});
  THEN("a list is confirmed when it was requested") {
    CHECK(f.follower->last_confirmed() >= begin);
    CHECK(f.follower->last_confirmed() <= listed);
  }
  WHEN("a watch ends without an event, and is read late") {
    const Time sent = SteadyNow();
    std::this_thread::sleep_for(f.store.waits.back() + kDelay);
    f.store.CompleteWatch(StoreEvents{{}, 44});
    THEN("it is confirmed at the end of its wait") {
      CHECK(f.follower->last_confirmed() <= sent + f.store.waits.front());
      CHECK(f.follower->last_confirmed() > sent);
    }
  }
  WHEN("a process that was suspended reads an event") {
    std::this_thread::sleep_for(kDelay * 2);
    f.read_delay = kDelay;
    f.store.CompleteWatch(StoreEvents{{{{"main", 42, "{}"}, false}}, 42});
    THEN("it may have waited all the while") {
      CHECK(f.follower->last_confirmed() <= SteadyNow() - kDelay);
      CHECK(f.follower->last_confirmed() > listed);
    }
  }
  THEN("a list in place of a lost watch does not end the contact") {
    f.store.CompleteWatch(
        StoreError{StoreError::Kind::kHistoryGone, "410", {}});
    CHECK(f.follower->is_connected());
  }
}

SCENARIO("a follower lists again after the store was restored") {
  FollowerFixture f;
  f.store.current_era = 4;
  f.follower->Start();
  f.store.CompleteList(StoreList{{{"main", 40, "{}"}}, 41, 4});
  WHEN("the watched revision exists in the new era too") {
    f.store.current_era = 5;
    f.store.CompleteWatch(StoreEvents{{{{"main", 42, "{}"}, false}}, 42});
    THEN("the events are dropped, and the objects are listed") {
      CHECK(f.event_names.empty());
      REQUIRE(f.store.open_lists() == 1);
      f.store.CompleteList(StoreList{{{"main", 33, "{}"}}, 34, 5});
      CHECK(f.store.watch_revision == 34);
    }
  }
  WHEN("a peer reports the new era while a watch waits") {
    f.follower->OnStoreRestored(5);
    CHECK(f.store.open_watches() == 0);
    f.RunTimers();
    CHECK(f.store.open_lists() == 1);
    THEN("a second restore in quick succession needs no further list") {
      f.follower->OnStoreRestored(6);
      f.store.current_era = 6;
      f.store.CompleteList(StoreList{{{"main", 20, "{}"}}, 21, 6});
      f.follower->OnStoreRestored(6);
      CHECK(f.store.open_watches() == 1);
      CHECK(f.store.watch_revision == 21);
    }
  }
}

SCENARIO("a stopped follower sends no requests and can be restarted") {
  FollowerFixture f;
  f.StartAndList();
  GIVEN("a follower stopped during a watch") {
    f.follower->Stop();
    CHECK(f.store.open_watches() == 0);
    WHEN("it is restarted") {
      f.StartAndList();
      CHECK(f.listed_count == 2);
      CHECK(f.store.open_watches() == 1);
    }
  }
  GIVEN("a follower stopped while a retry is scheduled") {
    f.store.CompleteWatch(NotDone());
    f.follower->Stop();
    f.RunTimers();
    CHECK(f.store.open_lists() == 0);
  }
}

// Guards against late configuration changes when the store drops all watches
// just after they were sent, without closing the connections, and recovers at
// once. Nodes notice the loss only when the watches end.
SCENARIO("watches lost by the store delay changes only briefly") {
  constexpr Duration kClientGrace = 1'000 * kMs;  // Of the store client.
  constexpr Duration kPeerRequestTime = 1'500 * kMs;
  for (const std::size_t followers : {1U, 2U, 10U, 25U, 78U}) {
    DYNAMIC_SECTION(followers << " nodes follow the store") {
      constexpr int kRuns = 200;
      int late = 0;
      for (int run = 0; run < kRuns; ++run) {
        Random random(static_cast<std::uint64_t>(run));
        Duration first_timeout = std::chrono::hours(1);
        for (std::size_t i = 0; i < followers; ++i) {
          first_timeout =
              std::min(first_timeout, WatchTimeout(followers, random));
        }
        late +=
            first_timeout + kClientGrace + kPeerRequestTime > kMaxActivationTime
                ? 1
                : 0;
      }
      // The watch timeouts are random, so 1 run in 100 may be late.
      CHECK(late <= kRuns / 100);
    }
  }
}

SCENARIO("the request rate of idle watches does not grow with the fleet") {
  for (const std::size_t followers : {1U, 10U, 78U, 694U}) {
    Random random(3);
    FollowerFixture f(followers);
    f.StartAndList();
    Duration sum{0};
    constexpr int kWatches = 400;
    for (int i = 0; i < kWatches; ++i) {
      sum += f.store.waits.back();
      f.store.CompleteWatch(StoreEvents{{}, 41});
    }
    const double calls_per_second = static_cast<double>(followers) * kWatches /
                                    std::chrono::duration<double>(sum).count();
    // A tenth of the reads per second that the platform allows.
    CHECK(calls_per_second < 200);
    CHECK(f.store.freshness() == ObjectStore::Freshness::kCurrent);
  }
}

}  // namespace
}  // namespace verbenastile
