// Tests `RecordPublisher` against a fake store, above all the restore of the
// store from a backup.
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "mesh/record_publisher.h"

namespace verbenastile {
namespace {

// Holds each write until the test completes it.
class FakeStore : public ObjectStore {
 public:
  StoreCallId List(std::string_view, Freshness, ListHandler) override {
    return 0;
  }
  StoreCallId Watch(std::string_view,
                    StoreRevision,
                    Duration,
                    EventsHandler) override {
    return 0;
  }
  StoreCallId Create(std::string_view,
                     const StoreObject& object,
                     ObjectHandler on_done) override {
    return Hold("create", object, std::move(on_done));
  }
  StoreCallId ReplaceStatus(std::string_view,
                            const StoreObject&,
                            ObjectHandler) override {
    return 0;
  }
  StoreCallId Replace(std::string_view,
                      const StoreObject& object,
                      ObjectHandler on_done) override {
    return Hold("replace", object, std::move(on_done));
  }
  StoreCallId Delete(std::string_view,
                     const StoreObject& object,
                     ObjectHandler on_done) override {
    return Hold("delete", object, std::move(on_done));
  }
  void Cancel(StoreCallId) override {}
  std::uint64_t calls() const override { return writes.size(); }
  StoreEra era() const override { return current_era; }

  void Complete(StoreResult<StoreObject> result) {
    REQUIRE(pending);
    const auto handler = std::move(*pending);
    pending.reset();
    handler(std::move(result));
  }
  void Succeed(StoreRevision revision) {
    Complete(StoreObject{"node-1", revision, {}});
  }

  StoreEra current_era = 4;
  std::vector<std::string> writes;  // "METHOD REVISION SPEC".
  std::optional<ObjectHandler> pending;

 private:
  StoreCallId Hold(std::string_view method,
                   const StoreObject& object,
                   ObjectHandler on_done) {
    writes.push_back(std::string(method) + " " +
                     std::to_string(object.revision) + " " + object.spec);
    pending = std::move(on_done);
    return writes.size();
  }
};

struct PublisherFixture {
  void RunTimers() {
    io.restart();
    io.run();
  }

  asio::io_context io;
  FakeStore store;
  RecordPublisher publisher{{&io, &store, "members", "node-1", 7}};
};

SCENARIO("a member record survives a restore of the store") {
  PublisherFixture f;
  f.publisher.Publish("{1}", nullptr);
  f.store.Succeed(70);
  REQUIRE(f.store.writes == std::vector<std::string>{"create 0 {1}"});

  WHEN("the restored store lacks the record") {
    f.store.current_era = 5;
    f.publisher.OnStoreRestored(5);
    f.RunTimers();
    CHECK(f.store.writes.back() == "replace 70 {1}");
    f.store.Complete(StoreError{StoreError::Kind::kNotFound, "404", {}});
    f.RunTimers();
    CHECK(f.store.writes.back() == "create 0 {1}");
    f.store.Succeed(61);
    THEN("later writes use the revision of the new era, although it is lower") {
      f.publisher.Publish("{2}", nullptr);
      CHECK(f.store.writes.back() == "replace 61 {2}");
    }
    THEN("the same restore, reported again, causes no write") {
      f.publisher.OnStoreRestored(5);
      f.RunTimers();
      CHECK(f.store.writes.size() == 3);
    }
  }
  WHEN("the restored store holds an older record of this node") {
    f.store.current_era = 5;
    f.publisher.OnStoreRestored(5);
    f.RunTimers();
    f.store.Complete(StoreError{StoreError::Kind::kConflict, "409",
                                StoreObject{"node-1", 12, "{0}"}});
    f.RunTimers();
    CHECK(f.store.writes.back() == "replace 12 {1}");
  }
  WHEN("a peer reports the restore, and the store has not answered since") {
    f.publisher.OnStoreRestored(5);
    f.RunTimers();
    CHECK(f.store.writes.back() == "replace 70 {1}");
  }
  WHEN("a peer reports the restore during a write") {
    f.publisher.Publish("{2}", nullptr);
    f.publisher.OnStoreRestored(5);
    f.store.Succeed(71);
    THEN("the record is written once more: that write may be lost") {
      f.RunTimers();
      CHECK(f.store.writes.size() == 3);
      f.store.current_era = 5;
      f.store.Succeed(62);
      f.RunTimers();
      CHECK(f.store.writes.size() == 3);
    }
  }
  WHEN("the store is restored twice in quick succession") {
    f.store.current_era = 5;
    f.publisher.OnStoreRestored(5);
    f.RunTimers();
    f.store.current_era = 6;
    f.publisher.OnStoreRestored(6);
    f.store.Succeed(40);
    f.RunTimers();
    THEN("the write that was answered in the last era is enough") {
      CHECK(f.store.writes.size() == 2);
    }
  }
}

// Guards against an acknowledgement of a leaving instance that the store has
// not recorded yet.
SCENARIO("a caller waits for a record whose write is pending") {
  PublisherFixture f;
  int written = 0;
  f.publisher.Publish("{1}", nullptr);
  f.publisher.WhenWritten([&] { ++written; });
  CHECK(written == 0);
  f.store.Succeed(70);
  CHECK(written == 1);
  THEN("it does not wait when no write is pending") {
    f.publisher.WhenWritten([&] { ++written; });
    CHECK(written == 2);
  }
}

SCENARIO("a node without a record writes none after a restore") {
  PublisherFixture f;
  f.publisher.OnStoreRestored(5);
  f.RunTimers();
  CHECK(f.store.writes.empty());
}

}  // namespace
}  // namespace verbenastile
