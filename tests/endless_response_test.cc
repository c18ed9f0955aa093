// Tests the inbound proxy against an instance whose responses do not end.
#include <catch2/catch.hpp>
#include <string>

#include "inbound_proxy_fixture.h"

namespace verbenastile {
namespace {

// What one response may keep a connection busy with: the flow control window,
// what is read to reuse the connection, and the buffers of the kernel.
constexpr std::size_t kMaxAcceptedBytes = 16'000'000;
constexpr std::size_t kPartBytes = 65'536;

struct Shape {
  const char* name = "";
  std::string begin;  // Sent once.
  std::string part;   // Sent again and again.
};

std::string Repeated(std::string_view text) {
  std::string part;
  while (part.size() < kPartBytes) {
    part += text;
  }
  return part;
}

std::string Chunk() {
  return "10000\r\n" + std::string(kPartBytes, 'x') + "\r\n";
}

std::vector<Shape> Shapes() {
  const std::string bytes(kPartBytes, 'x');
  const std::string signed_head =
      "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\n";
  const std::string unsigned_head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string length = "Content-Length: 67000000\r\n\r\n";
  return {
      {"no status line", "", bytes},
      {"no status line, only line ends", "", Repeated("\r\n")},
      {"a status line", "HTTP/1.1 200 ", bytes},
      {"a header name", signed_head, bytes},
      {"a header value", signed_head + "X-Long: ", bytes},
      {"many headers", signed_head, Repeated("a:\r\n")},
      {"interim responses", "", Repeated("HTTP/1.1 100 Continue\r\n\r\n")},
      {"responses to earlier requests", "",
       Repeated("HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 1\r\n\r\nx")},
      {"an unsigned body until the connection ends", unsigned_head + "\r\n",
       bytes},
      {"an unsigned body by its length", unsigned_head + length, bytes},
      {"an unsigned body in chunks", unsigned_head + chunked, Chunk()},
      {"an unsigned body in small chunks", unsigned_head + chunked,
       Repeated("1\r\nx\r\n")},
      {"a signed body until the connection ends", signed_head + "\r\n", bytes},
      {"a signed body by its length", signed_head + length, bytes},
      {"a signed body in chunks", signed_head + chunked, Chunk()},
      {"a chunk size", signed_head + chunked, std::string(kPartBytes, '0')},
      {"a chunk extension", signed_head + chunked + "1;", bytes},
      {"trailers", signed_head + chunked + "0\r\n", Repeated("a:\r\n")},
      {"the body of a failure", "HTTP/1.1 500 X\r\nX-Id: r1\r\n\r\n", bytes},
      {"the body of a refusal",
       "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: r1\r\n\r\n", bytes},
      {"a misdirected request", "HTTP/1.1 421 X\r\nX-Id: r1\r\n\r\n", bytes},
      {"responses behind the first", signed_head + "Content-Length: 0\r\n\r\n",
       Repeated(signed_head + "Content-Length: 0\r\n\r\n")},
  };
}

// Guards against a process that runs out of memory, and ends with all of its
// requests, because it collects a response that never ends (rule LOST).
SCENARIO("a response without end is read only in part") {
  const Shape shape = GENERATE(from_range(Shapes()));
  const bool caller_gone = GENERATE(false, true);
  CAPTURE(shape.name, caller_gone);
  InboundProxyFixture fixture;
  fixture.remaining = std::chrono::milliseconds(500);
  const auto replies = fixture.Start(!caller_gone);
  RawConnection instance = fixture.listener.Accept();
  instance.ReadRequest();
  if (caller_gone) {
    fixture.loop.Call([&] {
      return fixture.proxy->Cancel(fixture.last_call_id,
                                   CancelCause::kCancelled);
    });
  }
  instance.Write(shape.begin);
  std::size_t accepted = 0;
  while (instance.TryWrite(shape.part)) {
    accepted += shape.part.size();
    REQUIRE(accepted <= kMaxAcceptedBytes);
  }
  CHECK(fixture.loop.Call([&] { return fixture.proxy->active(); }) == 0);
}

// Guards against callers that wait until their deadline for a response that is
// not going to be passed on.
SCENARIO("a success without a signature fails at its head") {
  InboundProxyFixture fixture;
  const Time begin = SteadyNow();
  const auto replies = fixture.Start(true);
  RawConnection instance = fixture.listener.Accept();
  instance.ReadRequest();
  instance.Write("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n");
  CHECK(std::holds_alternative<GateFailure>(fixture.Reply(replies)));
  CHECK(SteadyNow() - begin < fixture.remaining / 2);
  CHECK(instance.AtEnd());
  THEN("the next call gets the slot") {
    const auto next = fixture.Start(true);
    RawConnection second = fixture.listener.Accept();
    second.ReadRequest();
    second.Write(OkResponse("X-Signature: s\r\nX-Id: r2\r\n", "2"));
    CHECK(std::get<GateResponse>(fixture.Reply(next)).body == "2");
  }
}

}  // namespace
}  // namespace verbenastile
