#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>

#include "io/http_client.h"
#include "net_support.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxIdle = 8;

// An HttpClient that runs on its own event loop thread.
class ClientLoop {
 public:
  ClientLoop() {
    loop.Call([this] { client.emplace(loop.io, kMaxIdle); });
  }
  ~ClientLoop() {
    loop.Call([this] { client.reset(); });
  }

  std::future<HttpOutcome> Start(HttpCall call) {
    auto done = std::make_shared<std::promise<HttpOutcome>>();
    loop.Call([&] {
      handle = client->Start(std::move(call), [done](HttpOutcome outcome) {
        done->set_value(std::move(outcome));
      });
    });
    return done->get_future();
  }

  LoopThread loop;
  std::optional<HttpClient> client;
  HttpCallHandle handle;
};

HttpCall CallTo(const RawListener& server, const std::string& method) {
  HttpCall call;
  call.method = method;
  call.url = server.url();
  return call;
}

std::string MakeResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string BodyOrError(const HttpOutcome& outcome) {
  const auto* answer = std::get_if<HttpResponse>(&outcome);
  return answer == nullptr ? "failure: " + std::get<HttpFailure>(outcome).detail
                           : answer->body;
}

}  // namespace

TEST_CASE("a request on a reused connection is sent only once", "[http]") {
  RawListener server;
  ClientLoop client;
  HttpCall call = CallTo(server, "POST");
  SECTION("with a body") {
    call.body = "antenna=4";
  }
  SECTION("with an empty body") {}
  SECTION("without a body") {
    call.method = "DELETE";
  }

  auto first = client.Start(call);
  RawConnection connection = server.Accept();
  connection.ReadRequest();
  connection.Write(MakeResponse("first"));
  REQUIRE(BodyOrError(first.get()) == "first");

  // The server reads the complete second request and closes without a response.
  auto second = client.Start(call);
  const std::string request = connection.ReadRequest();
  REQUIRE(request.starts_with(call.method));
  connection.Close();
  const HttpOutcome outcome = second.get();
  REQUIRE(std::holds_alternative<HttpFailure>(outcome));
  CHECK_FALSE(std::get<HttpFailure>(outcome).not_sent);
  // The call has ended, so a retransmission would have connected by now.
  CHECK_FALSE(server.TryAccept());
}

TEST_CASE("libcurl retransmits a request only with may_resend", "[http]") {
  RawListener server;
  ClientLoop client;
  HttpCall call = CallTo(server, "GET");
  call.may_resend = true;
  auto first = client.Start(call);
  RawConnection connection = server.Accept();
  connection.ReadRequest();
  connection.Write(MakeResponse("first"));
  first.get();
  auto second = client.Start(call);
  connection.ReadRequest();
  connection.Close();
  RawConnection retry = server.Accept();
  retry.ReadRequest();
  retry.Write(MakeResponse("second"));
  CHECK(BodyOrError(second.get()) == "second");
}

TEST_CASE("calls that must not be repeated reuse a connection", "[http]") {
  RawListener server;
  ClientLoop client;
  auto first = client.Start(CallTo(server, "DELETE"));
  RawConnection connection = server.Accept();
  for (int i = 0; i < 3; ++i) {
    connection.ReadRequest();
    connection.Write(MakeResponse("done"));
    REQUIRE(BodyOrError(first.get()) == "done");
    if (i < 2) {
      first = client.Start(CallTo(server, "DELETE"));
    }
  }
  CHECK(client.loop.Call([&] { return client.client->connects(); }) == 1);
}

TEST_CASE("a connection that is closed or has unsolicited data is not reused",
          "[http]") {
  RawListener server;
  ClientLoop client;
  auto first = client.Start(CallTo(server, "POST"));
  RawConnection connection = server.Accept();
  connection.ReadRequest();
  SECTION("an unsolicited response follows the first") {
    connection.Write(MakeResponse("first") + MakeResponse("of another"));
  }
  SECTION("the server closes after its response") {
    connection.Write(MakeResponse("first"));
    connection.Close();
  }
  REQUIRE(BodyOrError(first.get()) == "first");
  auto second = client.Start(CallTo(server, "POST"));
  RawConnection fresh = server.Accept();
  fresh.ReadRequest();
  fresh.Write(MakeResponse("second"));
  CHECK(BodyOrError(second.get()) == "second");
}

TEST_CASE("a truncated response is a failure", "[http]") {
  RawListener server;
  ClientLoop client;
  auto done = client.Start(CallTo(server, "GET"));
  RawConnection connection = server.Accept();
  connection.ReadRequest();
  SECTION("body shorter than its Content-Length") {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  }
  SECTION("no final chunk") {
    connection.Write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  }
  SECTION("incomplete headers") {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Le");
  }
  connection.Close();
  const HttpOutcome outcome = done.get();
  REQUIRE(std::holds_alternative<HttpFailure>(outcome));
  CHECK_FALSE(std::get<HttpFailure>(outcome).not_sent);
}

TEST_CASE("a refused connection is reported as not sent", "[http]") {
  ClientLoop client;
  HttpCall call;
  {
    const RawListener closed;
    call.url = closed.url();
  }
  const HttpOutcome outcome = client.Start(call).get();
  REQUIRE(std::holds_alternative<HttpFailure>(outcome));
  CHECK(std::get<HttpFailure>(outcome).not_sent);
}

TEST_CASE("a response body is paused and resumed", "[http]") {
  constexpr std::size_t kSize =
      32'000'000;  // More than the socket buffers hold.
  RawListener server;
  ClientLoop client;
  std::atomic<std::size_t> received = 0;
  std::promise<int> head;
  std::promise<void> first_chunk;
  HttpCall call = CallTo(server, "GET");
  call.on_headers = [&](const HttpResponse& answer) {
    head.set_value(answer.status);
  };
  call.on_data = [&](std::string_view chunk) {
    const bool first = received == 0;
    received += chunk.size();
    if (first) {
      client.client->Pause(client.handle);
      first_chunk.set_value();
    }
    return true;
  };
  auto done = client.Start(std::move(call));
  RawConnection connection = server.Accept();
  connection.ReadRequest();
  connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(kSize) + "\r\n\r\n");
  CHECK(head.get_future().get() == 200);
  std::atomic<std::size_t> written = 0;
  std::thread writer([&] {
    const std::string chunk(100'000, 'x');
    while (written < kSize) {
      connection.Write(chunk);
      written += chunk.size();
    }
  });
  first_chunk.get_future().get();
  const std::size_t received_before = received;
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(received == received_before);
  CHECK(written < kSize);
  client.loop.Call([&] { client.client->Resume(client.handle); });
  CHECK(std::holds_alternative<HttpResponse>(done.get()));
  CHECK(received == kSize);
  writer.join();
}

TEST_CASE("a call can be cancelled from its own callbacks", "[http]") {
  RawListener server;
  ClientLoop client;
  std::promise<void> cancelled;
  HttpCall call = CallTo(server, "GET");
  const auto cancel = [&] {
    client.client->Cancel(client.handle);
    cancelled.set_value();
  };
  SECTION("on the headers") {
    call.on_headers = [&](const HttpResponse&) { cancel(); };
  }
  SECTION("on a chunk of the body") {
    call.on_data = [&](std::string_view) {
      cancel();
      return true;
    };
  }
  auto done = client.Start(std::move(call));
  RawConnection connection = server.Accept();
  connection.ReadRequest();
  connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  cancelled.get_future().get();
  CHECK(connection.AtEnd());
  CHECK(client.loop.Call([&] { return client.client->active(); }) == 0);
}

// Guards against a part of a response that is taken for the whole (issue 54).
TEST_CASE("libcurl gets a response before the upload is written",
          "[http][broken-response]") {
  constexpr std::size_t kMoreThanBuffers = 24'000'000;
  RawListener server;
  ClientLoop client;
  HttpCall call = CallTo(server, "POST");
  call.body = std::string(kMoreThanBuffers, 'x');
  auto done = client.Start(std::move(call));
  RawConnection connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  const int status = GENERATE(200, 413);
  const std::string head = fmt::format("HTTP/1.1 {} X\r\n", status);
  CAPTURE(status);

  SECTION("a part of one without a length, and a reset") {
    const int delay_ms = GENERATE(0, 1, 30);
    CAPTURE(delay_ms);
    connection.Write(head + "\r\npart");
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
    connection.Reset();
    CHECK(std::holds_alternative<HttpFailure>(done.get()));
  }
  SECTION("a part of one without a length, an end, and a reset") {
    const int delay_ms = GENERATE(0, 1, 30);
    CAPTURE(delay_ms);
    connection.Write(head + "\r\npart");
    connection.EndOutput();
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
    connection.Reset();
    CHECK(std::holds_alternative<HttpFailure>(done.get()));
  }
  SECTION("all of one by its length") {
    connection.Write(head + "Content-Length: 5\r\n\r\nwhole");
    // Libcurl goes on with the upload unless the response is a failure.
    if (status == 200) {
      CHECK(connection.ReadBytes(kMoreThanBuffers).size() == kMoreThanBuffers);
    }
    CHECK(BodyOrError(done.get()) == "whole");
  }
  SECTION("all of one without a length, behind the upload") {
    CHECK(connection.ReadBytes(kMoreThanBuffers).size() == kMoreThanBuffers);
    connection.Write(head + "\r\nwhole");
    connection.Close();
    CHECK(BodyOrError(done.get()) == "whole");
  }
}

}  // namespace verbenastile
