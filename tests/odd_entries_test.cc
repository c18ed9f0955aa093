// Guards against one odd entry of another writer that ends the nodes that read
// it, or keeps them from following the others (report of issue 36).
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "net_support.h"
#include "platform/control_call.h"
#include "platform/member_object.h"
#include "platform/rollout_object.h"
#include "platform/store_client.h"

namespace verbenastile::platform {
namespace {

using nlohmann::json;

// About as deep as an object of the largest size can be.
constexpr std::size_t kDepth = 500'000;

std::string DeepList() {
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

std::string MemberText() {
  MemberRecord record;
  record.member.name = "a";
  record.member.peer_address = {"10.0.0.1", 7'000};
  return FormatMember(record);
}

// The record with the field replaced by `value`, which may be no valid JSON.
std::string WithField(const std::string& field, const std::string& value) {
  json record = json::parse(MemberText());
  record[field] = "@";
  std::string text = record.dump();
  return text.replace(text.find("\"@\""), 3, value);
}

bool IsRejected(const std::string& record) {
  return std::holds_alternative<FormatError>(ParseMember(record));
}

// A store that answers one call with `body`.
template <typename Result, typename Start>
Result AskStore(const std::string& body, Start start) {
  RawListener listener;
  LoopThread loop;
  std::unique_ptr<StoreClient> client;
  std::promise<Result> result;
  loop.Call([&] {
    client = std::make_unique<StoreClient>(loop.io, listener.address());
    start(*client, [&](Result done) { result.set_value(std::move(done)); });
    return 0;
  });
  RawConnection connection = listener.Accept();
  connection.ReadRequest();
  connection.Write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                               body.size()) +
                   body);
  Result done = result.get_future().get();
  loop.Call([&] {
    client.reset();
    return 0;
  });
  return done;
}

std::string Item(std::string_view name, const std::string& spec) {
  return fmt::format(R"({{"metadata":{{"name":"{}","revision":3}},"spec":{}}})",
                     name, spec);
}

const char* const kOddItems[] = {
    R"({"metadata":{"name":"odd","revision":1e400},"spec":{}})",
    R"({"metadata":{"name":"odd","revision":99999999999999999999},"spec":{}})",
    R"({"metadata":{"name":7,"revision":3},"spec":{}})",
    R"({"metadata":[],"spec":{}})",
    R"({"spec":{}})",
    "7",
    "null",
    "[[1]]",
};

}  // namespace

TEST_CASE("an odd record of a member is no member", "[odd-entries]") {
  REQUIRE_FALSE(IsRejected(MemberText()));

  SECTION("deeply nested") {
    CHECK(IsRejected(WithField("crash_evidence", DeepList())));
    CHECK(IsRejected(WithField("software", DeepList())));
    CHECK(IsRejected(WithField("slots", DeepList())));
  }
  SECTION("with a number that is too large, negative or no integer") {
    for (const char* field :
         {"incarnation", "sequence", "slots", "state", "instance_sequence"}) {
      for (const char* value : {"1e400", "1e30", "99999999999999999999999",
                                "-1", "0.5", "\"1\"", "null"}) {
        INFO(field << ": " << value);
        CHECK(IsRejected(WithField(field, value)));
      }
    }
    CHECK(IsRejected(WithField("slots", "4294967297")));
    CHECK(IsRejected(WithField("state", "4294967296")));
  }
  SECTION("with a port out of range") {
    for (const char* port : {"70000", "65536", "-1", "0", "1e3", ""}) {
      CHECK(
          IsRejected(WithField("link", fmt::format("\"10.0.0.1:{}\"", port))));
    }
  }
}

TEST_CASE("an odd report of an instance is refused", "[odd-entries]") {
  const auto parse = [](const char* slots) {
    return ParseControlCall(
        "POST", "/api/Instances.Heartbeat/i-1",
        fmt::format(R"({{"address":"10.0.0.1:80","info":{{"service":"s",)"
                    R"("version":"v1","zone":"z","slots":{}}},"status":)"
                    R"({{"state":"ready","sequence":1,"warmup_left_ms":0}}}})",
                    slots));
  };
  REQUIRE(std::holds_alternative<InstanceReport>(parse("4")));
  CHECK(std::holds_alternative<FormatError>(parse("4294967297")));
  CHECK(std::holds_alternative<FormatError>(parse("1e400")));
}

TEST_CASE("an odd roll-out is no order", "[odd-entries]") {
  StoreObject object;
  object.name = "wallet";
  object.spec = R"({"service":"wallet","target_version":"v2","duration_s":9})";

  SECTION("a deeply nested status is none") {
    object.status =
        GENERATE(std::string("target_version"), std::string("state"));
    object.status = fmt::format("{{\"{}\":{}}}", object.status, DeepList());
    const auto parsed = ParseRollout(object, 1);
    REQUIRE(std::holds_alternative<StoredRollout>(parsed));
    CHECK_FALSE(std::get<StoredRollout>(parsed).state);
  }
  SECTION("a deeply nested order is refused") {
    object.spec = fmt::format(R"({{"service":{}}})", DeepList());
    CHECK(std::holds_alternative<FormatError>(ParseRollout(object, 1)));
  }
}

TEST_CASE("one odd entry of a list leaves the others", "[odd-entries]") {
  const auto names_of = [](const std::string& odd) {
    const auto result = AskStore<StoreResult<StoreList>>(
        fmt::format(R"({{"items":[{},{},{}],"current_rev":9}})",
                    Item("a", "{}"), odd, Item("b", "{}")),
        [](StoreClient& client, auto on_done) {
          client.List("members", ObjectStore::Freshness::kCurrent, on_done);
        });
    std::string names;
    if (const auto* list = std::get_if<StoreList>(&result)) {
      CHECK(list->revision == 9);
      for (const StoreObject& object : list->items) {
        names += object.name;
      }
    }
    return names;
  };
  for (const char* odd : kOddItems) {
    INFO(odd);
    CHECK(names_of(odd) == "ab");
  }
  CHECK(names_of(Item("-", DeepList())) == "a-b");
  CHECK(names_of(Item("-", "1e400")) == "a-b");
}

TEST_CASE("a list does not end at a page of odd entries", "[odd-entries]") {
  const auto result = AskStore<StoreResult<StoreList>>(
      R"({"items":[7],"has_more":true,"current_rev":9})",
      [](StoreClient& client, auto on_done) {
        client.List("members", ObjectStore::Freshness::kCurrent, on_done);
      });
  REQUIRE(std::holds_alternative<StoreError>(result));
  CHECK(std::get<StoreError>(result).kind == StoreError::Kind::kMalformed);
}

TEST_CASE("one odd event of a watch leaves the others", "[odd-entries]") {
  const auto names_of = [](const std::string& odd) {
    const auto result = AskStore<StoreResult<StoreEvents>>(
        fmt::format(R"({{"events":[{{"object":{}}},{{"object":{}}},)"
                    R"({{"object":{},"deleted":true}}],"current_rev":9}})",
                    Item("a", "{}"), odd, Item("b", "{}")),
        [](StoreClient& client, auto on_done) {
          client.Watch("members", 3, std::chrono::seconds(5), on_done);
        });
    std::string names;
    if (const auto* events = std::get_if<StoreEvents>(&result)) {
      CHECK(events->revision == 9);
      for (const StoreEvent& event : events->events) {
        names += event.object.name + (event.deleted ? "!" : "");
      }
    }
    return names;
  };
  for (const char* odd : kOddItems) {
    INFO(odd);
    CHECK(names_of(odd) == "ab!");
  }
  CHECK(names_of(Item("-", DeepList())) == "a-b!");
}

}  // namespace verbenastile::platform
