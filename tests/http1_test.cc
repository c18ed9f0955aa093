// Tests of the proxy's HTTP/1.1 parser, server and client over raw connections.
#include <catch2/catch.hpp>

#include "io/http1_client.h"
#include "io/http1_parser.h"
#include "io/http1_server.h"
#include "net_support.h"

namespace verbenastile {
namespace {

// Feeds `text` to the parser in pieces of `piece` bytes and returns the body.
std::string ParseInPieces(Http1Parser& parser,
                          std::string_view text,
                          std::size_t piece) {
  std::string body;
  while (!text.empty() && !parser.done() &&
         parser.error() == Http1Error::kNone) {
    const std::size_t used = parser.Feed(text.substr(0, piece));
    body += parser.TakeBody();
    text.remove_prefix(used);
  }
  return body;
}

SCENARIO("messages are parsed in pieces of any size") {
  const std::size_t piece = GENERATE(1, 3, 1'000);
  GIVEN("a request with a length") {
    Http1Parser parser(Http1Parser::Role::kRequest, {});
    CHECK(ParseInPieces(parser,
                        "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5"
                        "\r\n\r\nhelloGET /next",
                        piece) == "hello");
    CHECK(parser.done());
    CHECK(parser.head().method == "POST");
    CHECK(parser.head().target == "/a?b=c");
    CHECK(parser.head().keep_alive);
  }
  GIVEN("a chunked request") {
    Http1Parser parser(Http1Parser::Role::kRequest, {});
    CHECK(ParseInPieces(parser,
                        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                        piece) == "abcde");
    CHECK(parser.done());
  }
  GIVEN("a request with Content-Length and chunked encoding (smuggling)") {
    Http1Parser parser(Http1Parser::Role::kRequest, {});
    ParseInPieces(
        parser,
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n",
        piece);
    CHECK(parser.error() == Http1Error::kMalformed);
  }
  GIVEN("a response that ends when the connection closes") {
    Http1Parser parser(Http1Parser::Role::kResponse, {});
    CHECK(ParseInPieces(parser, "HTTP/1.1 200 OK\r\n\r\nrest", piece) ==
          "rest");
    CHECK_FALSE(parser.done());
    CHECK(parser.FeedEnd());
  }
  GIVEN("a truncated response") {
    Http1Parser parser(Http1Parser::Role::kResponse, {});
    ParseInPieces(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nrest",
                  piece);
    CHECK_FALSE(parser.FeedEnd());
  }
  GIVEN("headers over the limit") {
    Http1Limits limits;
    limits.max_header_bytes = 100;
    Http1Parser parser(Http1Parser::Role::kRequest, limits);
    ParseInPieces(parser, "GET / HTTP/1.1\r\nA: " + std::string(200, 'a'),
                  piece);
    CHECK(parser.error() == Http1Error::kHeaderTooLarge);
  }
  GIVEN("a body over the limit") {
    Http1Limits limits;
    limits.max_body_bytes = 4;
    Http1Parser parser(Http1Parser::Role::kRequest, limits);
    ParseInPieces(parser, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
                  piece);
    CHECK(parser.error() == Http1Error::kBodyTooLarge);
  }
}

// A server that stores its requests in `exchanges` until the test responds.
struct ServerFixture {
  ServerFixture()
      : server(std::make_unique<Http1Server>(loop.io,
                                             [this](ExchangePointer exchange) {
                                               exchanges.push_back(
                                                   std::move(exchange));
                                             })) {
    loop.Call([this] {
      REQUIRE(server->Open({kTestIp, 0}).empty());
      return 0;
    });
  }
  ~ServerFixture() {
    loop.Call([this] {
      exchanges.clear();
      server.reset();
      return 0;
    });
  }

  RawConnection Connect() {
    return RawConnection::ConnectTo(
        client_io, loop.Call([this] { return server->address(); }));
  }
  ExchangePointer NextExchange() {
    for (;;) {
      ExchangePointer next = loop.Call([this]() -> ExchangePointer {
        if (exchanges.empty()) {
          return nullptr;
        }
        ExchangePointer first = exchanges.front();
        exchanges.erase(exchanges.begin());
        return first;
      });
      if (next) {
        return next;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  void RunOnLoop(const std::function<void()>& task) {
    loop.Call([&] {
      task();
      return 0;
    });
  }

  asio::io_context client_io;
  LoopThread loop;
  std::vector<ExchangePointer> exchanges;
  std::unique_ptr<Http1Server> server;
};

SCENARIO("the server responds on persistent connections") {
  ServerFixture fixture;
  RawConnection client = fixture.Connect();

  GIVEN("two pipelined requests") {
    client.Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    auto first = fixture.NextExchange();
    CHECK(first->head().target == "/1");
    THEN("the second is dispatched after the first response") {
      fixture.RunOnLoop([&] {
        CHECK(fixture.exchanges.empty());
        first->Send(200, {}, "one");
      });
      CHECK(client.ReadUntil("one").find("Content-Length: 3") !=
            std::string::npos);
      CHECK(fixture.NextExchange()->head().target == "/2");
    }
    fixture.RunOnLoop([&] { first.reset(); });
  }
  GIVEN("a streamed response without a length") {
    client.Write("GET / HTTP/1.1\r\n\r\n");
    auto exchange = fixture.NextExchange();
    fixture.RunOnLoop([&] {
      exchange->Start(200, {}, std::nullopt);
      exchange->Write("abc");
    });
    WHEN("it is finished") {
      fixture.RunOnLoop([&] { exchange->Finish(); });
      CHECK(client.ReadUntil("0\r\n\r\n").ends_with("3\r\nabc\r\n0\r\n\r\n"));
    }
    WHEN("it is aborted") {
      fixture.RunOnLoop([&] { exchange->Abort(); });
      THEN("the terminating chunk is missing") {
        CHECK(client.ReadAll().find("0\r\n\r\n") == std::string::npos);
      }
    }
    fixture.RunOnLoop([&] { exchange.reset(); });
  }
  GIVEN("a client that disconnects before the response") {
    bool disconnected = false;
    client.Write("GET / HTTP/1.1\r\n\r\n");
    auto exchange = fixture.NextExchange();
    fixture.RunOnLoop(
        [&] { exchange->OnDisconnect([&] { disconnected = true; }); });
    client.Close();
    for (int i = 0;
         i < 5'000 && !fixture.loop.Call([&] { return disconnected; }); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(fixture.loop.Call([&] { return disconnected; }));
    fixture.RunOnLoop([&] { exchange.reset(); });
  }
  GIVEN("a draining server") {
    fixture.RunOnLoop([&] { fixture.server->BeginDrain(); });
    client.Write("GET / HTTP/1.1\r\n\r\n");
    auto exchange = fixture.NextExchange();
    fixture.RunOnLoop([&] {
      exchange->Send(200, {}, "last");
      exchange.reset();
    });
    const std::string response = client.ReadAll();
    CHECK(response.find("Connection: close") != std::string::npos);
    CHECK(response.ends_with("last"));
  }
  GIVEN("bytes that are not an HTTP request") {
    client.Write("\x01\x02 nonsense\r\n\r\n");
    CHECK(client.ReadAll().starts_with("HTTP/1.1 400"));
  }
}

// Result of one client call.
struct CallResult {
  std::optional<Http1CallResult> end;
  int status = 0;
  std::string body;
};

struct ClientFixture {
  ~ClientFixture() {
    loop.Call([this] {
      client.reset();
      return 0;
    });
  }

  std::shared_ptr<CallResult> Start(Http1Call call) {
    auto result = std::make_shared<CallResult>();
    call.address = listener.address();
    call.target = "/x";
    call.on_head = [result](const Http1Head& head) {
      result->status = head.status;
    };
    call.on_data = [result](std::string part) { result->body += part; };
    call.on_end = [result](Http1CallResult end, std::string_view) {
      result->end = end;
    };
    last_id = loop.Call([&] { return client->Start(std::move(call)); });
    return result;
  }
  void Cancel() {
    loop.Call([&] {
      client->Cancel(last_id);
      return 0;
    });
  }
  Http1CallResult Wait(const std::shared_ptr<CallResult>& result) {
    for (;;) {
      const auto end = loop.Call([&] { return result->end; });
      if (end) {
        return *end;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  RawListener listener;
  LoopThread loop;
  Http1CallId last_id = 0;
  std::unique_ptr<Http1Client> client =
      std::make_unique<Http1Client>(loop.io, Http1ClientInit{});
};

constexpr const char* kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

SCENARIO("the client reports how a call ended") {
  ClientFixture fixture;

  GIVEN("a complete response") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    CHECK(server.ReadRequest().starts_with("GET /x HTTP/1.1\r\n"));
    server.Write(kOkResponse);
    CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
    CHECK(result->body == "ok");
    THEN("the connection is reused") {
      const auto next = fixture.Start({});
      server.ReadRequest();
      server.Write(kOkResponse);
      CHECK(fixture.Wait(next) == Http1CallResult::kComplete);
      CHECK(fixture.loop.Call([&] { return fixture.client->connects(); }) == 1);
    }
  }
  GIVEN("extra bytes after a complete response") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write(std::string(kOkResponse) + "HTTP/1.1 200 OK\r\n");
    CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
    CHECK(result->body == "ok");
    THEN("the connection is not reused") {
      const auto next = fixture.Start({});
      RawConnection second = fixture.listener.Accept();
      second.ReadRequest();
      second.Write(kOkResponse);
      CHECK(fixture.Wait(next) == Http1CallResult::kComplete);
    }
  }
  GIVEN("a late response to an earlier request before the expected one") {
    Http1Call call;
    call.echo = {"X-Id", "new"};
    const auto result = fixture.Start(std::move(call));
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write(
        "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
        "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 3\r\n\r\nnew");
    CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
    CHECK(result->body == "new");
  }
  GIVEN("a connection in use again") {
    Http1Call first;
    first.echo = {"X-Id", "first"};
    const auto earlier = fixture.Start(std::move(first));
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write(
        "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(fixture.Wait(earlier) == Http1CallResult::kComplete);
    Http1Call second;
    second.echo = {"X-Id", "second"};
    const auto result = fixture.Start(std::move(second));
    server.ReadRequest();
    WHEN("a late copy of the earlier response names its request") {
      server.Write(
          "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 2\r\n\r\nok"
          "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 3\r\n\r\nown");
      THEN("it is skipped") {
        CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
        CHECK(result->body == "own");
      }
    }
    WHEN("a late copy does not name its request") {
      server.Write(kOkResponse);
      THEN("it is not delivered, and the request may have run") {
        CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
        CHECK(result->body.empty());
        CHECK(server.AtEnd());
      }
    }
  }
  GIVEN("an interim response before one to HEAD") {
    Http1Call call;
    call.method = "HEAD";
    const auto result = fixture.Start(std::move(call));
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write(
        "HTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    THEN("the call ends at the head of the final one") {
      const auto has_ended = [&] {
        return fixture.loop.Call([&] { return result->end.has_value(); });
      };
      for (int i = 0; i < 5'000 && !has_ended(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      CHECK(has_ended());
      server.Close();
      CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
    }
  }
  GIVEN("a server that sends interim responses without end") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    std::string interim;
    while (interim.size() < 1'000'000) {
      interim += "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
    }
    THEN("the call ends after a bounded number of bytes") {
      std::size_t sent = 0;
      while (!fixture.loop.Call([&] { return result->end.has_value(); })) {
        REQUIRE(sent < 100'000'000);
        server.Write(interim);
        sent += interim.size();
      }
      CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
    }
  }
  GIVEN("a server that sends a header without end") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'a'));
    CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
    CHECK(server.AtEnd());
  }
  GIVEN("a truncated response") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    server.Close();
    CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
  }
  GIVEN("a response that ends when the connection closes") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write("HTTP/1.1 200 OK\r\n\r\nall of it");
    server.Close();
    CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
    CHECK(result->body == "all of it");
  }
  GIVEN("a connection that closes without a response") {
    const auto result = fixture.Start({});
    fixture.listener.Accept().ReadRequest();
    THEN("the request may have run, and is not retried") {
      CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
      CHECK_FALSE(fixture.listener.TryAccept().has_value());
    }
  }
  GIVEN("an address without a listener") {
    Http1Call call;
    call.target = "/";
    std::optional<Http1CallResult> end;
    {
      RawListener closed;
      call.address = closed.address();
    }
    call.on_end = [&](Http1CallResult ended, std::string_view) { end = ended; };
    fixture.loop.Call([&] { return fixture.client->Start(std::move(call)); });
    while (!fixture.loop.Call([&] { return end.has_value(); })) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(*end == Http1CallResult::kNotSent);
  }
}

// Guards against instances that work on for callers that left (rule GONE).
SCENARIO("a cancelled call ends its connection at once") {
  ClientFixture fixture;
  constexpr std::size_t kMoreThanBuffers = 50'000'000;

  GIVEN("a call whose connection is being opened") {
    fixture.loop.Call([&] {
      Http1Call call;
      call.address = fixture.listener.address();
      fixture.client->Cancel(fixture.client->Start(std::move(call)));
      return 0;
    });
    THEN("the server gets no request") {
      if (auto connection = fixture.listener.TryAccept()) {
        CHECK(connection->AtEnd());
      }
    }
  }
  GIVEN("a call whose request is being written") {
    Http1Call call;
    call.method = "POST";
    call.body = std::string(kMoreThanBuffers, 'x');
    fixture.Start(std::move(call));
    RawConnection server = fixture.listener.Accept();
    server.ReadUntil("\r\n\r\n");
    fixture.Cancel();
    THEN("the server does not get all of it") {
      CHECK(server.ReadAll().size() < kMoreThanBuffers);
    }
  }
  GIVEN("a call whose response is not read for now") {
    fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    fixture.loop.Call([&] {
      fixture.client->Pause(fixture.last_id);
      return 0;
    });
    server.Write("HTTP/1.1 200 OK\r\n\r\nsome of it");
    fixture.Cancel();
    THEN("the server sees the end") {
      CHECK(server.AtEnd());
    }
  }
}

// Guards against an earlier response that is taken for that of a later request
// (rules REFUSED and TWICE).
SCENARIO("bytes on a connection at rest belong to no request") {
  ClientFixture fixture;
  const std::string refusal =
      "HTTP/1.1 503 X\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n";
  const auto call = [](const char* id) {
    Http1Call made;
    made.echo = {"X-Id", id};
    return made;
  };
  const auto refused = fixture.Start(call("first"));
  RawConnection server = fixture.listener.Accept();
  server.ReadRequest();
  server.Write(refusal);
  REQUIRE(fixture.Wait(refused) == Http1CallResult::kComplete);

  const auto result = std::make_shared<CallResult>();
  LoopPause pause(fixture.loop);
  GIVEN("the refusal once more, not read when the next call starts") {
    server.Write(refusal);
  }
  GIVEN("a part of it") {
    server.Write(refusal.substr(0, 20));
  }
  GIVEN("a response that names no request") {
    server.Write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
  }
  GIVEN("the end of the connection") {
    server.Close();
  }
  asio::post(fixture.loop.io, [&] {
    Http1Call next = call("second");
    next.address = fixture.listener.address();
    next.on_head = [result](const Http1Head& head) {
      result->status = head.status;
    };
    next.on_end = [result](Http1CallResult end, std::string_view) {
      result->end = end;
    };
    fixture.client->Start(std::move(next));
  });
  pause.Resume();
  RawConnection fresh = fixture.listener.Accept();
  fresh.ReadRequest();
  fresh.Write("HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 0\r\n\r\n");
  CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
  CHECK(result->status == 200);
}

// Guards against a response that was cut off and looks complete (rules MIXED
// and ORDER).
SCENARIO("a response that ends early is not complete") {
  const std::string whole = GENERATE(
      std::string(
          "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody"),
      std::string("HTTP/1.1 200 OK\r\nX-Id: a\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"));
  ClientFixture fixture;

  GIVEN("a server that closes after any number of bytes") {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      const auto result = fixture.Start({});
      RawConnection server = fixture.listener.Accept();
      server.ReadRequest();
      server.Write(whole.substr(0, size));
      server.Close();
      INFO(whole.substr(0, size));
      CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
    }
  }
  GIVEN("a response without a length whose connection is reset") {
    const auto result = fixture.Start({});
    RawConnection server = fixture.listener.Accept();
    server.ReadRequest();
    server.Write("HTTP/1.1 200 OK\r\n\r\nhalf");
    while (fixture.loop.Call([&] { return result->body.empty(); })) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    server.Reset();
    CHECK(fixture.Wait(result) == Http1CallResult::kIncomplete);
  }
}

// Guards against an early failure that callers do not get because the upload
// failed.
SCENARIO("a whole response counts although the request cannot be written") {
  constexpr std::size_t kMoreThanBuffers = 50'000'000;
  constexpr std::size_t kMoreThanOneRead = 90'000;
  ClientFixture fixture;
  Http1Call call;
  call.method = "POST";
  call.body = std::string(kMoreThanBuffers, 'x');
  const auto result = fixture.Start(std::move(call));
  RawConnection server = fixture.listener.Accept();
  server.ReadUntil("\r\n\r\n");
  const auto pause = [&](bool paused) {
    fixture.loop.Call([&] {
      paused ? fixture.client->Pause(fixture.last_id)
             : fixture.client->Resume(fixture.last_id);
      return 0;
    });
  };
  const auto body_size = [&] {
    return fixture.loop.Call([&] { return result->body.size(); });
  };

  GIVEN("a reset while the client does not read on") {
    pause(true);
    server.Write("HTTP/1.1 413 X\r\nContent-Length: 90000\r\n\r\n" +
                 std::string(kMoreThanOneRead, 'y'));
    while (body_size() == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    // Bytes that have not arrived are lost with the reset.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    server.Reset();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(body_size() < kMoreThanOneRead);
    pause(false);
    CHECK(fixture.Wait(result) == Http1CallResult::kComplete);
    CHECK(body_size() == kMoreThanOneRead);
  }
}

}  // namespace
}  // namespace verbenastile
