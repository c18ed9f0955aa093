// Following one kind of the store's objects, with a store that this file plays.
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "core/state_chart.h"
#include "core/watch_timeout.h"
#include "mesh/store_follower.h"
#include "support.h"

namespace verbenastile {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
// A configuration is in force within 2 s once nodes were in touch for 3 s.
constexpr Duration kInForceAfterSilence = std::chrono::seconds(5);

// Keeps each call until the test answers it.
class PlayedStore : public ObjectStore {
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
    watched_from = revision;
    waits.push_back(wait);
    watches_[++calls_] = std::move(on_done);
    return calls_;
  }
  StoreCallId Create(std::string_view,
                     const StoreObject&,
                     ObjectHandler) override {
    return ++calls_;
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

  std::size_t open_lists() const { return lists_.size(); }
  std::size_t open_watches() const { return watches_.size(); }
  Freshness freshness() const { return freshness_; }

  void AnswerList(StoreResult<StoreList> result) {
    REQUIRE(lists_.size() == 1);
    const auto handler = std::exchange(lists_, {}).begin()->second;
    handler(std::move(result));
  }
  void AnswerWatch(StoreResult<StoreEvents> result) {
    REQUIRE(watches_.size() == 1);
    const auto handler = std::exchange(watches_, {}).begin()->second;
    handler(std::move(result));
  }

  StoreRevision watched_from = 0;
  std::vector<Duration> waits;

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
    init.followers = [followers] { return followers; };
    init.on_listed = [this](const std::vector<StoreObject>& items) {
      listed += items.size();
    };
    init.on_event = [this](const StoreEvent& event) {
      heard.push_back(event.object.name);
    };
    init.on_quiet = [this] { ++quiet; };
    follower = std::make_unique<StoreFollower>(std::move(init));
  }

  // Waits for all timers that are set.
  void RunTimers() {
    io.restart();
    io.run();
  }

  void StartAndList() {
    follower->Start();
    store.AnswerList(StoreList{{{"main", 40, "{}"}}, 41});
  }

  asio::io_context io;
  PlayedStore store;
  StateChart chart =
      MustSucceed([] { return LoadEmbeddedChart("platform_session"); });
  std::size_t listed = 0;
  std::vector<std::string> heard;
  int quiet = 0;
  std::unique_ptr<StoreFollower> follower;
};

SCENARIO("a follower lists the objects once and watches from there") {
  FollowerFixture f;
  f.StartAndList();
  CHECK(f.listed == 1);
  CHECK(f.follower->in_contact());
  CHECK(f.store.watched_from == 41);
  WHEN("a change comes") {
    f.store.AnswerWatch(StoreEvents{{{{"main", 42, "{}"}, false}}, 42});
    THEN("it is told, and the watch goes on from there") {
      CHECK(f.heard == std::vector<std::string>{"main"});
      CHECK(f.store.watched_from == 42);
    }
  }
  WHEN("a watch ends without a change") {
    f.store.AnswerWatch(StoreEvents{{}, 44});
    THEN("what is known is up to date") {
      CHECK(f.quiet == 1);
      CHECK(f.store.watched_from == 44);
    }
  }
  WHEN("the history is gone") {
    f.store.AnswerWatch(StoreError{StoreError::Kind::kHistoryGone, "410", {}});
    THEN("the objects are listed again at once") {
      CHECK(f.store.open_lists() == 1);
    }
  }
  WHEN("a call fails") {
    f.store.AnswerWatch(NotDone());
    CHECK_FALSE(f.follower->in_contact());
    CHECK(f.store.open_lists() == 0);
    THEN("the objects are listed after a wait, also when that fails") {
      f.RunTimers();
      REQUIRE(f.store.open_lists() == 1);
      f.store.AnswerList(NotDone());
      f.RunTimers();
      CHECK(f.store.open_lists() == 1);
    }
  }
}

SCENARIO("a follower that was stopped asks nothing, and starts over") {
  FollowerFixture f;
  f.StartAndList();
  GIVEN("a stop while a watch waits") {
    f.follower->Stop();
    CHECK(f.store.open_watches() == 0);
    WHEN("it starts again") {
      f.StartAndList();
      CHECK(f.listed == 2);
      CHECK(f.store.open_watches() == 1);
    }
  }
  GIVEN("a stop while a retry is due") {
    f.store.AnswerWatch(NotDone());
    f.follower->Stop();
    f.RunTimers();
    CHECK(f.store.open_lists() == 0);
  }
}

// Pattern: the store goes silent, without a reset, just after watches were
// sent, and is back at once. Nothing tells that these watches are lost but
// their end.
SCENARIO("a silent store does not hold the news up for long") {
  constexpr Duration kGrace = 1'000 * kMs;  // Of the store's client.
  constexpr Duration kAskOfPeer = 1'500 * kMs;
  for (const std::size_t followers : {1U, 2U, 10U, 25U, 78U}) {
    DYNAMIC_SECTION(followers << " nodes follow the store") {
      constexpr int kRuns = 200;
      int late = 0;
      for (int run = 0; run < kRuns; ++run) {
        Random random(static_cast<std::uint64_t>(run));
        Duration first = std::chrono::hours(1);
        for (std::size_t i = 0; i < followers; ++i) {
          first = std::min(first, WatchTimeout(followers, random));
        }
        late += first + kGrace + kAskOfPeer > kInForceAfterSilence ? 1 : 0;
      }
      // The ends are spread at random: nearly always is meant.
      CHECK(late <= kRuns / 100);
    }
  }
}

SCENARIO("the calls of waiting watches do not grow with the fleet") {
  for (const std::size_t followers : {1U, 10U, 78U, 694U}) {
    Random random(3);
    FollowerFixture f(followers);
    f.StartAndList();
    Duration sum{0};
    constexpr int kWatches = 400;
    for (int i = 0; i < kWatches; ++i) {
      sum += f.store.waits.back();
      f.store.AnswerWatch(StoreEvents{{}, 41});
    }
    const double calls_per_second = static_cast<double>(followers) * kWatches /
                                    std::chrono::duration<double>(sum).count();
    // A tenth of the reads that the platform allows in a second.
    CHECK(calls_per_second < 200);
    CHECK(f.store.freshness() == ObjectStore::Freshness::kCurrent);
  }
}

}  // namespace
}  // namespace verbenastile
