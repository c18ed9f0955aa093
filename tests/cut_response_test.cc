// Guards against a response that an instance cut off and that callers get as if
// it were whole (rules MIXED and ORDER; report of issue 36).
#include "mesh_support.h"

namespace verbenastile {
namespace {

constexpr std::size_t kStreamedBytes = 3'000'000;  // More than is held back.

}  // namespace

TEST_CASE("an instance stops in the middle of its response", "[cut-response]") {
  Mesh mesh(false);
  RawConnection caller = mesh.Ask("/unsafe/a");
  auto request = mesh.Receive();
  REQUIRE(request);
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: r1\r\n";

  SECTION("in its head") {
    request->connection.Write(head);
    request->connection.Close();
    CHECK(caller.ReadAll().starts_with("HTTP/1.1 502"));
  }
  SECTION("at the end of its head") {
    request->connection.Write(head + "Content-Length: 2\r\n\r\n");
    request->connection.Close();
    CHECK(caller.ReadAll().starts_with("HTTP/1.1 502"));
  }
  SECTION("in a chunk size") {
    request->connection.Write(head +
                              "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1");
    request->connection.Close();
    CHECK(caller.ReadAll().starts_with("HTTP/1.1 502"));
  }
  SECTION("before the last chunk") {
    request->connection.Write(head +
                              "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    request->connection.Close();
    CHECK(caller.ReadAll().starts_with("HTTP/1.1 502"));
  }
  SECTION("after its head has reached the caller") {
    const bool chunked = GENERATE(false, true);
    const std::string part(kStreamedBytes, 'x');
    if (chunked) {
      request->connection.Write(
          head + fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n",
                             kStreamedBytes));
    } else {
      request->connection.Write(
          head + fmt::format("Content-Length: {}\r\n\r\n", kStreamedBytes + 1));
    }
    std::thread writer([&] {
      request->connection.Write(part);
      request->connection.Close();
    });
    const std::string response = caller.ReadAll();
    writer.join();
    CHECK(response.starts_with("HTTP/1.1 200"));
    const bool has_length =
        response.find("Content-Length: 3000001\r\n") != std::string::npos;
    CHECK(has_length != chunked);
    CHECK(response.size() < kStreamedBytes + 1'000);
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  }
}

}  // namespace verbenastile
