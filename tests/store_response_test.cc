// Guards against a response of the store that was cut off and is taken for
// another one: a list that lacks objects, a watch that lacks events, a write
// that seems to be confirmed (issue 54).
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "net_support.h"
#include "platform/store_client.h"

namespace verbenastile::platform {
namespace {

struct StoreFixture {
  StoreFixture() {
    loop.Call([this] {
      client = std::make_unique<StoreClient>(loop.io, listener.address());
    });
  }
  ~StoreFixture() {
    loop.Call([this] { client.reset(); });
  }

  // Starts a call, answers it with `bytes` and ends the connection.
  template <typename Result>
  Result Answer(std::function<void(std::function<void(Result)>)> start,
                const std::string& bytes) {
    std::promise<Result> result;
    loop.Call([&] {
      start([&](Result done) { result.set_value(std::move(done)); });
    });
    RawConnection connection = listener.Accept();
    connection.ReadRequest();
    connection.Write(bytes);
    connection.Close();
    return result.get_future().get();
  }
  StoreResult<StoreList> List(const std::string& bytes) {
    return Answer<StoreResult<StoreList>>(
        [this](auto done) {
          client->List("rosters", ObjectStore::Freshness::kCurrent,
                       std::move(done));
        },
        bytes);
  }
  StoreResult<StoreEvents> Watch(const std::string& bytes) {
    return Answer<StoreResult<StoreEvents>>(
        [this](auto done) {
          client->Watch("rosters", 1, std::chrono::seconds(5), std::move(done));
        },
        bytes);
  }
  StoreResult<StoreObject> Replace(const std::string& bytes) {
    return Answer<StoreResult<StoreObject>>(
        [this](auto done) {
          client->Replace("rosters", {"a", 1, "{}"}, std::move(done));
        },
        bytes);
  }

  RawListener listener;
  LoopThread loop;
  std::unique_ptr<StoreClient> client;
};

// Without a length: the body ends with the connection.
std::string Response(std::string_view body) {
  return fmt::format("HTTP/1.1 200 OK\r\n\r\n{}", body);
}

constexpr const char* kItems =
    R"([{"metadata":{"name":"a","revision":3},"spec":{"x":[1,{"y":{}}]}},)"
    R"({"metadata":{"name":"b","revision":4},"spec":{},"status":{"z":"}"}}])";

}  // namespace

TEST_CASE("a response of the store that was cut off is an error",
          "[broken-response]") {
  StoreFixture store;

  SECTION("a list") {
    const std::string body = GENERATE(
        fmt::format(R"({{"current_rev":7,"items":{},"has_more":false}})",
                    kItems),
        fmt::format(R"({{"items":{},"has_more":false,"current_rev":7}})",
                    kItems),
        fmt::format(
            R"({{"has_more":false,"current_rev":7,"items":{},"x":{{}}}})",
            kItems));
    for (std::size_t size = 0; size < body.size(); ++size) {
      CAPTURE(body.substr(0, size));
      CHECK(std::holds_alternative<StoreError>(
          store.List(Response(body.substr(0, size)))));
    }
    const auto whole = store.List(Response(body));
    REQUIRE(std::holds_alternative<StoreList>(whole));
    CHECK(std::get<StoreList>(whole).items.size() == 2);
  }
  SECTION("the events of a watch") {
    const std::string body = fmt::format(
        R"({{"current_rev":7,"events":[{{"object":{{"metadata":)"
        R"({{"name":"a","revision":3}},"spec":{{}}}},"deleted":true}}],)"
        R"("x":{{}}}})");
    for (std::size_t size = 0; size < body.size(); ++size) {
      CAPTURE(body.substr(0, size));
      CHECK(std::holds_alternative<StoreError>(
          store.Watch(Response(body.substr(0, size)))));
    }
    const auto whole = store.Watch(Response(body));
    REQUIRE(std::holds_alternative<StoreEvents>(whole));
    CHECK(std::get<StoreEvents>(whole).events.at(0).deleted);
  }
  SECTION("the object of a write") {
    const std::string body =
        R"({"metadata":{"name":"a","revision":3},"spec":{},"status":{}})";
    for (std::size_t size = 0; size < body.size(); ++size) {
      CAPTURE(body.substr(0, size));
      const auto result = store.Replace(Response(body.substr(0, size)));
      REQUIRE(std::holds_alternative<StoreError>(result));
      CHECK(std::get<StoreError>(result).kind == StoreError::Kind::kUnknown);
    }
    CHECK(std::holds_alternative<StoreObject>(store.Replace(Response(body))));
  }
}

TEST_CASE("a damaged response of the store ends no process",
          "[broken-response]") {
  StoreFixture store;
  const std::string body =
      fmt::format(R"({{"current_rev":7,"items":{},"has_more":false}})", kItems);
  for (std::size_t at = 0; at < body.size(); ++at) {
    for (const char byte : std::string_view("{}[]:,\"\\0n \x01")) {
      std::string damaged = body;
      damaged[at] = byte;
      CAPTURE(damaged);
      const auto result = store.List(
          fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                      body.size(), damaged));
      const auto* list = std::get_if<StoreList>(&result);
      CHECK((list == nullptr || list->items.size() <= 2));
    }
  }
}

TEST_CASE("a response of the store that is not valid is an error",
          "[broken-response]") {
  StoreFixture store;
  const std::string body =
      fmt::format(R"({{"items":{},"current_rev":7}})", kItems);
  const std::string head =
      GENERATE(as<std::string>(), "HTTP/1.1 000 OK\r\n",
               "HTTP/1.1 200 OK\r\nX Name: 1\r\n",
               "HTTP/1.1 200 OK\r\nX-Name: \x01\r\n", "HTTP/1.1 999 OK\r\n");
  CAPTURE(head);
  CHECK(std::holds_alternative<StoreError>(store.List(
      fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body))));
}

}  // namespace verbenastile::platform
