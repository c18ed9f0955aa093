#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <vector>

#include "io/http_server.h"
#include "net_support.h"

namespace verbenastile {
namespace {

// Runs an HttpServer on its own event loop. Requests to any path but /hello are
// held until the test responds to them.
class TestServer {
 public:
  explicit TestServer(HttpServerInit init = {}) {
    init.address = {kTestIp, 0};
    std::promise<std::string> opened;
    loop.Call([&] {
      server.emplace(loop.io, init,
                     [this](HttpRequest request, HttpReply reply) {
                       const std::string path(request.path());
                       if (path == "/hello") {
                         reply.Send(200, {}, "hello " + request.body);
                         return;
                       }
                       replies.emplace(path, std::move(reply));
                       arrived[path].set_value();
                     });
      server->Open([&](const std::string& error) { opened.set_value(error); });
    });
    REQUIRE(opened.get_future().get().empty());
    address = server->address();
  }

  ~TestServer() {
    loop.Call([this] {
      replies.clear();
      server.reset();
    });
  }

  RawConnection Connect() {
    return RawConnection::ConnectTo(client_io, address);
  }

  // Waits until a request to `path` has arrived and is held.
  void WaitForRequest(const std::string& path) {
    loop.Call([&] { return arrived[path].get_future(); }).get();
  }

  // Runs `task` on the event loop with the reply to the held request for
  // `path`.
  template <typename Task>
  void WithReply(const std::string& path, Task task) {
    loop.Call([&] { task(replies.at(path)); });
  }

  HttpServerStats Stats() {
    return loop.Call([&] { return server->stats(); });
  }

  LoopThread loop;
  asio::io_context client_io;
  std::optional<HttpServer> server;
  SocketAddress address;
  std::map<std::string, HttpReply> replies;
  std::map<std::string, std::promise<void>> arrived;
};

constexpr const char* kHelloRequest = "GET /hello HTTP/1.1\r\nHost: a\r\n\r\n";

std::string GetRequest(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

void CheckServesNewConnection(TestServer& server) {
  RawConnection connection = server.Connect();
  connection.Write(kHelloRequest);
  CHECK(connection.ReadUntil("hello ").starts_with("HTTP/1.1 200"));
}

}  // namespace

TEST_CASE("invalid requests are rejected with a specific status", "[http]") {
  HttpServerInit init;
  init.max_header_bytes = 1'000;
  init.max_headers = 10;
  init.max_body_bytes = 1'000;
  init.error_headers = {{"x-verbena-outcome", "not-run"}};
  TestServer server(init);
  RawConnection connection = server.Connect();
  std::string status;
  std::string request_text = "POST /hello HTTP/1.1\r\nHost: a\r\n";
  SECTION("an oversized header") {
    request_text += "x-long: " + std::string(2'000, 'x') + "\r\n\r\n";
    status = "431";
  }
  SECTION("too many headers") {
    for (int i = 0; i < 20; ++i) {
      request_text += "x-header: 1\r\n";
    }
    request_text += "\r\n";
    status = "431";
  }
  SECTION("an oversized target") {
    request_text = GetRequest("/" + std::string(2'000, 'x'));
    status = "414";
  }
  SECTION("an oversized body") {
    request_text += "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'x');
    status = "413";
  }
  SECTION("an oversized chunked body") {
    request_text += "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                    std::string(2'000, 'x') + "\r\n0\r\n\r\n";
    status = "413";
  }
  SECTION("both Content-Length and chunked encoding") {
    request_text +=
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    status = "400";
  }
  SECTION("two Content-Length headers") {
    request_text += "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello";
    status = "400";
  }
  SECTION("a Transfer-Encoding that does not end in chunked") {
    request_text += "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n";
    status = "400";
  }
  SECTION("a control byte that begins a value") {
    request_text += "x-header: \x01x\r\n\r\n";
    status = "400";
  }
  SECTION("whitespace before the colon of a header") {
    request_text += "Content-Length : 5\r\n\r\nhello";
    status = "400";
  }
  SECTION("a Content-Length with a sign") {
    request_text += "Content-Length: +5\r\n\r\nhello";
    status = "400";
  }
  SECTION("bytes that are not HTTP") {
    request_text = "\x16\x03\x01 hello\r\n\r\n";
    status = "400";
  }
  INFO(request_text.substr(0, 120));
  connection.Write(request_text);
  const std::string response = connection.ReadAll();
  CHECK(response.starts_with("HTTP/1.1 " + status));
  CHECK(response.find("x-verbena-outcome: not-run") != std::string::npos);
  CHECK(server.Stats().bad_requests == 1);
  CheckServesNewConnection(server);
}

TEST_CASE("an error response is not sent while an earlier request is pending",
          "[http]") {
  TestServer server;
  RawConnection connection = server.Connect();
  connection.Write(GetRequest("/held") + "nonsense\r\n\r\n");
  // The client would take the error response for that of the first request, so
  // the connection is closed without one.
  CHECK(connection.ReadAll().empty());
  CheckServesNewConnection(server);
}

TEST_CASE("pipelined requests receive their responses in order", "[http]") {
  TestServer server;
  RawConnection connection = server.Connect();
  connection.Write(GetRequest("/one") + GetRequest("/two"));
  server.WaitForRequest("/one");
  server.WaitForRequest("/two");
  server.WithReply("/two",
                   [](HttpReply& reply) { reply.Send(200, {}, "(two)"); });
  server.WithReply("/one",
                   [](HttpReply& reply) { reply.Send(200, {}, "(one)"); });
  CHECK(connection.ReadUntil("(one)").find("(two)") == std::string::npos);
  CHECK(connection.ReadUntil("(two)").ends_with("(two)"));
}

TEST_CASE("streamed responses", "[http]") {
  TestServer server;
  RawConnection connection = server.Connect();
  const auto ignore = [](bool) {};

  SECTION("of unknown length are chunked") {
    connection.Write(GetRequest("/film"));
    server.WaitForRequest("/film");
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {});
      reply.Write("part", ignore);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").find("chunked") !=
          std::string::npos);
    CHECK(connection.ReadUntil("0\r\n\r\n") == "4\r\npart\r\n0\r\n\r\n");
  }
  SECTION("of known length have a Content-Length") {
    connection.Write(GetRequest("/film"));
    server.WaitForRequest("/film");
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {}, 8);
      reply.Write("part", ignore);
      reply.Write("part", ignore);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").find("Content-Length: 8\r\n") !=
          std::string::npos);
    CHECK(connection.ReadBytes(8) == "partpart");
  }
  SECTION("to HEAD have a Content-Length and no body") {
    connection.Write("HEAD /film HTTP/1.1\r\nHost: a\r\n\r\n");
    server.WaitForRequest("/film");
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {}, 1'000'000);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").find("Content-Length: 1000000") !=
          std::string::npos);
  }
  SECTION("with status 204 have no body") {
    connection.Write(GetRequest("/film"));
    server.WaitForRequest("/film");
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(204, {});
      reply.Write("dropped", ignore);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 204"));
  }
  // The connection can be reused for another request.
  connection.Write(kHelloRequest);
  CHECK(connection.ReadUntil("hello ").starts_with("HTTP/1.1 200"));
}

TEST_CASE("an aborted response is seen as truncated", "[http]") {
  TestServer server;
  RawConnection connection = server.Connect();
  connection.Write(GetRequest("/film"));
  server.WaitForRequest("/film");
  std::promise<void> part_written;
  const auto on_written = [&](bool) { part_written.set_value(); };

  SECTION("the terminating chunk is missing") {
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {});
      reply.Write("part", on_written);
    });
    part_written.get_future().get();
    server.WithReply("/film", [](HttpReply& reply) { reply.Abort(); });
    CHECK(connection.ReadAll().ends_with("4\r\npart\r\n"));
  }
  SECTION("the body is shorter than Content-Length") {
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {}, 8);
      reply.Write("part", on_written);
    });
    part_written.get_future().get();
    server.WithReply("/film", [](HttpReply& reply) { reply.Abort(); });
    CHECK(connection.ReadAll().ends_with("\r\n\r\npart"));
  }
  SECTION("nothing is sent if the reply is destroyed first") {
    server.loop.Call([&] { server.replies.clear(); });
    CHECK(connection.ReadAll().empty());
  }
  CHECK(server.Stats().busy == 0);
  CheckServesNewConnection(server);
}

TEST_CASE("the server reports that the caller disconnected", "[http]") {
  TestServer server;
  RawConnection connection = server.Connect();
  connection.Write(GetRequest("/film"));
  server.WaitForRequest("/film");
  std::promise<void> disconnected;
  server.WithReply("/film", [&](HttpReply& reply) {
    reply.OnDisconnect([&] { disconnected.set_value(); });
  });
  SECTION("before the response") {}
  SECTION("during the response") {
    server.WithReply("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {});
      reply.Write("part", [](bool) {});
    });
    connection.ReadUntil("part");
  }
  connection.Close();
  disconnected.get_future().get();
  CHECK(server.Stats().connections == 0);
}

TEST_CASE("a part is reported written only once the client reads", "[http]") {
  constexpr std::size_t kParts = 64;
  constexpr std::size_t kPartBytes =
      1'000'000;  // Together more than the socket buffers.
  TestServer server;
  RawConnection connection = server.Connect();
  connection.Write(GetRequest("/film"));
  server.WaitForRequest("/film");
  std::atomic<std::size_t> written = 0;
  std::promise<void> all_written;
  server.WithReply("/film", [&](HttpReply& reply) {
    reply.StartStream(200, {}, kParts * kPartBytes);
    for (std::size_t i = 0; i < kParts; ++i) {
      reply.Write(std::string(kPartBytes, 'x'), [&](bool is_written) {
        written += is_written ? 1 : 0;
        if (written == kParts) {
          all_written.set_value();
        }
      });
    }
    reply.Finish();
  });
  connection.ReadUntil("\r\n\r\n");
  CHECK(written < kParts);
  CHECK(connection.ReadBytes(kParts * kPartBytes).size() ==
        kParts * kPartBytes);
  all_written.get_future().get();
}

TEST_CASE("idle connections are closed in favor of new ones", "[http]") {
  HttpServerInit init;
  init.max_connections = 40;
  TestServer server(init);
  RawConnection busy = server.Connect();
  busy.Write(GetRequest("/held"));
  server.WaitForRequest("/held");
  std::vector<RawConnection> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(server.Connect());
    idle.back().Write("GET /slow");  // The request stays incomplete.
  }
  CheckServesNewConnection(server);
  CHECK(server.Stats().connections <= init.max_connections);
  CHECK(server.Stats().idle_closed > 0);
  // The connection with a pending request was not closed.
  server.WithReply("/held",
                   [](HttpReply& reply) { reply.Send(200, {}, "(held)"); });
  CHECK(busy.ReadUntil("(held)").ends_with("(held)"));
}

TEST_CASE("a draining server completes pending requests", "[http]") {
  TestServer server;
  RawConnection idle = server.Connect();
  idle.Write(kHelloRequest);
  CHECK(idle.ReadUntil("hello ").find("keep-alive") != std::string::npos);
  RawConnection busy = server.Connect();
  busy.Write(GetRequest("/held"));
  server.WaitForRequest("/held");
  server.loop.Call([&] { server.server->BeginDrain(); });

  SECTION("new connections are served with Connection: close") {
    RawConnection new_connection = server.Connect();
    new_connection.Write(kHelloRequest);
    CHECK(new_connection.ReadAll().find("Connection: close") !=
          std::string::npos);
  }
  SECTION("Close ends only idle connections") {
    server.loop.Call([&] { server.server->Close(); });
    CHECK(idle.AtEnd());
    CHECK(server.Stats().busy == 1);
  }
  server.WithReply("/held",
                   [](HttpReply& reply) { reply.Send(200, {}, "(held)"); });
  CHECK(busy.ReadAll().ends_with("(held)"));
}

}  // namespace verbenastile
