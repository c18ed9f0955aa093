#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <vector>

#include "io/http_server.h"
#include "net_support.h"

namespace verbenastile {
namespace {

// An HttpServer on a loop of its own that keeps its replies for the test.
class ServerLoop {
 public:
  explicit ServerLoop(HttpServerInit init = {}) {
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

  ~ServerLoop() {
    loop.Call([this] {
      replies.clear();
      server.reset();
    });
  }

  RawConnection Connect() { return RawConnection::To(client_io, address); }

  // Waits until a request to `path` is held.
  void Await(const std::string& path) {
    loop.Call([&] { return arrived[path].get_future(); }).get();
  }

  // Runs `task` with the reply that is held for `path`.
  template <typename Task>
  void With(const std::string& path, Task task) {
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

constexpr const char* kHello = "GET /hello HTTP/1.1\r\nHost: a\r\n\r\n";

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

void CheckStillServes(ServerLoop& server) {
  RawConnection connection = server.Connect();
  connection.Write(kHello);
  CHECK(connection.ReadUntil("hello ").starts_with("HTTP/1.1 200"));
}

}  // namespace

TEST_CASE("bad requests are refused with a clear status", "[http]") {
  HttpServerInit init;
  init.max_header_bytes = 1'000;
  init.max_headers = 10;
  init.max_body_bytes = 1'000;
  init.refusal_headers = {{"x-verbena-outcome", "not-run"}};
  ServerLoop server(init);
  RawConnection connection = server.Connect();
  std::string status;
  std::string bad = "POST /hello HTTP/1.1\r\nHost: a\r\n";
  SECTION("a header that is too long") {
    bad += "x-long: " + std::string(2'000, 'x') + "\r\n\r\n";
    status = "431";
  }
  SECTION("too many headers") {
    for (int i = 0; i < 20; ++i) {
      bad += "x-header: 1\r\n";
    }
    bad += "\r\n";
    status = "431";
  }
  SECTION("a target that is too long") {
    bad = Get("/" + std::string(2'000, 'x'));
    status = "414";
  }
  SECTION("a body that is too long") {
    bad += "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'x');
    status = "413";
  }
  SECTION("a chunked body that is too long") {
    bad += "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2'000, 'x') + "\r\n0\r\n\r\n";
    status = "413";
  }
  SECTION("both a length and chunks") {
    bad += "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    status = "400";
  }
  SECTION("two lengths") {
    bad += "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello";
    status = "400";
  }
  SECTION("an encoding that does not end in chunked") {
    bad += "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n";
    status = "400";
  }
  SECTION("a blank before the colon") {
    bad += "Content-Length : 5\r\n\r\nhello";
    status = "400";
  }
  SECTION("a length that is no number") {
    bad += "Content-Length: +5\r\n\r\nhello";
    status = "400";
  }
  SECTION("no HTTP at all") {
    bad = "\x16\x03\x01 hello\r\n\r\n";
    status = "400";
  }
  INFO(bad.substr(0, 120));
  connection.Write(bad);
  const std::string answer = connection.ReadAll();
  CHECK(answer.starts_with("HTTP/1.1 " + status));
  CHECK(answer.find("x-verbena-outcome: not-run") != std::string::npos);
  CHECK(server.Stats().bad_requests == 1);
  CheckStillServes(server);
}

TEST_CASE("a bad request behind a good one does not answer for it", "[http]") {
  ServerLoop server;
  RawConnection connection = server.Connect();
  connection.Write(Get("/held") + "nonsense\r\n\r\n");
  // The first request has no answer yet, so the connection just ends.
  CHECK(connection.ReadAll().empty());
  CheckStillServes(server);
}

TEST_CASE("pipelined requests get their own answers in order", "[http]") {
  ServerLoop server;
  RawConnection connection = server.Connect();
  connection.Write(Get("/one") + Get("/two"));
  server.Await("/one");
  server.Await("/two");
  server.With("/two", [](HttpReply& reply) { reply.Send(200, {}, "(two)"); });
  server.With("/one", [](HttpReply& reply) { reply.Send(200, {}, "(one)"); });
  CHECK(connection.ReadUntil("(one)").find("(two)") == std::string::npos);
  CHECK(connection.ReadUntil("(two)").ends_with("(two)"));
}

TEST_CASE("answers in parts", "[http]") {
  ServerLoop server;
  RawConnection connection = server.Connect();
  const auto ignore = [](bool) {};

  SECTION("of unknown length are chunked") {
    connection.Write(Get("/film"));
    server.Await("/film");
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {});
      reply.Write("part", ignore);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").find("chunked") !=
          std::string::npos);
    CHECK(connection.ReadUntil("0\r\n\r\n") == "4\r\npart\r\n0\r\n\r\n");
  }
  SECTION("of known length keep it") {
    connection.Write(Get("/film"));
    server.Await("/film");
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {}, 8);
      reply.Write("part", ignore);
      reply.Write("part", ignore);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").find("Content-Length: 8\r\n") !=
          std::string::npos);
    CHECK(connection.ReadBytes(8) == "partpart");
  }
  SECTION("to HEAD have a length and no body") {
    connection.Write("HEAD /film HTTP/1.1\r\nHost: a\r\n\r\n");
    server.Await("/film");
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {}, 1'000'000);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").find("Content-Length: 1000000") !=
          std::string::npos);
  }
  SECTION("of status 204 have no body") {
    connection.Write(Get("/film"));
    server.Await("/film");
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(204, {});
      reply.Write("dropped", ignore);
      reply.Finish();
    });
    CHECK(connection.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 204"));
  }
  // The connection serves the next request.
  connection.Write(kHello);
  CHECK(connection.ReadUntil("hello ").starts_with("HTTP/1.1 200"));
}

TEST_CASE("an aborted answer is visible as cut", "[http]") {
  ServerLoop server;
  RawConnection connection = server.Connect();
  connection.Write(Get("/film"));
  server.Await("/film");
  std::promise<void> left;
  const auto on_written = [&](bool) { left.set_value(); };

  SECTION("without the last chunk") {
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {});
      reply.Write("part", on_written);
    });
    left.get_future().get();
    server.With("/film", [](HttpReply& reply) { reply.Abort(); });
    CHECK(connection.ReadAll().ends_with("4\r\npart\r\n"));
  }
  SECTION("short of its length") {
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {}, 8);
      reply.Write("part", on_written);
    });
    left.get_future().get();
    server.With("/film", [](HttpReply& reply) { reply.Abort(); });
    CHECK(connection.ReadAll().ends_with("\r\n\r\npart"));
  }
  SECTION("nothing at all, when the reply is dropped") {
    server.loop.Call([&] { server.replies.clear(); });
    CHECK(connection.ReadAll().empty());
  }
  CHECK(server.Stats().busy == 0);
  CheckStillServes(server);
}

TEST_CASE("the server tells when the caller has gone", "[http]") {
  ServerLoop server;
  RawConnection connection = server.Connect();
  connection.Write(Get("/film"));
  server.Await("/film");
  std::promise<void> gone;
  server.With("/film", [&](HttpReply& reply) {
    reply.OnGone([&] { gone.set_value(); });
  });
  SECTION("before the answer") {}
  SECTION("during the answer") {
    server.With("/film", [&](HttpReply& reply) {
      reply.StartStream(200, {});
      reply.Write("part", [](bool) {});
    });
    connection.ReadUntil("part");
  }
  connection.Close();
  gone.get_future().get();
  CHECK(server.Stats().connections == 0);
}

TEST_CASE("a part is reported written only when the reader takes it",
          "[http]") {
  constexpr std::size_t kParts = 64;
  constexpr std::size_t kPartBytes =
      1'000'000;  // In all more than is buffered.
  ServerLoop server;
  RawConnection connection = server.Connect();
  connection.Write(Get("/film"));
  server.Await("/film");
  std::atomic<std::size_t> written = 0;
  std::promise<void> all;
  server.With("/film", [&](HttpReply& reply) {
    reply.StartStream(200, {}, kParts * kPartBytes);
    for (std::size_t i = 0; i < kParts; ++i) {
      reply.Write(std::string(kPartBytes, 'x'), [&](bool is_written) {
        written += is_written ? 1 : 0;
        if (written == kParts) {
          all.set_value();
        }
      });
    }
    reply.Finish();
  });
  connection.ReadUntil("\r\n\r\n");
  CHECK(written < kParts);
  CHECK(connection.ReadBytes(kParts * kPartBytes).size() ==
        kParts * kPartBytes);
  all.get_future().get();
}

TEST_CASE("idle connections make room for new ones", "[http]") {
  HttpServerInit init;
  init.max_connections = 40;
  ServerLoop server(init);
  RawConnection busy = server.Connect();
  busy.Write(Get("/held"));
  server.Await("/held");
  std::vector<RawConnection> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(server.Connect());
    idle.back().Write("GET /slow");  // And never the rest.
  }
  CheckStillServes(server);
  CHECK(server.Stats().connections <= init.max_connections);
  CHECK(server.Stats().idle_closed > 0);
  // The one in work was not among those closed.
  server.With("/held", [](HttpReply& reply) { reply.Send(200, {}, "(held)"); });
  CHECK(busy.ReadUntil("(held)").ends_with("(held)"));
}

TEST_CASE("a draining server finishes what it has", "[http]") {
  ServerLoop server;
  RawConnection idle = server.Connect();
  idle.Write(kHello);
  CHECK(idle.ReadUntil("hello ").find("keep-alive") != std::string::npos);
  RawConnection busy = server.Connect();
  busy.Write(Get("/held"));
  server.Await("/held");
  server.loop.Call([&] { server.server->BeginDrain(); });

  SECTION("new connections are served and told to go elsewhere") {
    RawConnection fresh = server.Connect();
    fresh.Write(kHello);
    CHECK(fresh.ReadAll().find("Connection: close") != std::string::npos);
  }
  SECTION("closing ends idle connections and no others") {
    server.loop.Call([&] { server.server->Close(); });
    CHECK(idle.AtEnd());
    CHECK(server.Stats().busy == 1);
  }
  server.With("/held", [](HttpReply& reply) { reply.Send(200, {}, "(held)"); });
  CHECK(busy.ReadAll().ends_with("(held)"));
}

}  // namespace verbenastile
